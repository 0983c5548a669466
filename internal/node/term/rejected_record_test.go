package term_test

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// put stores the spec of a job with the given ID and steps, and its key among those that wait.
func (s *site) put(id string, steps ...work.Step) {
	spec := work.Spec{Job: id, Queue: "plan", Steps: steps, Accepted: time.Now()}
	data, err := spec.Encode()
	assert.NilError(s.t, err)
	s.store.Put(work.SpecKey(id), data)
	s.store.Put(work.WaitKey("plan", id), nil)
}

// rejectRecordOf makes the store reject all transactions that write the record of the job, and returns how many it has rejected.
func rejectRecordOf(kv *fake.Transactor, job string) (count func() int) {
	var rejected atomic.Int64
	kv.SetAccepted(func(tx store.Transaction) bool {
		for _, w := range tx.Writes {
			if strings.HasPrefix(w.Key, work.RecordKey(job)) {
				rejected.Add(1)
				return false
			}
		}
		return true
	})
	return func() int { return int(rejected.Load()) }
}

// Guards against jobs that never start: their records are written in the same transactions as one that the store rejects.
func TestRejectedRecordHoldsUpNoOtherJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		const others = 40
		small := work.Step{Count: 1, MilliCores: 100, Estimate: time.Second}
		count := rejectRecordOf(s.store, job)
		s.put(job, small)
		for i := range others {
			s.put(fmt.Sprintf("%016x", i), small)
		}
		s.elect("a")
		time.Sleep(2 * time.Second)
		for i := range others {
			assert.Assert(t, s.agents.WorkerOf(fmt.Sprintf("%016x.0.0.0", i)) != "", "job %d", i)
		}
		assert.Assert(t, !s.running())
		// The rejected record is written ever more seldom.
		before := count()
		time.Sleep(time.Minute)
		assert.Assert(t, count()-before <= 10, "%d writes in a minute", count()-before)
		assert.Assert(t, count() > before)
	})
}

// Guards against a job that stays behind: its record is accepted again, as after a change of the store's limits.
func TestJobRunsOnceItsRecordIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		rejectRecordOf(s.store, job)
		s.submit()
		s.elect("a")
		time.Sleep(10 * time.Second)
		assert.Assert(t, !s.running())
		s.store.SetAccepted(nil)
		time.Sleep(9 * time.Second)
		assert.Assert(t, s.running())
	})
}
