package server

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// refreshInterval is how often the store is called: by the owner and by each of a few instances to read the configuration, several
	// times within its maximum age; by each of many instances to read it or to learn that the store responds.
	refreshInterval = 400 * time.Millisecond
	// refreshTimeout limits one call; a store that is slower by a factor of 100 still answers within it.
	refreshTimeout = 600 * time.Millisecond
	// unsteadyPeriod is how long each call is a read after one has failed: faults of the store come in groups within seconds.
	unsteadyPeriod = 10 * time.Second
)

// refresh confirms the configuration repeatedly until ctx ends, at twice the rate after a failure.
func (s *Server) refresh(ctx context.Context) {
	for ctx.Err() == nil {
		wait := refreshInterval
		if err := s.confirm(ctx); err != nil {
			s.steadyFrom = s.now().Add(unsteadyPeriod)
			wait = refreshInterval / 2
		}
		s.awaitRefresh(ctx, wait)
	}
}

// confirm reads the configuration, or only learns that the store responds where the last read is recent enough.
func (s *Server) confirm(ctx context.Context) error {
	if s.pingSuffices(s.now()) {
		call, done := context.WithTimeout(ctx, refreshTimeout)
		err := s.policy.Ping(call, s.peers.Ping)
		done()
		if err == nil {
			return nil
		}
		s.steadyFrom = s.now().Add(unsteadyPeriod)
	}
	call, done := context.WithTimeout(ctx, refreshTimeout)
	defer done()
	err := s.policy.Refresh(call)
	s.reportRefresh(err)
	return err
}

// pingSuffices reports whether no read of the configuration is due. The owner decides by it, so it always reads.
func (s *Server) pingSuffices(now time.Time) bool {
	_, confirmedAt := s.policy.Current()
	due := confirmedAt.Add(store.Pace(refreshInterval, s.peers.Count()) - refreshInterval/2)
	return now.Before(due) && !now.Before(s.steadyFrom) && s.peers.Listed() && !s.policy.Failing() && !s.elector.Owns()
}

// reportRefresh logs that reads of the configuration begin or cease to fail.
func (s *Server) reportRefresh(err error) {
	failed := err != nil
	if failed == s.refreshFailing {
		return
	}
	s.refreshFailing = failed
	if failed {
		s.Log.Emit(event.StoreLost, event.Fields{"call": "configuration", "error": err.Error()})
		return
	}
	s.Log.Emit(event.StoreBack, event.Fields{"call": "configuration"})
}

// requestRefresh asks for a read of the configuration at once, as a term begins.
func (s *Server) requestRefresh() {
	select {
	case s.termBegan <- struct{}{}:
	default:
	}
}

// awaitRefresh returns after the wait, or earlier if a term begins or ctx ends.
func (s *Server) awaitRefresh(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.termBegan:
	case <-timer.C:
	}
}
