package owner_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
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
	link    *lossyLink
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
	env := &testEnv{t: t, clock: &clock{current: time.Unix(1_000_000, 0)}}
	env.kv = fake.NewKV(env.clock.now)
	env.workers = fake.NewWorkers(env.clock.now)
	env.link = &lossyLink{Workers: env.workers}
	size := shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}
	env.doc = &config.Document{
		Revision: 1, DataCentres: []fleet.DataCentreSpec{{Name: "plovdiv", Racks: []fleet.RackSpec{{Name: "plv-1", Workers: 4, Resources: size}}}},
		Workspaces: []guard.Workspace{{Name: "recount"}},
	}
	return env
}

func (env *testEnv) newID() string {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.ids++
	return fmt.Sprint("write-", env.ids)
}

func (env *testEnv) instance(name string) *instance {
	return env.instanceWith(name, env.link)
}

// instanceWith returns an instance that reaches the workers through the link.
func (env *testEnv) instanceWith(name string, link worker.Link) *instance {
	client := store.NewClient(env.kv, store.NewBudget(1e6, 1e6), env.clock.now, env.newID)
	policy, err := engine.Policies.Lookup(engine.DefaultPolicy)
	assert.NilError(env.t, err)
	i := &instance{
		env: env, holder: lease.NewHolder(client, "plovdiv", name), permit: &permit{},
		ledger: ledger.New(client, env.clock.now, func(int) {}), conf: config.NewHolder(client, policy),
	}
	i.conf.Offer(env.doc, config.FromStore, env.clock.now())
	i.Owner = owner.New(owner.Config{
		Instance: name, Centre: "plovdiv", Policy: policy, WorkerLease: 5 * time.Second, PollInterval: time.Second, Holder: i.holder,
		Ledger: i.ledger, Configuration: i.conf, Link: link, Permits: i.permit, Log: event.Discard(), Now: env.clock.now, Pause: env.clock.pause,
	})
	env.t.Cleanup(i.ledger.Close)
	return i
}

// step runs a step of every instance that is not paused and advances the virtual time by 100 ms.
func (env *testEnv) step(instances ...*instance) {
	ctx := context.Background()
	for _, i := range instances {
		if i.paused {
			continue
		}
		_ = i.holder.Step(ctx, env.clock.now())
		_ = i.ledger.Load(ctx)
		i.Step(ctx, env.clock.now())
		i.WaitIdle()
	}
	env.clock.advance(100 * time.Millisecond)
}

// maxSteps limits every wait to 40 s of virtual time.
const maxSteps = 400

// waitFor runs steps until the condition holds; it fails the test after maxSteps.
func (env *testEnv) waitFor(what string, condition func() bool, instances ...*instance) {
	env.t.Helper()
	for range maxSteps {
		if condition() {
			return
		}
		env.step(instances...)
	}
	env.t.Fatalf("condition not reached: %s", what)
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
func (env *testEnv) startCounts() map[worker.TaskID]int {
	counts := make(map[worker.TaskID]int)
	for _, id := range env.workers.Starts() {
		counts[id]++
	}
	return counts
}

func (env *testEnv) assertStartedOnce() {
	env.t.Helper()
	for id, n := range env.startCounts() {
		assert.Equal(env.t, n, 1, "task %s", id)
	}
}

func TestGangRunsOnceAndIsRecorded(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.submit(job("j", 4, "3s"))
	env.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	assert.Equal(t, len(env.startCounts()), 4)
	env.assertStartedOnce()
}

func TestNewOwnerTakesOverARunningGang(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.instance("a"), env.instance("b")
	a.submit(job("j", 4, "12s"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	a.holder.Abandon()
	env.waitFor("finished", func() bool { return b.record("j").Outcome == queue.Finished }, b)
	assert.Equal(t, b.record("j").Attempt, 1)
	env.assertStartedOnce()
}

func TestPausedOwnerDoesNoHarm(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.instance("a"), env.instance("b")
	env.waitFor("ownership acquired", func() bool { return a.Epoch() != 0 }, a)
	a.paused = true
	a.submit(job("j", 4, "2s"))
	env.waitFor("finished under the new owner", func() bool { return b.record("j").Outcome == queue.Finished }, a, b)
	previousEpoch := a.Epoch()
	a.paused = false
	a.submit(job("k", 4, "2s"))
	env.waitFor("k finished", func() bool { return b.record("k").Outcome == queue.Finished }, a, b)
	assert.Equal(t, b.Epoch() > previousEpoch, true)
	assert.Equal(t, a.Epoch(), int64(0))
	env.assertStartedOnce()
}

func TestLostWorkerEndsTheWholeGangAndItRunsAgainElsewhere(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.submit(job("j", 2, "8s"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 2 }, a)
	env.workers.SetDown(a.record("j").Workers[0], true)
	env.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	assert.Equal(t, a.record("j").Attempt, 2)
	env.assertStartedOnce()
}

// A revision of the configuration removes the rack that a gang runs in, while its workers answer or are down already. The gang
// runs again elsewhere, but not before it has certainly ended there.
func TestGangOnAWorkerThatIsNoLongerConfiguredRunsAgainElsewhere(t *testing.T) {
	for name, down := range map[string]bool{"workers answer": false, "workers are down": true} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			size := shape.Resources{Accelerators: 8, Cores: 32, MemoryGB: 128}
			racks := []fleet.RackSpec{{Name: "plv-1", Workers: 2, Resources: size}, {Name: "plv-2", Workers: 2, Resources: size}}
			env.doc.DataCentres[0].Racks = racks
			a := env.instance("a")
			a.submit(job("j", 2, "8s"))
			env.waitFor("running", func() bool { return len(env.startCounts()) == 2 }, a)
			first := a.record("j").Workers
			next := *env.doc
			next.Revision++
			next.DataCentres = []fleet.DataCentreSpec{env.doc.DataCentres[0]}
			next.DataCentres[0].Racks = slices.DeleteFunc(slices.Clone(racks), func(r fleet.RackSpec) bool { return strings.HasPrefix(first[0], r.Name) })
			for _, worker := range first {
				env.workers.SetDown(worker, down)
			}
			a.conf.Offer(&next, config.FromStore, env.clock.now())
			began := env.clock.now()
			env.waitFor("started again", func() bool { return len(env.startCounts()) == 4 }, a)
			if down {
				assert.Assert(t, env.clock.now().Sub(began) > 4*time.Second, "the lease of the first attempt may not have expired")
			}
			env.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
			assert.Equal(t, a.record("j").Attempt, 2)
			env.assertStartedOnce()
		})
	}
}

func TestNonIdempotentGangIsInterruptedNotRepeated(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	spec := job("tally", 2, "8s")
	spec.Idempotent, spec.CheckpointEvery = false, span.Duration{}
	a.submit(spec)
	env.waitFor("running", func() bool { return len(env.startCounts()) == 2 }, a)
	env.workers.SetDown(a.record("tally").Workers[0], true)
	env.waitFor("interrupted", func() bool { return a.record("tally").Outcome == queue.Interrupted }, a)
	assert.Equal(t, len(env.startCounts()), 2)
}

func TestStoreOutageKeepsTheResultUntilItIsRecorded(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.submit(job("j", 4, "3s"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	env.kv.SetFault(fake.Fault{Down: true})
	for range 100 {
		env.step(a)
	}
	env.kv.SetFault(fake.Fault{})
	env.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	assert.Equal(t, a.record("j").Attempt, 1)
	env.assertStartedOnce()
}

func TestOutageAndOwnerLossTogetherLoseNoResult(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.instance("a"), env.instance("b")
	a.submit(job("j", 4, "3s"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	env.kv.SetFault(fake.Fault{Down: true})
	for range 60 {
		env.step(a)
	}
	a.paused = true
	env.kv.SetFault(fake.Fault{})
	env.waitFor("finished", func() bool { return b.record("j").Outcome == queue.Finished }, b)
	env.assertStartedOnce()
}

func TestNothingStartsWithoutPermit(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.permit.set(false)
	a.submit(job("j", 4, "3s"))
	for range 50 {
		env.step(a)
	}
	assert.Equal(t, len(env.startCounts()), 0)
	a.permit.set(true)
	env.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
}

func TestJobResumesAfterDrainAndRestore(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.submit(job("j", 4, "20s"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	drained := *env.doc
	drained.Revision = 2
	drained.Drains = []config.Drain{{DataCentre: "plovdiv", Since: env.clock.now(), Deadline: env.clock.now().Add(3 * time.Second)}}
	a.conf.Offer(&drained, config.FromStore, env.clock.now())
	env.waitFor("returned to the queue", func() bool { r := a.record("j"); return r.DataCentre == "" && r.Phase == queue.Waiting }, a)
	assert.Equal(t, a.record("j").Progress.Duration > 0, true)
	a.submit(job("k", 1, "1s"))
	for range 50 {
		env.step(a)
	}
	assert.Equal(t, len(env.startCounts()), 4)
	restored := *env.doc
	restored.Revision = 3
	a.conf.Offer(&restored, config.FromStore, env.clock.now())
	env.waitFor("finished", func() bool { return a.record("j").Outcome == queue.Finished }, a)
	env.assertStartedOnce()
}

func TestCancelStopsEveryMember(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	a.submit(job("j", 4, "1h"))
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	assert.NilError(t, a.ledger.Cancel(context.Background(), "j"))
	env.waitFor("cancelled", func() bool { return a.record("j").Outcome == queue.Cancelled }, a)
	a.submit(job("k", 4, "1s"))
	env.waitFor("capacity for the next job", func() bool { return a.record("k").Outcome == queue.Finished }, a)
}

func TestBadWorkerIsQuarantinedAndJobsFinishElsewhere(t *testing.T) {
	env := newTestEnv(t)
	env.workers.SetFailing("plv-1/0", true)
	a := env.instance("a")
	for n := range 4 {
		a.submit(job(fmt.Sprint("j", n), 1, "2s"))
	}
	env.waitFor("all finished", func() bool {
		for n := range 4 {
			if a.record(fmt.Sprint("j", n)).Outcome != queue.Finished {
				return false
			}
		}
		return true
	}, a)
}

func TestNonIdempotentGangResumesFromItsCheckpoint(t *testing.T) {
	env := newTestEnv(t)
	a := env.instance("a")
	spec := job("tally", 4, "6s")
	spec.Idempotent = false
	a.submit(spec)
	env.waitFor("running", func() bool { return len(env.startCounts()) == 4 }, a)
	drained := *env.doc
	drained.Revision = 2
	drained.Drains = []config.Drain{{DataCentre: "plovdiv", Since: env.clock.now(), Deadline: env.clock.now().Add(2 * time.Second)}}
	a.conf.Offer(&drained, config.FromStore, env.clock.now())
	env.waitFor("returned to the queue", func() bool { return a.record("tally").DataCentre == "" }, a)
	restored := *env.doc
	restored.Revision = 3
	a.conf.Offer(&restored, config.FromStore, env.clock.now())
	env.waitFor("finished", func() bool { return a.record("tally").Outcome == queue.Finished }, a)
	env.assertStartedOnce()
}

func TestReservationOfADeadOwnerNeverStarts(t *testing.T) {
	env := newTestEnv(t)
	a, b := env.instance("a"), env.instance("b")
	spec := job("tally", 2, "2s")
	spec.Idempotent = false
	a.submit(spec)
	env.waitFor("ownership acquired", func() bool { return a.Epoch() != 0 }, a)
	a.DropStartOrders()
	env.waitFor("reserved", func() bool { return a.record("tally").Phase == queue.Running }, a)
	a.paused = true
	a.holder.Abandon()
	env.waitFor("ended", func() bool { return b.record("tally").Phase == queue.Ended }, b)
	// The workers confirmed to the new owner that nothing had started, so the job could still run, and it ran once.
	assert.Equal(t, b.record("tally").Outcome, queue.Finished)
	env.assertStartedOnce()
}
