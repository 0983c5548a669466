package server

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
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

// workerSizes has the largest capacity that any worker of each service has had lately, so that jobs with tasks that fit on no worker
// are refused when they are submitted.
type workerSizes struct {
	lister term.Lister
	// store holds the sizes at work.SizesKey, as an instance may start while workers have shrunk for a while.
	store store.Transactor
	reads *event.Dependency
	log   *event.Log
	now   func() time.Time
	// wallNow is the time of day, which the stored sizes are compared with.
	wallNow func() time.Time

	mu      sync.Mutex
	largest map[string]size
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

// read reads the list and the stored sizes and reports whether it succeeded. Sizes above the stored ones are stored.
func (s *workerSizes) read(ctx context.Context) bool {
	call, done := context.WithTimeout(ctx, refreshTimeout)
	defer done()
	sent := s.now()
	workers, err := s.lister.Workers(call)
	s.reads.Report(err)
	if err != nil {
		return false
	}
	item, err := s.store.Item(call, work.SizesKey)
	if err != nil {
		return false
	}
	if data := s.merge(workers, decodeSizes(item.Data), sent); data != nil {
		s.save(call, data, item.Revision)
	}
	return true
}

// save stores the sizes if the stored ones are still of the given revision; the next read tries again if that fails.
func (s *workerSizes) save(ctx context.Context, data []byte, revision int64) {
	tx := store.Transaction{
		Expected: []store.Expectation{{Key: work.SizesKey, Revision: revision}},
		Writes:   []store.Write{{Key: work.SizesKey, Data: data}},
	}
	if _, err := s.store.Commit(ctx, tx); err != nil {
		s.log.Emit(event.StoreLost, event.Fields{"call": "sizes", "error": err.Error()})
	}
}

// merge adds the stored sizes and those of a list that was requested at sent, and returns what is to be stored, or nil. A size is
// removed only after sizeRetention, as a missing worker may come back and one that has shrunk may grow again.
func (s *workerSizes) merge(workers []group.WorkerInfo, stored map[string]size, sent time.Time) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt = sent
	now := s.wallNow().Unix()
	if s.largest == nil {
		s.largest = make(map[string]size)
	}
	for service, known := range stored {
		s.largest[service] = larger(s.largest[service], known)
	}
	for service, known := range s.largest {
		s.largest[service] = known.recent(now)
	}
	s.addListed(workers, now)
	if maps.Equal(s.largest, stored) {
		return nil
	}
	data, err := json.Marshal(s.largest)
	if err != nil {
		return nil
	}
	return data
}

// addListed adds the sizes of the listed workers, and removes the services of which nothing is left. The caller holds s.mu.
func (s *workerSizes) addListed(workers []group.WorkerInfo, now int64) {
	listed := make(map[string]bool)
	for _, w := range workers {
		known, ok := s.largest[w.Service]
		if !ok && len(s.largest) >= maxServices {
			continue
		}
		listed[w.Service] = true
		s.largest[w.Service] = larger(known, sizeOf(w.Capacity, now))
	}
	maps.DeleteFunc(s.largest, func(service string, z size) bool { return !listed[service] && z.resources() == group.Resources{} })
}

// unservableReason returns why no worker of the service can run the job's tasks, or an empty string. It reads the list again
// before it gives a reason from an old one, and gives none if that fails.
func (s *workerSizes) unservableReason(ctx context.Context, service string, spec *work.Spec) string {
	why, age := s.tooLarge(service, spec)
	if why == "" || age <= maxSizesAge {
		return why
	}
	if !s.read(ctx) {
		return ""
	}
	why, _ = s.tooLarge(service, spec)
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
		if need.Count(largest.resources(), 1) == 0 {
			return fmt.Sprintf("a task of step %d needs %+v, and the largest worker has %+v", i, need, largest.resources()), age
		}
	}
	return "", age
}
