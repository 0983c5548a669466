package term_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// directory lets instances ask each other for their leases while they are reachable.
type directory struct {
	mu       sync.Mutex
	electors map[string]*term.Elector
	// delay is how long an instance takes to answer a new owner.
	delay time.Duration
}

// answerAfter sets the delay.
func (d *directory) answerAfter(delay time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay = delay
}

// wait waits for the delay or until ctx ends.
func (d *directory) wait(ctx context.Context) {
	d.mu.Lock()
	delay := d.delay
	d.mu.Unlock()
	if delay > 0 {
		pause.For(ctx, delay)
	}
}

func (d *directory) Grants(ctx context.Context, instance string, request *grants.Request) (*grants.Reply, error) {
	d.mu.Lock()
	e := d.electors[instance]
	d.mu.Unlock()
	if e == nil {
		return nil, &grants.UnknownInstanceError{Instance: instance}
	}
	if d.wait(ctx); ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return e.Grants(ctx, request)
}

func (d *directory) Keep(ctx context.Context, address string, exits *grants.Exits) (*grants.Kept, error) {
	d.mu.Lock()
	e := d.electors[address]
	d.mu.Unlock()
	if e == nil {
		return nil, &grants.UnknownInstanceError{Instance: address}
	}
	return e.Keep(ctx, exits)
}

func (d *directory) KeptExits(ctx context.Context, address string, request *grants.Request) (*grants.Exits, error) {
	d.mu.Lock()
	e := d.electors[address]
	d.mu.Unlock()
	if e == nil {
		return nil, &grants.UnknownInstanceError{Instance: address}
	}
	if d.wait(ctx); ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return e.KeptExits(ctx, request)
}

func (d *directory) add(e *term.Elector) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.electors == nil {
		d.electors = make(map[string]*term.Elector)
	}
	d.electors[e.Instance] = e
}

// remove makes the instance unreachable for the others.
func (d *directory) remove(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.electors, instance)
}

// crashingAgents are workers of which one may be gone for good.
type crashingAgents struct {
	*fake.Agents
	mu   sync.Mutex
	gone string
}

func (a *crashingAgents) crash(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gone = worker
}

func (a *crashingAgents) check(to agent.Target) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if to.Worker == a.gone {
		return &agent.LostError{Worker: to.Worker, Unsent: true}
	}
	return nil
}

func (a *crashingAgents) Start(ctx context.Context, to agent.Target, start agent.Start) error {
	if err := a.check(to); err != nil {
		return err
	}
	return a.Agents.Start(ctx, to, start)
}

func (a *crashingAgents) Stop(ctx context.Context, to agent.Target, stop agent.Stop) error {
	if err := a.check(to); err != nil {
		return err
	}
	return a.Agents.Stop(ctx, to, stop)
}

func (a *crashingAgents) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	if err := a.check(to); err != nil {
		return agent.PollResponse{}, err
	}
	return a.Agents.Poll(ctx, to, poll)
}

// succession is a site whose owners are replaced while a worker is gone for good.
type succession struct {
	*site
	workers *crashingAgents
	stops   []func()
}

func newSuccession(t *testing.T, instances ...string) *succession {
	s := &succession{site: newSite(t)}
	s.workers = &crashingAgents{Agents: s.agents}
	for _, name := range instances {
		s.stops = append(s.stops, s.electWith(name, s.workers, nil))
	}
	return s
}

// loseWorker waits until the leases from before the first owner have expired, and lets the worker of a task crash for good.
func (s *succession) loseWorker() {
	time.Sleep(10 * time.Second)
	s.submit()
	s.eventually("the task runs", s.running)
	time.Sleep(time.Second)
	s.workers.crash(s.agents.WorkerOf(task))
}

// replaceOwner lets the owner's lease lapse.
func (s *succession) replaceOwner() {
	item, err := s.store.Item(s.t.Context(), work.OwnerKey)
	assert.NilError(s.t, err)
	s.store.ExpireLease(item.Lease)
}

// startsAgainAfter returns how long after now the task starts again.
func (s *succession) startsAgainAfter() time.Duration {
	began := time.Now()
	s.eventually("the task starts again", func() bool { return s.agents.Started(task) > 1 })
	return time.Since(began)
}

// Guards against tasks of a lost worker that wait for the longest lease anew after each change of owner, though each owner knew when its
// leases end (issue 48, LOST).
func TestChangesOfOwnerDoNotProlongTheWaitForALostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a", "b")
		s.loseWorker()
		for range 4 {
			time.Sleep(1500 * time.Millisecond)
			s.replaceOwner()
		}
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 2*time.Second, "%s after the last change of owner", waited)
	})
}

// The same where the earlier owner still renews leases as its successor asks.
func TestSuccessorEndsTheTermOfAnOwnerThatHasNotNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a")
		s.loseWorker()
		item, err := s.store.Item(t.Context(), work.OwnerKey)
		assert.NilError(t, err)
		reply, err := s.instances.Grants(t.Context(), "a", &grants.Request{Token: item.Revision + 1})
		assert.NilError(t, err)
		assert.Equal(t, reply.Token, item.Revision)
		assert.Assert(t, reply.Revision >= item.Revision)
		lost := s.agents.WorkerOf(task)
		assert.Assert(t, reply.ByWorker[lost] > 5*time.Second && reply.ByWorker[lost] < 7*time.Second, "%s", reply.ByWorker[lost])
		s.eventually("the term ends", func() bool {
			current, err := s.store.Item(t.Context(), work.OwnerKey)
			return err == nil && current.Revision != item.Revision
		})
	})
}

// Guards against two runs of a task: the leases of an owner that can't be asked count as the longest possible ones.
func TestLeasesOfAnOwnerThatIsGoneAreWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a")
		s.loseWorker()
		s.instances.remove("a")
		s.stops[0]()
		s.electWith("b", s.workers, nil)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 8*time.Second, "%s", waited)
	})
}

// Guards against two runs of a task: an owner that does not know which leases another one granted after it.
func TestOwnersBetweenAreNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a")
		s.loseWorker()
		s.stops[0]()
		// The owner between is of a release that can't be asked.
		lease, err := s.store.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		s.store.PutWithLease(work.OwnerKey, []byte(`{"instance":"x"}`), lease)
		s.store.ExpireLease(lease)
		s.electWith("b", s.workers, nil)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 8*time.Second, "%s", waited)
	})
}

// The same if the store no longer has the history that would show them.
func TestLeasesAreWaitedForIfOwnersBetweenMayBeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "a")
		s.loseWorker()
		s.stops[0]()
		s.store.CompactHistory()
		s.electWith("b", s.workers, nil)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 8*time.Second, "%s", waited)
	})
}
