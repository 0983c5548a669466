package term_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// killOwner stops the last instance, which can't be asked any more, and starts another one.
func (s *succession) killOwner() {
	last := len(s.stops) - 1
	s.instances.remove(fmt.Sprint("owner-", last))
	s.stops[last]()
	s.stops = append(s.stops, s.electWith(fmt.Sprint("owner-", last+1), s.workers, nil))
}

// Guards against tasks of a lost worker that wait for the longest lease anew with each owner that is killed (issue 48, LOST).
func TestKilledOwnersDoNotProlongTheWaitForALostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "owner-0")
		s.loseWorker()
		for range 4 {
			time.Sleep(2500 * time.Millisecond)
			s.killOwner()
		}
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 2*time.Second, "%s after the last owner was killed", waited)
	})
}

// The same if the first owner is killed a second after the worker crashed.
func TestOwnerRecordsAWorkerSoonAfterItCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "owner-0")
		s.loseWorker()
		time.Sleep(time.Second)
		s.killOwner()
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 6*time.Second, "%s", waited)
	})
}

// The same with owners that don't live long enough to notice that the worker is silent: they pass on what they have read.
func TestOwnersOfShortTermsKeepTheRecordOfALostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "owner-0")
		s.loseWorker()
		time.Sleep(4 * time.Second)
		for range 3 {
			s.killOwner()
			time.Sleep(700 * time.Millisecond)
		}
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 5*time.Second, "%s", waited)
	})
}

// The same if the first owner is lost together with the worker, and the next ones soon after.
func TestOwnersOfShortTermsRecordAWorkerThatTheyNeverReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "owner-0")
		s.loseWorker()
		for range 10 {
			s.killOwner()
			time.Sleep(1300 * time.Millisecond)
		}
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 2*time.Second, "%s", waited)
	})
}

// The same if it takes long until the next owner is there: it has seen the record's revision while it waited.
func TestTimeWithoutAnOwnerCountsForTheRecordOfALostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newLongLeaseSite(t)
		s.loseWorker()
		time.Sleep(3 * time.Second)
		item, err := s.store.Item(t.Context(), work.OwnerKey)
		assert.NilError(t, err)
		s.instances.remove("a")
		var away atomic.Bool
		away.Store(true)
		s.store.SetOutcomes(func(string) fake.CallOutcome {
			if away.Load() {
				return fake.Down
			}
			return fake.Delivered
		})
		s.stops[0]()
		s.store.ExpireLease(item.Lease)
		time.Sleep(4 * time.Second)
		away.Store(false)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 1500*time.Millisecond, "%s", waited)
	})
}

// killOwnerOf kills the instance that is the owner, whose lease then lapses.
func (s *succession) killOwnerOf(instances []string) {
	s.t.Helper()
	item, err := s.store.Item(s.t.Context(), work.OwnerKey)
	assert.NilError(s.t, err)
	for i, name := range instances {
		if !strings.Contains(string(item.Data), fmt.Sprintf("%q", name)) {
			continue
		}
		s.instances.remove(name)
		s.store.SetOutcomes(func(operation string) fake.CallOutcome {
			if operation == "revoke" {
				return fake.Down
			}
			return fake.Delivered
		})
		s.stops[i]()
		s.store.SetOutcomes(nil)
		time.Sleep(1200 * time.Millisecond)
		s.store.ExpireLease(item.Lease)
		return
	}
	s.t.Fatalf("no instance owns: %s", item.Data)
}

// Guards against tasks of a worker that is lost right before its owner: each of several owners in a row prolongs the wait (review/10, LOST).
// The second owner counts 8.2 s; 2% are added for clocks, and 0.4 s for the time until others have seen a term begin, and decisions.
func TestOwnersInARowDoNotProlongTheWaitForAWorkerThatNoneHasReached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := []string{"a", "b", "c", "d", "e", "f"}
		s := newSuccession(t, instances...)
		s.loseWorker()
		time.Sleep(300 * time.Millisecond)
		s.killOwnerOf(instances)
		began := time.Now()
		for range 3 {
			time.Sleep(500 * time.Millisecond)
			s.killOwnerOf(instances)
		}
		s.eventually("the task starts again", func() bool { return s.agents.Started(task) > 1 })
		waited := time.Since(began)
		assert.Assert(t, waited < 8800*time.Millisecond, "%s after the first owner was replaced", waited)
	})
}

// shrinkingWorkers lists the workers without the one that is gone.
type shrinkingWorkers struct {
	fixedWorkers
	agents *crashingAgents
}

// Workers lists the workers.
func (w shrinkingWorkers) Workers(ctx context.Context) ([]group.WorkerInfo, error) {
	list, err := w.fixedWorkers.Workers(ctx)
	w.agents.mu.Lock()
	defer w.agents.mu.Unlock()
	return slices.DeleteFunc(list, func(info group.WorkerInfo) bool { return info.ID == w.agents.gone }), err
}

// Guards against a job that stands for one more lease: an owner has counted the lost worker's tasks as ended and has forgotten the worker,
// and is killed before it has recorded that.
func TestWorkerThatAnOwnerHasForgottenStaysOnRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		elect := func(name string) (stop func()) {
			e := s.elector(name, s.store, s.workers, nil)
			e.Lister = shrinkingWorkers{fixedWorkers{"w1", "w2"}, s.workers}
			return s.run(e)
		}
		stop := elect("a")
		s.loseWorker()
		failing := s.failRecords()
		time.Sleep(9 * time.Second)
		s.instances.remove("a")
		stop()
		failing.Store(false)
		elect("b")
		waited := s.startsAgainAfter()
		assert.Assert(t, waited < 2*time.Second, "%s", waited)
	})
}

// Guards against two runs of a task: an owner of an earlier release may have granted leases that the record withholds.
func TestRecordOfLeasesIsNotTrustedAfterAnOwnerOfAnEarlierRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t, "owner-0")
		s.loseWorker()
		time.Sleep(4 * time.Second)
		s.stops[0]()
		lease, err := s.store.Grant(t.Context(), time.Second)
		assert.NilError(t, err)
		s.store.PutWithLease(work.OwnerKey, []byte(`{"instance":"x"}`), lease)
		s.store.ExpireLease(lease)
		s.instances.remove("owner-0")
		s.electWith("b", s.workers, nil)
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 8*time.Second, "%s", waited)
	})
}

// grantChecker is the agents of an owner, and checks that no lease is granted to a worker that the stored record lists.
type grantChecker struct {
	*crashingAgents
	store   *fake.Transactor
	mu      sync.Mutex
	granted int
	broken  []string
}

func (g *grantChecker) grants(worker string) {
	item, err := g.store.Item(context.Background(), work.LeasesKey)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted++
	if err != nil || item.Revision == 0 {
		return
	}
	record, err := work.DecodeLeaseRecord(item.Data)
	if _, listed := record.Remaining[worker]; err != nil || listed {
		g.broken = append(g.broken, worker)
	}
}

func (g *grantChecker) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.granted
}

func (g *grantChecker) Start(ctx context.Context, to agent.Target, start agent.Start) error {
	g.grants(to.Worker)
	return g.crashingAgents.Start(ctx, to, start)
}

func (g *grantChecker) Poll(ctx context.Context, to agent.Target, poll agent.Poll) (agent.PollResponse, error) {
	if poll.Deadline != 0 {
		g.grants(to.Worker)
	}
	answer, err := g.crashingAgents.Poll(ctx, to, poll)
	for i := range answer.Running {
		// A task without progress would be stopped.
		answer.Running[i].Percent = int(time.Now().Unix() % 98)
	}
	return answer, err
}

// lateWrites is a store that executes writes of the record of leases late, or loses their answers.
type lateWrites struct {
	*fake.Transactor
	calls int
}

func (l *lateWrites) Commit(ctx context.Context, tx store.Transaction) (int64, error) {
	if len(tx.Writes) != 1 || tx.Writes[0].Key != work.LeasesKey {
		return l.Transactor.Commit(ctx, tx)
	}
	l.calls++
	switch l.calls % 4 {
	case 0:
		return l.Transactor.Commit(ctx, tx)
	case 1, 3:
		time.AfterFunc(2500*time.Millisecond, func() { _, _ = l.Transactor.Commit(context.Background(), tx) })
	default:
		if _, err := l.Transactor.Commit(ctx, tx); err != nil {
			return 0, err
		}
	}
	<-ctx.Done()
	return 0, &store.LostError{Cause: ctx.Err().Error()}
}

// Guards against two runs of a task: a worker that answers again gets leases while the next owner would still read that it gets none.
func TestWorkerThatAnswersAgainGetsNoLeaseWhileTheRecordListsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		checker := &grantChecker{crashingAgents: s.workers, store: s.store}
		s.electOn("a", &lateWrites{Transactor: s.store}, checker, nil)
		s.loseWorker()
		for round := range 40 {
			s.workers.crash(s.agents.WorkerOf(task))
			time.Sleep(1500*time.Millisecond + time.Duration(round)*50*time.Millisecond)
			s.workers.crash("")
			granted := checker.count()
			time.Sleep(6 * time.Second)
			assert.Assert(t, checker.count() > granted, "no leases are granted any more")
		}
		checker.mu.Lock()
		defer checker.mu.Unlock()
		assert.Equal(t, len(checker.broken), 0, "%v", checker.broken)
	})
}
