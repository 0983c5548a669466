package term

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/sourcegraph/conc"
)

const (
	// leaveInterval is the time between checks whether exits are to be left with other instances.
	leaveInterval = 217 * time.Millisecond
	// leaveAfter is how long an exit is not on record before it is left with others.
	leaveAfter = 300 * time.Millisecond
	// keeperTimeout limits a call to one of them.
	keeperTimeout = 300 * time.Millisecond
)

// Keep keeps exits that an owner has left with this instance.
func (e *Elector) Keep(_ context.Context, exits *grants.Exits) (*grants.Kept, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if exits.Token >= e.kept.Token {
		e.kept = *exits
	}
	return &grants.Kept{}, nil
}

// KeptExits returns the exits that an owner before the one that asks has left with this instance.
func (e *Elector) KeptExits(_ context.Context, request *grants.Request) (*grants.Exits, error) {
	kept := e.keptBefore(request.Token)
	return &kept, nil
}

// keptBefore returns the exits that an owner with a lower token has left with this instance.
func (e *Elector) keptBefore(token int64) grants.Exits {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.kept.Token >= token {
		return grants.Exits{}
	}
	return e.kept
}

// keepers returns the addresses of the instances with which exits are left: the first perCentre of each data centre.
func (t *term) keepers(perCentre int) (addresses []string) {
	if t.Peers == nil || t.Predecessors == nil {
		return nil
	}
	for _, centre := range append(t.otherCentres(), t.DataCentre) {
		list := t.Peers.AddressesIn(centre)
		addresses = append(addresses, list[:min(perCentre, len(list))]...)
	}
	return addresses
}

// leaveExits leaves exits that can't be recorded with other instances, again whenever there are others, until the term ends.
func (t *term) leaveExits(ctx context.Context) {
	var left []group.WorkerExit
	for pause.For(ctx, leaveInterval) {
		now := t.Now()
		t.state.Lock()
		since := t.engine.UnrecordedSince()
		t.state.Unlock()
		if since.IsZero() || now.Sub(since) < leaveAfter {
			continue
		}
		t.state.Lock()
		exits := limitExits(t.engine.UnrecordedExits())
		t.state.Unlock()
		if slices.Equal(exits, left) {
			continue
		}
		if t.leave(ctx, &grants.Exits{Token: t.token, Exits: exits}) {
			left = exits
		}
	}
}

// leave leaves the exits with one instance of each data centre, and reports whether all have them.
func (t *term) leave(ctx context.Context, exits *grants.Exits) bool {
	addresses := t.keepers(1)
	errs := make([]error, len(addresses))
	var calls conc.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			call, done := context.WithTimeout(ctx, keeperTimeout)
			defer done()
			errs[i] = t.Predecessors.Keep(call, address, exits)
		})
	}
	calls.Wait()
	unreached := countErrors(errs)
	if len(addresses) > 0 {
		t.Log.Emit(event.ExitsLeft, event.Fields{"token": t.token, "exits": len(exits.Exits), "keepers": len(addresses) - unreached, "unreached": unreached})
	}
	return unreached == 0
}

func countErrors(errs []error) (count int) {
	for _, err := range errs {
		if err != nil {
			count++
		}
	}
	return count
}

// collectExits applies the exits that earlier owners have left with other instances. The last owner left them with the first instance of
// each data centre but itself, so that may be the second one here.
func (t *term) collectExits(ctx context.Context) {
	request := &grants.Request{Token: t.token}
	var mu sync.Mutex
	exits, unreached := slices.Clone(t.keptBefore(t.token).Exits), 0
	var calls conc.WaitGroup
	for _, address := range t.keepers(2) {
		calls.Go(func() {
			call, done := context.WithTimeout(ctx, keeperTimeout)
			defer done()
			kept, err := t.Predecessors.KeptExits(call, address, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached++
				return
			}
			exits = append(exits, kept.Exits...)
		})
	}
	calls.Wait()
	t.state.Lock()
	t.hearExits(exits, t.Now())
	t.state.Unlock()
	t.notify()
	t.Log.Emit(event.ExitsCollected, event.Fields{"token": t.token, "exits": len(exits), "unreached": unreached})
}
