package owner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/node/owner"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/lease"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"gotest.tools/v3/assert"
)

// clock is a virtual clock.
type clock struct {
	mu      sync.Mutex
	current time.Time
	moved   chan struct{}
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = c.current.Add(d)
	if c.moved != nil {
		close(c.moved)
	}
	c.moved = make(chan struct{})
}

// pause returns true once d has passed in virtual time, or false if ctx ended first.
func (c *clock) pause(ctx context.Context, d time.Duration) bool {
	target := c.now().Add(d)
	for c.now().Before(target) {
		c.mu.Lock()
		if c.moved == nil {
			c.moved = make(chan struct{})
		}
		moved := c.moved
		c.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-moved:
		}
	}
	return true
}

// permit is a start permit that the test grants and withdraws.
type permit struct {
	mu     sync.Mutex
	denied bool
}

func (p *permit) Permit(time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.denied
}

func (p *permit) set(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.denied = !ok
}

// testEnv is the fake environment of one or more owners.
type testEnv struct {
	t       *testing.T
	clock   *clock
	kv      *fake.KV
	workers *fake.Workers
	doc     *config.Document
	ids     int
	mu      sync.Mutex
}

// instance is one owner with its own state.
type instance struct {
	*owner.Owner
	env    *testEnv
	holder *lease.Holder
	ledger *ledger.Ledger
	conf   *config.Holder
	permit *permit
	// paused instances take no steps, like a process that is suspended.
	paused bool
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	w := &testEnv{t: t, clock: &clock{current: time.Unix(1_000_000, 0)}}
	w.kv = fake.NewKV(w.clock.now)
	w.workers = fake.NewWorkers(w.clock.now)
	size := shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}
	w.doc = &config.Document{
		Revision: 1, DataCentres: []fleet.DataCentreSpec{{Name: "plovdiv", Racks: []fleet.RackSpec{{Name: "plv-1", Workers: 4, Resources: size}}}},
		Workspaces: []guard.Workspace{{Name: "recount"}},
	}
	return w
}

func (w *testEnv) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprint("write-", w.ids)
}

func (w *testEnv) instance(name string) *instance {
	client := store.NewClient(w.kv, store.NewBudget(1e6, 1e6), w.clock.now, w.newID)
	policy, err := engine.Policies.Lookup(engine.DefaultPolicy)
	assert.NilError(w.t, err)
	i := &instance{
		env: w, holder: lease.NewHolder(client, "plovdiv", name), permit: &permit{},
		ledger: ledger.New(client, w.clock.now, func(int) {}), conf: config.NewHolder(client, policy),
	}
	i.conf.Offer(w.doc, config.FromStore, w.clock.now())
	i.Owner = owner.New(owner.Config{
		Instance: name, Centre: "plovdiv", Policy: policy, Lease: 5 * time.Second, Every: time.Second, Holder: i.holder,
		Ledger: i.ledger, Conf: i.conf, Link: w.workers, Permits: i.permit, Log: event.Discard(), Now: w.clock.now, Pause: w.clock.pause,
	})
	w.t.Cleanup(i.ledger.Close)
	return i
}

// step runs a step of every instance that is not paused and advances the virtual time by 100 ms.
func (w *testEnv) step(instances ...*instance) {
	ctx := context.Background()
	for _, i := range instances {
		if i.paused {
			continue
		}
		_ = i.holder.Step(ctx, w.clock.now())
		_ = i.ledger.Load(ctx)
		i.Step(ctx, w.clock.now())
		i.WaitIdle()
	}
	w.clock.advance(100 * time.Millisecond)
}

// maxSteps limits every wait to 40 s of virtual time.
const maxSteps = 400

// waitFor runs steps until the condition holds; it fails the test after maxSteps.
func (w *testEnv) waitFor(what string, condition func() bool, instances ...*instance) {
	w.t.Helper()
	for range maxSteps {
		if condition() {
			return
		}
		w.step(instances...)
	}
	w.t.Fatalf("never came true: %s", what)
}

func job(name string, members int, run string) queue.Spec {
	return queue.Spec{
		Job: name, Workspace: "recount", Class: queue.Batch, Idempotent: true, Payload: run,
		Shape:           shape.Shape{Members: members, Resources: shape.Resources{Accelerators: 8, Cores: 8, MemoryGB: 8}, Within: shape.Rack},
		CheckpointEvery: span.Of(time.Second), CheckpointTakes: span.Of(300 * time.Millisecond),
	}
}

func (i *instance) submit(spec queue.Spec) {
	assert.NilError(i.env.t, i.ledger.Submit(context.Background(), ledger.Record{Spec: spec, Submitted: i.env.clock.now()}))
}

func (i *instance) record(name string) ledger.Record {
	_ = i.ledger.Load(context.Background())
	r, _ := i.ledger.Get(name)
	return r
}

// startCounts returns how many times each task was started.
func (w *testEnv) startCounts() map[worker.TaskID]int {
	counts := make(map[worker.TaskID]int)
	for _, id := range w.workers.Starts() {
		counts[id]++
	}
	return counts
}

func (w *testEnv) assertStartedOnce() {
	w.t.Helper()
	for id, n := range w.startCounts() {
		assert.Equal(w.t, n, 1, "task %s", id)
	}
}

func TestGangRunsOnceAndIsRecorded(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	a.submit(job("j", 4, "3s"))
	w.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	assert.Equal(t, len(w.startCounts()), 4)
	w.assertStartedOnce()
}

func TestNewOwnerTakesOverARunningGang(t *testing.T) {
	w := newTestEnv(t)
	a, b := w.instance("a"), w.instance("b")
	a.submit(job("j", 4, "12s"))
	w.waitFor("running", func() bool { return len(w.startCounts()) == 4 }, a)
	a.holder.Abandon()
	w.waitFor("finished", func() bool { return b.record("j").Outcome == queue.Finished }, b)
	assert.Equal(t, b.record("j").Attempt, 1)
	w.assertStartedOnce()
}

func TestPausedOwnerDoesNoHarm(t *testing.T) {
	w := newTestEnv(t)
	a, b := w.instance("a"), w.instance("b")
	w.waitFor("owner", func() bool { return a.Epoch() != 0 }, a)
	a.paused = true
	a.submit(job("j", 4, "2s"))
	w.waitFor("finished by the other", func() bool { return b.record("j").Outcome == queue.Finished }, a, b)
	previousEpoch := a.Epoch()
	a.paused = false
	a.submit(job("k", 4, "2s"))
	w.waitFor("k finished", func() bool { return b.record("k").Outcome == queue.Finished }, a, b)
	assert.Equal(t, b.Epoch() > previousEpoch, true)
	assert.Equal(t, a.Epoch(), int64(0))
	w.assertStartedOnce()
}

func TestLostWorkerEndsTheWholeGangAndItRunsAgainElsewhere(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	a.submit(job("j", 2, "8s"))
	w.waitFor("running", func() bool { return len(w.startCounts()) == 2 }, a)
	w.workers.SetDown(a.record("j").Workers[0], true)
	w.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	assert.Equal(t, a.record("j").Attempt, 2)
	w.assertStartedOnce()
}

func TestNonIdempotentGangIsInterruptedNotRepeated(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	spec := job("tally", 2, "8s")
	spec.Idempotent, spec.CheckpointEvery = false, span.Duration{}
	a.submit(spec)
	w.waitFor("running", func() bool { return len(w.startCounts()) == 2 }, a)
	w.workers.SetDown(a.record("tally").Workers[0], true)
	w.waitFor("interrupted", func() bool { return a.record("tally").Outcome == queue.Interrupted }, a)
	assert.Equal(t, len(w.startCounts()), 2)
}

func TestStoreOutageKeepsTheResultUntilItIsRecorded(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	a.submit(job("j", 4, "3s"))
	w.waitFor("running", func() bool { return len(w.startCounts()) == 4 }, a)
	w.kv.SetFault(fake.Fault{Down: true})
	for range 100 {
		w.step(a)
	}
	w.kv.SetFault(fake.Fault{})
	w.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	assert.Equal(t, a.record("j").Attempt, 1)
	w.assertStartedOnce()
}

func TestOutageAndOwnerLossTogetherLoseNoResult(t *testing.T) {
	w := newTestEnv(t)
	a, b := w.instance("a"), w.instance("b")
	a.submit(job("j", 4, "3s"))
	w.waitFor("running", func() bool { return len(w.startCounts()) == 4 }, a)
	w.kv.SetFault(fake.Fault{Down: true})
	for range 60 {
		w.step(a)
	}
	a.paused = true
	w.kv.SetFault(fake.Fault{})
	w.waitFor("finished", func() bool { return b.record("j").Outcome == queue.Finished }, b)
	w.assertStartedOnce()
}

func TestNothingStartsWithoutPermit(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	a.permit.set(false)
	a.submit(job("j", 4, "3s"))
	for range 50 {
		w.step(a)
	}
	assert.Equal(t, len(w.startCounts()), 0)
	a.permit.set(true)
	w.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
}

func TestDrainStopsAndRestoreRunsOn(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	a.submit(job("j", 4, "20s"))
	w.waitFor("running", func() bool { return len(w.startCounts()) == 4 }, a)
	drained := *w.doc
	drained.Revision = 2
	drained.Drains = []config.Drain{{DataCentre: "plovdiv", Since: w.clock.now(), Deadline: w.clock.now().Add(3 * time.Second)}}
	a.conf.Offer(&drained, config.FromStore, w.clock.now())
	w.waitFor("given back", func() bool { r := a.record("j"); return r.DataCentre == "" && r.Phase == queue.Waiting }, a)
	assert.Equal(t, a.record("j").Progress.Duration > 0, true)
	a.submit(job("k", 1, "1s"))
	for range 50 {
		w.step(a)
	}
	assert.Equal(t, len(w.startCounts()), 4)
	restored := *w.doc
	restored.Revision = 3
	a.conf.Offer(&restored, config.FromStore, w.clock.now())
	w.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	w.assertStartedOnce()
}

func TestCancelStopsEveryMember(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	a.submit(job("j", 4, "1h"))
	w.waitFor("running", func() bool { return len(w.startCounts()) == 4 }, a)
	assert.NilError(t, a.ledger.Cancel(context.Background(), "j"))
	w.waitFor("cancelled", func() bool { return a.record("j").Outcome == queue.Cancelled }, a)
	a.submit(job("k", 4, "1s"))
	w.waitFor("room for the next", func() bool { return a.record("k").Outcome == queue.Finished }, a)
}

func TestBadWorkerIsQuarantinedAndJobsFinishElsewhere(t *testing.T) {
	w := newTestEnv(t)
	w.workers.SetBad("plv-1/0", true)
	a := w.instance("a")
	for n := range 4 {
		a.submit(job(fmt.Sprint("j", n), 1, "2s"))
	}
	w.waitFor("all finished", func() bool {
		for n := range 4 {
			if a.record(fmt.Sprint("j", n)).Outcome != queue.Finished {
				return false
			}
		}
		return true
	}, a)
}

func TestNonIdempotentGangGoesOnFromItsCheckpoint(t *testing.T) {
	w := newTestEnv(t)
	a := w.instance("a")
	spec := job("tally", 4, "6s")
	spec.Idempotent = false
	a.submit(spec)
	w.waitFor("running", func() bool { return len(w.startCounts()) == 4 }, a)
	drained := *w.doc
	drained.Revision = 2
	drained.Drains = []config.Drain{{DataCentre: "plovdiv", Since: w.clock.now(), Deadline: w.clock.now().Add(2 * time.Second)}}
	a.conf.Offer(&drained, config.FromStore, w.clock.now())
	w.waitFor("given back", func() bool { return a.record("tally").DataCentre == "" }, a)
	restored := *w.doc
	restored.Revision = 3
	a.conf.Offer(&restored, config.FromStore, w.clock.now())
	w.waitFor("finished", func() bool { return a.record("tally").Outcome == queue.Finished }, a)
	w.assertStartedOnce()
}

func TestReservationOfADeadOwnerNeverStarts(t *testing.T) {
	w := newTestEnv(t)
	a, b := w.instance("a"), w.instance("b")
	spec := job("tally", 2, "2s")
	spec.Idempotent = false
	a.submit(spec)
	w.waitFor("owner", func() bool { return a.Epoch() != 0 }, a)
	a.DropStartOrders()
	w.waitFor("reserved", func() bool { return a.record("tally").Phase == queue.Running }, a)
	a.paused = true
	a.holder.Abandon()
	w.waitFor("over", func() bool { return b.record("tally").Phase == queue.Ended }, b)
	// The workers confirmed to the new owner that nothing had started, so the job could still run, and it ran once.
	assert.Equal(t, b.record("tally").Outcome, queue.Finished)
	w.assertStartedOnce()
}
