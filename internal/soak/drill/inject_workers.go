package drill

import (
	"context"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

func (inj *injector) doWorkers(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.WorkersCrashed:
		workers := inj.someWorkers(x.Share)
		each(workers, func(w *worker.Worker) { w.Crash(time.Now(), "it crashes") })
		if x.Pause > 0 {
			wait(ctx, x.Pause)
			each(workers, func(w *worker.Worker) { inj.must(w.Start(time.Now(), x.SameID)) })
		}
	case fault.WorkersDrained:
		workers := inj.someWorkers(x.Share)
		each(workers, func(w *worker.Worker) { w.Drain(time.Now(), x.Notice) })
		wait(ctx, x.Notice)
		each(workers, func(w *worker.Worker) {
			w.Leave(time.Now())
			inj.must(w.Start(time.Now(), false))
		})
	case fault.WorkersCut:
		workers := inj.someWorkers(x.Share)
		each(workers, func(w *worker.Worker) { cut(w, 1) })
		wait(ctx, x.For)
		each(workers, func(w *worker.Worker) { cut(w, -1) })
	case fault.WorkersFaulty:
		workers := inj.someWorkers(x.Share)
		each(workers, func(w *worker.Worker) {
			w.Set(worker.Behavior{Fails: x.Fails, Late: x.Late, Unhealthy: x.Unhealthy, Slow: x.Slow})
		})
		wait(ctx, x.For)
		each(workers, func(w *worker.Worker) { w.Set(worker.Behavior{}) })
	}
}
