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

const (
	// fleetEvery is how often the list of workers is read to know their sizes, which seldom change; a thousand workers are
	// 0.4 MB, and every instance reads them.
	fleetEvery = time.Minute
	// fleetRetry is the wait after a read that failed.
	fleetRetry = 5 * time.Second
	// fleetAge is how old the list may be for a job to be refused by it without another read.
	fleetAge = 5 * time.Second
)

// fleet remembers the largest worker of each service, so that tasks that fit nowhere are refused when they are handed in.
type fleet struct {
	lister term.Lister
	log    *event.Log
	now    func() time.Time

	mu      sync.Mutex
	largest map[string]sets.Room
	// readAt is when the list was last asked for with success.
	readAt time.Time
}

func (f *fleet) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := fleetEvery
		if !f.read(ctx) {
			wait = fleetRetry
		}
		pause.For(ctx, wait)
	}
}

// read reads the list and reports whether that went well.
func (f *fleet) read(ctx context.Context) bool {
	call, done := context.WithTimeout(ctx, refreshTimeout)
	defer done()
	sent := f.now()
	workers, err := f.lister.Workers(call)
	if err != nil {
		f.log.Emit(event.ListLost, event.Fields{"list": "workers", "error": err.Error()})
		return false
	}
	f.see(workers, sent)
	return true
}

// see takes in a list; sizes once seen are kept, as a worker that is away may come back.
func (f *fleet) see(workers []sets.WorkerInfo, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = sent
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

// servable returns why no worker of the service could ever run the job's tasks, or nothing. It reads the list again before it
// refuses by an old one.
func (f *fleet) servable(ctx context.Context, service string, spec *work.Spec) string {
	why, age := f.tooLarge(service, spec)
	if why != "" && age > fleetAge && f.read(ctx) {
		why, _ = f.tooLarge(service, spec)
	}
	return why
}

// tooLarge is servable by the list as it was read last, with its age.
func (f *fleet) tooLarge(service string, spec *work.Spec) (why string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	age = f.now().Sub(f.readAt)
	most, known := f.largest[service]
	if !known {
		return "", age
	}
	for i, step := range spec.Steps {
		need := sets.Room{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
		if need.Count(most, 1) == 0 {
			return fmt.Sprintf("a task of step %d needs %+v, and the largest worker has %+v", i, need, most), age
		}
	}
	return "", age
}
