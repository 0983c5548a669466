package term_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/peer/probe"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// refused is a span of time in which reads are refused.
type refused struct{ from, until time.Time }

func (r refused) err() error {
	if now := time.Now(); now.Before(r.until) && !now.Before(r.from) {
		return &store.UnavailableError{Cause: "status 429"}
	}
	return nil
}

// refusedBetween returns a span that begins and ends after the times from now.
func refusedBetween(from, until time.Duration) refused {
	now := time.Now()
	return refused{from: now.Add(from), until: now.Add(until)}
}

// refusedList and refusedPolicy are a list of workers and a configuration that can't be read for a time.
type refusedList struct {
	fixedWorkers
	refused
}

func (l refusedList) Workers(ctx context.Context) ([]group.WorkerInfo, error) {
	if err := l.err(); err != nil {
		return nil, err
	}
	return l.fixedWorkers.Workers(ctx)
}

type refusedPolicy struct{ refused }

func (p refusedPolicy) Read(ctx context.Context) (policy.Snapshot, error) {
	if err := p.err(); err != nil {
		return policy.Snapshot{}, err
	}
	return fixedPolicy{}.Read(ctx)
}

// fleetReaders are the other instances that an owner may ask; those that are silent give no answer.
type fleetReaders struct {
	others []*term.Elector
	silent bool
}

func (f *fleetReaders) Ask(ctx context.Context, request *probe.Request) (result probe.Result) {
	for _, other := range f.others {
		result.Asked++
		reply, err := other.Probe(ctx, request)
		if f.silent || err != nil {
			continue
		}
		result.Answered++
		if reply.Able {
			result.Able++
		}
	}
	return result
}

// staleSite is a site of two instances, of which `a` is the owner first.
type staleSite struct {
	*site
	a, b *term.Elector
}

// newStaleSite returns a site whose instances can't read the list of workers or the configuration during the given times.
func newStaleSite(t *testing.T, list, config [2]refused) *staleSite {
	t.Helper()
	s := &staleSite{site: newSite(t)}
	var electors []*term.Elector
	for i, name := range []string{"a", "b"} {
		e := s.elector(name, s.store, s.agents, nil)
		e.Limits.PolicyAge, e.Limits.ListAge = 3*time.Second, 1200*time.Millisecond
		e.Lister = refusedList{fixedWorkers{"w1", "w2"}, list[i]}
		e.Policy = policy.NewHolder(refusedPolicy{config[i]}, time.Now, func(policy.Snapshot) {})
		assert.NilError(t, e.Policy.Refresh(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			for pause.For(ctx, 400*time.Millisecond) {
				// A read that fails leaves the configuration as old as it is.
				_ = e.Policy.Refresh(ctx)
			}
		}()
		t.Cleanup(func() { cancel(); <-done })
		electors = append(electors, e)
	}
	s.a, s.b = electors[0], electors[1]
	s.a.Readers, s.b.Readers = &fleetReaders{others: electors[1:]}, &fleetReaders{others: electors[:1]}
	return s
}

// start makes `a` the owner and lets `b` compete.
func (s *staleSite) start() {
	s.run(s.a)
	time.Sleep(500 * time.Millisecond)
	s.run(s.b)
	time.Sleep(500 * time.Millisecond)
	assert.Assert(s.t, cmp.Contains(s.owner(), `"instance":"a"`))
}

func (s *staleSite) token() int64 {
	item, err := s.store.Item(s.t.Context(), work.OwnerKey)
	assert.NilError(s.t, err)
	return item.Created
}

// Guards against a fleet in which nothing starts, as its owner renews its lease and can't read the list of workers or the
// configuration, though other instances can (issue 48, LOST).
func TestOwnerThatMayNotStartHandsOverToAnInstanceThatCanRead(t *testing.T) {
	for _, what := range []string{"list", "configuration"} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var list, config [2]refused
				if what == "list" {
					list[0] = refusedBetween(2*time.Second, time.Hour)
				} else {
					config[0] = refusedBetween(2*time.Second, time.Hour)
				}
				s := newStaleSite(t, list, config)
				s.start()
				time.Sleep(7 * time.Second)
				s.submit()
				assert.Assert(t, s.runsWithin(500*time.Millisecond))
				assert.Assert(t, cmp.Contains(s.owner(), `"instance":"b"`))
			})
		})
	}
}

// Guards against handovers that help nobody, and against tasks whose leases nobody renews meanwhile: no instance can read.
func TestOwnerKeepsItsTermWhileNoInstanceCanRead(t *testing.T) {
	for _, until := range []time.Duration{4 * time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newStaleSite(t, [2]refused{refusedBetween(2*time.Second, until), refusedBetween(2*time.Second, until)}, [2]refused{})
			s.start()
			token := s.token()
			time.Sleep(until - 1500*time.Millisecond)
			s.submit()
			assert.Assert(t, s.runsWithin(1500*time.Millisecond), "%s", until)
			assert.Equal(t, s.token(), token, "%s", until)
		})
	}
}

// Guards against a handover for each short failure of the owner's reads.
func TestOwnerKeepsItsTermThroughAShortFailureOfItsReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleSite(t, [2]refused{refusedBetween(2*time.Second, 4*time.Second)}, [2]refused{})
		s.start()
		token := s.token()
		time.Sleep(10 * time.Second)
		assert.Equal(t, s.token(), token)
	})
}

// Guards against an owner that stays without a use, as it reaches neither what it must read nor the other instances.
func TestOwnerThatMayNotStartResignsThoughNobodyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStaleSite(t, [2]refused{refusedBetween(2*time.Second, time.Hour)}, [2]refused{})
		s.a.Readers = &fleetReaders{others: []*term.Elector{s.b}, silent: true}
		s.start()
		time.Sleep(10 * time.Second)
		s.submit()
		assert.Assert(t, s.runsWithin(500*time.Millisecond))
		assert.Assert(t, cmp.Contains(s.owner(), `"instance":"b"`))
	})
}

// Guards against an only instance that gives up its term, and with it the renewal of the workers' leases.
func TestOnlyInstanceKeepsItsTermThoughItCanNotRead(t *testing.T) {
	for _, readers := range []term.Readers{nil, &fleetReaders{}} {
		synctest.Test(t, func(t *testing.T) {
			s := newStaleSite(t, [2]refused{refusedBetween(2*time.Second, 30*time.Second)}, [2]refused{})
			s.a.Readers = readers
			s.run(s.a)
			time.Sleep(time.Second)
			token := s.token()
			time.Sleep(25 * time.Second)
			assert.Equal(t, s.token(), token)
		})
	}
}
