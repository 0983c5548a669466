package server

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// sizesInterval is how often the list of workers is read for their sizes, which seldom change. The list of a thousand
	// workers is 0.4 MB, and every instance reads it.
	sizesInterval = time.Minute
	// sizesRetryDelay is the delay after a failed read.
	sizesRetryDelay = 5 * time.Second
	// maxSizesAge is the maximum age of the list for a job to be refused without another read.
	maxSizesAge = 5 * time.Second
)

// workerSizes has the largest capacity of any worker of each service, so that jobs with tasks that fit on no worker are
// refused when they are submitted.
type workerSizes struct {
	lister term.Lister
	reads  *event.Dependency
	now    func() time.Time

	mu      sync.Mutex
	largest map[string]group.Resources
	// readAt is when the last successful read of the list was sent.
	readAt time.Time
}

func (s *workerSizes) run(ctx context.Context) {
	for ctx.Err() == nil {
		wait := sizesInterval
		if !s.read(ctx) {
			wait = sizesRetryDelay
		}
		pause.For(ctx, wait)
	}
}

// read reads the list and reports whether it succeeded.
func (s *workerSizes) read(ctx context.Context) bool {
	call, done := context.WithTimeout(ctx, refreshTimeout)
	defer done()
	sent := s.now()
	workers, err := s.lister.Workers(call)
	s.reads.Report(err)
	if err != nil {
		return false
	}
	s.merge(workers, sent)
	return true
}

// merge adds the sizes of a list that was requested at sent. Sizes are never removed, as a missing worker may come back.
func (s *workerSizes) merge(workers []group.WorkerInfo, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = sent
	if s.largest == nil {
		s.largest = make(map[string]group.Resources)
	}
	for _, w := range workers {
		largest := s.largest[w.Service]
		s.largest[w.Service] = group.Resources{
			MilliCores: max(largest.MilliCores, w.Capacity.MilliCores), MemoryMB: max(largest.MemoryMB, w.Capacity.MemoryMB),
			Accelerators: max(largest.Accelerators, w.Capacity.Accelerators),
		}
	}
}

// unservableReason returns why no worker of the service can run the job's tasks, or an empty string. It reads the list again
// before it gives a reason from an old one.
func (s *workerSizes) unservableReason(ctx context.Context, service string, spec *work.Spec) string {
	why, age := s.tooLarge(service, spec)
	if why != "" && age > maxSizesAge && s.read(ctx) {
		why, _ = s.tooLarge(service, spec)
	}
	return why
}

// tooLarge returns the reason according to the last list that was read, and the age of that list.
func (s *workerSizes) tooLarge(service string, spec *work.Spec) (why string, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	age = s.now().Sub(s.readAt)
	largest, known := s.largest[service]
	if !known {
		return "", age
	}
	for i, step := range spec.Steps {
		need := group.Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators}
		if need.Count(largest, 1) == 0 {
			return fmt.Sprintf("a task of step %d needs %+v, and the largest worker has %+v", i, need, largest), age
		}
	}
	return "", age
}
