package group_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// BenchmarkDecide measures one decision while many jobs wait and all workers are busy.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{48, 60}, {350, 450}, {1400, 1800}} {
		b.Run(fmt.Sprintf("workers=%d,jobs=%d", size.workers, size.jobs), func(b *testing.B) {
			e, now := newFullEngine(size.workers, size.jobs)
			b.ResetTimer()
			for range b.N {
				now = now.Add(time.Millisecond)
				e.Decide(true, now)
			}
		})
	}
}

// fullWorkers returns the list of newFullEngine's workers.
func fullWorkers(count int) []group.WorkerInfo {
	infos := make([]group.WorkerInfo, count)
	for i := range infos {
		infos[i] = group.WorkerInfo{ID: fmt.Sprintf("w%04d", i), Service: "main", DataCentre: fmt.Sprintf("dc%d", i%6), Rack: fmt.Sprintf("r%03d", i/8),
			Capacity: group.Resources{MilliCores: 32000, MemoryMB: 128000, Accelerators: 8}, Incarnation: 1}
	}
	return infos
}

// newFullEngine returns an engine with full workers and more jobs than fit.
func newFullEngine(workers, jobs int) (*group.Engine, time.Time) {
	now := time.Unix(1000, 0)
	e := group.New(group.DefaultConfig())
	e.SetPolicy(group.Policy{Queues: []group.Queue{
		{Name: quickQueue, Service: "main", Priority: 0, MaxAttempts: 4, Stretch: 1.5},
		{Name: planQueue, Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3},
		{Name: batchQueue, Service: "main", Priority: 2, MaxAttempts: 4, Stretch: 3},
	}, Workspaces: []group.Workspace{{Name: "alpha", Guaranteed: 16}}})
	infos := fullWorkers(workers)
	e.SetWorkers(infos, now)
	for _, info := range infos {
		e.ApplyListing(info.ID, group.Listing{Incarnation: 1}, now, now)
	}
	queues := []string{planQueue, batchQueue, batchQueue}
	for i := range jobs {
		step := work.Step{Count: 4 + i%5, MilliCores: 4000, MemoryMB: 8000, Accelerators: 1 + i%8, Estimate: 8 * time.Second, Gang: i%3 == 0}
		e.Load(&work.Spec{Job: fmt.Sprintf("%016x", i), Queue: queues[i%3], Workspace: "beta", Steps: []work.Step{step}}, nil, time.Duration(i)*time.Millisecond, now, now)
	}
	for range 3 {
		e.Decide(true, now)
		for _, u := range e.Updates(math.MaxInt, now) {
			e.Committed(u, now)
		}
		e.Actions()
	}
	return e, now
}
