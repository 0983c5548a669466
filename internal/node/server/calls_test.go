package server

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

const (
	countedInstances = 41
	countedWorkers   = 60
	countedSeconds   = 60
	jobsPerSecond    = 12
)

// countingStore counts calls by component, and renewals of leases apart from the others.
type countingStore struct {
	*fake.Transactor
	mu     sync.Mutex
	counts map[store.Component]callCount
}

type callCount struct{ full, renewals int }

// price is the cost in full calls: a renewal costs a tenth.
func (c callCount) price() float64 { return float64(c.full) + float64(c.renewals)/10 }

func (s *countingStore) count(ctx context.Context, full, renewals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts[store.ComponentOf(ctx)]
	s.counts[store.ComponentOf(ctx)] = callCount{full: c.full + full, renewals: c.renewals + renewals}
}

func (s *countingStore) Item(ctx context.Context, key string) (store.Item, error) {
	s.count(ctx, 1, 0)
	return s.Transactor.Item(ctx, key)
}

func (s *countingStore) Range(ctx context.Context, prefix string) ([]store.Item, int64, error) {
	s.count(ctx, 1, 0)
	return s.Transactor.Range(ctx, prefix)
}

func (s *countingStore) Changes(ctx context.Context, prefix string, after int64, wait time.Duration) ([]store.Change, int64, error) {
	s.count(ctx, 1, 0)
	return s.Transactor.Changes(ctx, prefix, after, wait)
}

func (s *countingStore) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	s.count(ctx, 1, 0)
	return s.Transactor.Commit(ctx, tx)
}

func (s *countingStore) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	s.count(ctx, 1, 0)
	return s.Transactor.Grant(ctx, ttl)
}

func (s *countingStore) Renew(ctx context.Context, lease int64) error {
	s.count(ctx, 0, 1)
	return s.Transactor.Renew(ctx, lease)
}

func (s *countingStore) Revoke(ctx context.Context, lease int64) error {
	s.count(ctx, 1, 0)
	return s.Transactor.Revoke(ctx, lease)
}

// take returns the counts since the last call, and logs them.
func (s *countingStore) take(t *testing.T, phase string) (all callCount) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, component := range slices.Sorted(maps.Keys(s.counts)) {
		c := s.counts[component]
		all = callCount{full: all.full + c.full, renewals: all.renewals + c.renewals}
		t.Logf("%-6s %-14s full %5d renewals %5d price %7.1f", phase, component, c.full, c.renewals, c.price())
	}
	t.Logf("%-6s %-14s full %5d renewals %5d price %7.1f", phase, "all", all.full, all.renewals, all.price())
	clear(s.counts)
	return all
}

// countedSite reads a configuration and a list of workers with one call each, as the platform's reader does.
type countedSite struct{ store *countingStore }

func (o countedSite) Read(ctx context.Context) (policy.Snapshot, error) {
	items, _, err := o.store.Range(ctx, "config")
	if err != nil {
		return policy.Snapshot{}, err
	}
	p := &policy.Policy{Version: items[0].Revision, Queues: []policy.Queue{{
		Queue: group.Queue{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}, Host: "host", Prefix: "/plan/", Public: true,
	}}}
	p.Prepare()
	return policy.Snapshot{Policy: p, Guard: store.Expectation{Key: "config", Revision: items[0].Revision}}, nil
}

func (o countedSite) Workers(ctx context.Context) ([]group.WorkerInfo, error) {
	if _, _, err := o.store.Range(ctx, "servers/"); err != nil {
		return nil, err
	}
	list := make([]group.WorkerInfo, 0, countedWorkers)
	for _, id := range workerIDs() {
		list = append(list, group.WorkerInfo{ID: id, Service: "main", Address: id, DataCentre: "dc", Rack: "r", Capacity: group.Resources{MilliCores: 8000, Accelerators: 8}, Incarnation: 1})
	}
	return list, nil
}

func workerIDs() (ids []string) {
	for i := range countedWorkers {
		ids = append(ids, fmt.Sprintf("w%02d", i))
	}
	return ids
}

// countedFleet is a number of instances in one process, on a clock that the test controls.
type countedFleet struct {
	store     *countingStore
	agents    *fake.Agents
	instances []*Server
	parts     sync.WaitGroup
}

func newCountedFleet(t *testing.T, size int) *countedFleet {
	t.Helper()
	f := &countedFleet{store: &countingStore{Transactor: fake.NewTransactor(), counts: make(map[store.Component]callCount)}, agents: fake.NewAgents(workerIDs()...)}
	f.store.Put("config", nil)
	for i := range size {
		f.instances = append(f.instances, f.newInstance(fmt.Sprintf("%s%02d", t.Name(), i)))
	}
	return f
}

func (f *countedFleet) newInstance(name string) *Server {
	out := countedSite{store: f.store}
	s := New(Options{
		Instance: name, Store: f.store, Agent: f.agents, Lister: out, Source: out, Log: event.Discard(), KeyAge: 3 * time.Second, DataCentre: "dc", Cores: 1,
		Limits: term.Limits{MaxLease: 6 * time.Second, StopTimeout: time.Second, PolicyAge: 3 * time.Second, CapAge: 1800 * time.Millisecond, ListAge: 1800 * time.Millisecond, Retention: time.Minute, RemoteFactor: 3},
	})
	s.useClock(time.Now)
	s.Jobs.Ping = s.peers.Ping
	return s
}

// useClock replaces the clocks of the parts that call the store.
func (s *Server) useClock(now func() time.Time) {
	s.now, s.elector.Now, s.Jobs.Now, s.workerSizes.now = now, now, now, now
	s.policy = policy.NewHolder(s.Source, now, s.logActivePolicy)
	s.elector.Policy, s.Jobs.Policy = s.policy, s.policy
}

// run starts the parts of all instances that call the store, each at its own time; the returned function stops them.
func (f *countedFleet) run(t *testing.T) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	for i, s := range f.instances {
		f.parts.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			var parts sync.WaitGroup
			parts.Go(func() { s.refresh(store.From(ctx, store.Configuration)) })
			parts.Go(func() { s.workerSizes.run(store.From(ctx, store.Sizes)) })
			parts.Go(func() { s.elector.Run(store.From(ctx, store.Election), make(chan struct{})) })
			parts.Go(func() { s.peers.Run(store.From(ctx, store.Instances)) })
			parts.Wait()
		})
	}
	return func() {
		cancel()
		f.parts.Wait()
	}
}

// serve submits jobs to all instances in turn for the time; callers ask for the state of each once a second until it has ended.
func (f *countedFleet) serve(t *testing.T, lasts time.Duration) {
	t.Helper()
	var callers sync.WaitGroup
	for i := range int(lasts.Seconds() * jobsPerSecond) {
		s, job := f.instances[i%len(f.instances)], fmt.Sprintf("%016x", i+1)
		callers.Go(func() { f.call(t, s, job) })
		time.Sleep(time.Second / jobsPerSecond)
	}
	callers.Wait()
}

// call submits a job whose task takes three seconds, and waits for its end.
func (f *countedFleet) call(t *testing.T, s *Server, job string) {
	caller := admit.Caller{Host: "host", Path: "/plan/" + job}
	spec := &work.Spec{Steps: []work.Step{{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: 3 * time.Second}}}
	assert.Check(t, s.Jobs.Submit(t.Context(), caller, spec).Result == admit.OK)
	for asked := 1; s.Jobs.State(t.Context(), caller).Phase != work.Completed; asked++ {
		if !assert.Check(t, asked < 30, "job %s does not end", job) {
			return
		}
		time.Sleep(time.Second)
		if asked >= 3 {
			f.agents.ExitTask(job+".0.0.0", group.Done)
		}
	}
}

// Guards against calls to the store that grow unnoticed, and shows which component makes them.
func TestCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCountedFleet(t, countedInstances)
		stop := f.run(t)
		defer stop()
		time.Sleep(20 * time.Second)
		f.store.take(t, "start")
		time.Sleep(countedSeconds * time.Second)
		calm := f.store.take(t, "calm")
		f.serve(t, countedSeconds*time.Second)
		busy := f.store.take(t, "jobs")
		assert.Check(t, calm.price() < maxCalmPrice, "%.0f", calm.price())
		assert.Check(t, busy.price() < maxBusyPrice, "%.0f", busy.price())
	})
}

// maxCalmPrice and maxBusyPrice bound the price of the calls in the two minutes of TestCallsToTheStore, one tenth above what was measured.
const (
	maxCalmPrice = 12200
	maxBusyPrice = 21800
)
