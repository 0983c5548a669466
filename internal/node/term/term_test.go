package term_test

import (
	"context"
	"errors"
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const (
	job  = "5c0e7a21d94b36f8"
	task = job + ".0.0.0"
)

// fixedPolicy is the source of a fixed configuration.
type fixedPolicy struct{}

func (fixedPolicy) Read(context.Context) (policy.Snapshot, error) {
	p := &policy.Policy{Version: 1, Queues: []policy.Queue{{Queue: group.Queue{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}}}}
	p.Prepare()
	return policy.Snapshot{Policy: p}, nil
}

// fixedWorkers lists the given workers.
type fixedWorkers []string

func (w fixedWorkers) Workers(context.Context) ([]group.WorkerInfo, error) {
	var list []group.WorkerInfo
	for _, id := range w {
		list = append(list, group.WorkerInfo{ID: id, Service: "main", Address: id, DataCentre: "dc", Rack: "r", Capacity: group.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8}, Incarnation: 1})
	}
	return list, nil
}

// agentWorkers lists the workers with their present incarnations.
type agentWorkers struct {
	fixedWorkers
	agents *fake.Agents
}

func (w agentWorkers) Workers(ctx context.Context) ([]group.WorkerInfo, error) {
	list, err := w.fixedWorkers.Workers(ctx)
	for i := range list {
		list[i].Incarnation = w.agents.Incarnation(list[i].ID)
	}
	return list, err
}

type site struct {
	t      *testing.T
	store  *fake.Transactor
	agents *fake.Agents
	// valueBytes and entries are the limits of the store, zero for the defaults.
	valueBytes int
	entries    int
	log        *event.Log
	maxLease   time.Duration
	// instances can ask each other for their leases.
	instances directory
}

// By hand, all tests with a store whose limits are reached by small jobs:
// go test ./internal/node/term -store.valueBytes 200 -store.entries 4
var (
	storeValueBytes = flag.Int("store.valueBytes", 0, "size of the largest value that the store accepts, zero for no limit")
	storeEntries    = flag.Int("store.entries", store.MaxEntries, "maximum number of entries of a transaction")
)

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, maxLease: 6 * time.Second, store: fake.NewTransactor(), agents: fake.NewAgents("w1", "w2"), log: event.Discard()}
	if *storeValueBytes > 0 {
		s.limit(*storeValueBytes, *storeEntries)
	}
	return s
}

// limit sets the limits of the store.
func (s *site) limit(valueBytes, entries int) {
	s.valueBytes, s.entries = valueBytes, entries
	s.store.SetLimits(valueBytes, entries)
}

// elect lets an instance compete for ownership; the returned function stops it and waits.
func (s *site) elect(name string) (stop func()) {
	s.t.Helper()
	return s.electAmong(name, nil)
}

// electAmong is the same for an instance that compares itself with others.
func (s *site) electAmong(name string, others term.Peers) (stop func()) {
	s.t.Helper()
	return s.electWith(name, s.agents, others)
}

// electWith is the same for an instance that reaches the workers through agents.
func (s *site) electWith(name string, agents agent.Client, others term.Peers) (stop func()) {
	s.t.Helper()
	return s.electOn(name, s.store, agents, others)
}

// electOn is the same for an instance that reaches the key-value store through kv.
func (s *site) electOn(name string, kv store.Transactor, agents agent.Client, others term.Peers) (stop func()) {
	s.t.Helper()
	return s.run(s.elector(name, kv, agents, others))
}

// elector returns an instance that does not compete yet.
func (s *site) elector(name string, kv store.Transactor, agents agent.Client, others term.Peers) *term.Elector {
	s.t.Helper()
	holder := policy.NewHolder(fixedPolicy{}, time.Now, func(policy.Snapshot) {})
	assert.NilError(s.t, holder.Refresh(s.t.Context()))
	e := &term.Elector{
		Instance: name, Store: kv, Agent: agents, Lister: agentWorkers{fixedWorkers{"w1", "w2"}, s.agents}, Policy: holder,
		Limits: term.Limits{MaxLease: s.maxLease, StopTimeout: time.Second, PolicyAge: time.Minute, ListAge: time.Minute, Retention: time.Minute, RemoteFactor: 3, MaxValueBytes: s.valueBytes, MaxEntries: s.entries},
		Peers:  others, Log: s.log, Meter: meter.New(s.t.Name() + name), Now: time.Now, WallNow: time.Now,
		Predecessors: &s.instances,
	}
	s.instances.add(e)
	return e
}

// run lets the instance compete; the returned function stops it and waits.
func (s *site) run(e *term.Elector) (stop func()) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go e.Run(ctx, done)
	stop = func() {
		cancel()
		<-done
	}
	s.t.Cleanup(stop)
	return stop
}

func (s *site) submit() {
	spec := work.Spec{Job: job, Queue: "plan", Steps: []work.Step{{Count: 1, MilliCores: 1000, Accelerators: 1, Estimate: time.Second}}, Accepted: time.Now()}
	data, err := spec.Encode()
	assert.NilError(s.t, err)
	s.store.Put(work.SpecKey(job), data)
}

func (s *site) record() *work.Record {
	item, err := s.store.Item(s.t.Context(), work.RecordKey(job))
	if err != nil || item.Revision == 0 {
		return &work.Record{}
	}
	record, err := work.DecodeRecord(item.Data)
	assert.NilError(s.t, err)
	return record
}

func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
}

func (s *site) running() bool { return s.agents.WorkerOf(task) != "" }

func TestJobRunsOnceAndItsEndIsRecordedBeforeItIsAcknowledged(t *testing.T) {
	s := newSite(t)
	s.elect("a")
	s.submit()
	s.eventually("the task runs", s.running)
	var failing atomic.Bool
	failing.Store(true)
	s.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "commit" && failing.Load() {
			return fake.Down
		}
		return fake.Delivered
	})
	assert.Assert(t, s.agents.ExitTask(task, group.Done))
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, s.agents.UnacknowledgedExits(), 1)
	failing.Store(false)
	s.eventually("the exit is acknowledged", func() bool { return s.agents.UnacknowledgedExits() == 0 })
	assert.Equal(t, s.record().Phase, work.Completed)
	assert.Equal(t, s.agents.Starts[task], 1)
}

func TestIntentIsRecordedBeforeTheStartIsSent(t *testing.T) {
	s := newSite(t)
	recorded := make(chan bool, 16)
	s.agents.OnStart = func(worker string, _ agent.Start) error {
		record := s.record()
		recorded <- len(record.Groups) == 1 && len(record.Groups[0].Workers) == 1 && record.Groups[0].Workers[0] == worker
		return nil
	}
	s.elect("a")
	s.submit()
	assert.Assert(t, <-recorded)
}

func TestSuccessorAdoptsWhatRuns(t *testing.T) {
	s := newSite(t)
	stop := s.elect("a")
	s.submit()
	s.eventually("the task runs", s.running)
	stop()
	s.elect("b")
	s.eventually("the successor is the owner", func() bool {
		item, err := s.store.Item(t.Context(), work.OwnerKey)
		return err == nil && item.Revision != 0
	})
	assert.Assert(t, s.agents.ExitTask(task, group.Done))
	s.eventually("the job is completed", func() bool { return s.record().Phase == work.Completed })
	assert.Equal(t, s.agents.Starts[task], 1)
}

func TestOwnerWhoseKeyIsGoneChangesNothing(t *testing.T) {
	s := newSite(t)
	stop := s.elect("a")
	s.eventually("an owner", func() bool {
		item, err := s.store.Item(t.Context(), work.OwnerKey)
		return err == nil && item.Revision != 0
	})
	item, err := s.store.Item(t.Context(), work.OwnerKey)
	assert.NilError(t, err)
	s.store.ExpireLease(item.Lease)
	_, err = s.store.Commit(t.Context(), store.Transaction{Expected: []store.Expectation{{Key: work.OwnerKey}}, Writes: []store.Write{{Key: work.OwnerKey, Data: []byte(`{"instance":"other"}`)}}})
	assert.NilError(t, err)
	s.submit()
	time.Sleep(300 * time.Millisecond)
	stop()
	assert.Equal(t, len(s.record().Groups), 0)
	assert.Assert(t, !s.running())
}

func TestStartWhoseAnswerIsLostIsSentAgainToTheSameWorker(t *testing.T) {
	s := newSite(t)
	var calls atomic.Int32
	s.agents.OnStart = func(string, agent.Start) error {
		if calls.Add(1) == 1 {
			return errors.New("lost")
		}
		return nil
	}
	s.elect("a")
	s.submit()
	s.eventually("the task runs", s.running)
	assert.Equal(t, s.agents.OverlappingStarts, 0)
	assert.Equal(t, s.record().Groups[0].Run, 1)
}

func TestJobIsFoundThoughTheWatchKeepsSilent(t *testing.T) {
	s := newSite(t)
	s.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "changes" {
			return fake.HistoryCompacted
		}
		return fake.Delivered
	})
	s.elect("a")
	s.submit()
	s.store.Put(work.WaitKey("plan", job), nil)
	s.eventually("the task runs", s.running)
}

func TestCommitWhoseAnswerIsLostIsNotDoneTwice(t *testing.T) {
	s := newSite(t)
	var lost atomic.Int32
	s.store.SetOutcomes(func(operation string) fake.CallOutcome {
		// The first commit acquires ownership, the next two are for the job.
		if operation == "commit" && lost.Add(1) > 1 && lost.Load() < 4 {
			return fake.ResponseLost
		}
		return fake.Delivered
	})
	s.elect("a")
	s.submit()
	s.eventually("the task runs", s.running)
	assert.Equal(t, s.agents.Starts[task], 1)
	assert.Assert(t, s.agents.ExitTask(task, group.Done))
	s.eventually("the job is completed", func() bool { return s.record().Phase == work.Completed })
	assert.Equal(t, s.agents.Starts[task], 1)
}

// Guards against an exit that is never acknowledged: no record has its task any more, and nothing else is to be written.
func TestExitOfAnUnknownTaskIsAcknowledgedWithoutACommit(t *testing.T) {
	s := newSite(t)
	assert.NilError(t, s.agents.Start(t.Context(), agent.Target{Worker: "w1"}, agent.Start{Task: "gone.0.0.0", Run: 1}))
	assert.Assert(t, s.agents.ExitTask("gone.0.0.0", group.Done))
	s.elect("a")
	s.eventually("the exit is acknowledged", func() bool { return s.agents.UnacknowledgedExits() == 0 })
}

// largerPeer reports that a larger instance is up.
type largerPeer struct{}

func (largerPeer) HasLargerPeer() bool { return true }

func (largerPeer) AddressesIn(string) []string { return nil }

func (s *site) owner() string {
	item, err := s.store.Item(s.t.Context(), work.OwnerKey)
	assert.NilError(s.t, err)
	return string(item.Data)
}

// Guards against a small instance as owner after all instances start at once and a small one is the first.
func TestSmallInstanceLeavesAFreeKeyToALargerOne(t *testing.T) {
	s := newSite(t)
	var reads atomic.Int32
	s.store.SetOutcomes(func(operation string) fake.CallOutcome {
		if operation == "range" {
			reads.Add(1)
		}
		return fake.Delivered
	})
	s.electAmong("small", largerPeer{})
	s.eventually("the small instance has read the free key", func() bool { return reads.Load() > 0 })
	s.elect("large")
	s.eventually("an owner", func() bool { return s.owner() != "" })
	assert.Equal(t, s.owner(), `{"instance":"large","withholds":true}`)
}

func TestSmallInstanceDecidesIfNoLargerOneDoes(t *testing.T) {
	s := newSite(t)
	s.electAmong("small", largerPeer{})
	s.eventually("an owner", func() bool { return s.owner() == `{"instance":"small","withholds":true}` })
}
