package term_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"gotest.tools/v3/assert"
)

// restartingWorkers lists a worker of a later incarnation once restarted has its ID.
type restartingWorkers struct {
	fixedWorkers
	restarted *atomic.Value
}

// Workers lists the workers.
func (w restartingWorkers) Workers(ctx context.Context) ([]group.WorkerInfo, error) {
	list, err := w.fixedWorkers.Workers(ctx)
	for i := range list {
		if list[i].ID == w.restarted.Load() {
			list[i].Incarnation = 2
		}
	}
	return list, err
}

// Guards against two runs of a task: a worker that restarts may execute a start without an answer, and its lease is longer than the
// record of leases said before.
func TestRecordOfLeasesFollowsARestartOfTheWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSuccession(t)
		var calls atomic.Int32
		s.agents.OnStart = func(string, agent.Start) error {
			if calls.Add(1) == 1 {
				return errors.New("lost")
			}
			return nil
		}
		var restarted atomic.Value
		elect := func(name string) func() {
			e := s.elector(name, s.store, s.workers, nil)
			e.Lister = restartingWorkers{fixedWorkers{"w1", "w2"}, &restarted}
			return s.run(e)
		}
		stop := elect("a")
		s.loseWorker()
		time.Sleep(5 * time.Second)
		restarted.Store(s.agents.WorkerOf(task))
		time.Sleep(time.Second)
		s.instances.remove("a")
		stop()
		elect("b")
		waited := s.startsAgainAfter()
		assert.Assert(t, waited > 5*time.Second, "%s", waited)
	})
}
