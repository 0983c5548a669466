package deck

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// fleetEvery is how often the list of workers is read to know their sizes, which seldom change.
const fleetEvery = 5 * time.Second

// fleet remembers the largest worker of each service, so that tasks that fit nowhere are refused when they are handed in.
type fleet struct {
	lister term.Lister
	log    *event.Log

	mu      sync.Mutex
	largest map[string]sets.Room
}

func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		call, done := context.WithTimeout(ctx, refreshTimeout)
		workers, err := f.lister.Workers(call)
		done()
		if err != nil {
			f.log.Emit(event.ListLost, event.Fields{"list": "workers", "error": err.Error()})
		}
		f.see(workers)
		pause.For(ctx, fleetEvery)
	}
}

// see takes in a list; sizes once seen are kept, as a worker that is away may come back.
func (f *fleet) see(workers []sets.WorkerInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.largest == nil {
		f.largest = make(map[string]sets.Room)
	}
	for _, w := range workers {
		most := f.largest[w.Service]
		f.largest[w.Service] = sets.Room{
			MilliCores: max(most.MilliCores, w.Capacity.MilliCores), MemoryMB: max(most.MemoryMB, w.Capacity.MemoryMB),
			Accelerators: max(most.Accelerators, w.Capacity.Accelerators),
		}
	}
}

// servable returns why no worker of the service could ever run the job's tasks, or nothing.
func (f *fleet) servable(service string, spec *work.Spec) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, known := f.largest[service]
	if !known {
		return ""
	}
	for i, step := range spec.Steps {
		need := sets.Room{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
		if need.Count(most, 1) == 0 {
			return fmt.Sprintf("a task of step %d needs %+v, and the largest worker has %+v", i, need, most)
		}
	}
	return ""
}
