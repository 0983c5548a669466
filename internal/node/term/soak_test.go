package term_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

var (
	soakFirst   = flag.Uint64("soak.first", 1, "the first seed of the soak")
	soakSeeds   = flag.Uint64("soak.seeds", 5, "the number of seeds of the soak")
	soakLate    = flag.Bool("soak.late", false, "let a later incarnation execute calls that were sent to an earlier one")
	soakJournal = flag.String("soak.journal", "", "the directory for the journals of plays that fail")
)

const (
	soakWorkers = 6
	soakJobs    = 40
	// soakDisturbed is how long the disturbances last.
	soakDisturbed = 30 * time.Second
	// soakSettled is how long after them all jobs must have ended: the longest lease of an earlier owner, and work.
	soakSettled = 20 * time.Second
	soakLease   = 6 * time.Second
)

// soak is one play of the soak.
type soak struct {
	t     *testing.T
	seed  uint64
	fleet *fake.Fleet
	store *fake.Transactor
	jobs  []*soakJob
}

// random returns the random numbers of one part of the play.
func (s *soak) random(part uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, 1000+part)) }

// Guards against two runs of one task and lost jobs while workers restart under their IDs. By hand, for more seeds:
// go test ./internal/node/term -run TestSoakOfRestarts -soak.first 100 -soak.seeds 1000
func TestSoakOfRestarts(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+*soakSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playSoak(t, seed) })
		})
	}
}

func playSoak(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	ctx, cancel := context.WithCancel(t.Context())
	instances := s.startInstances(ctx)
	s.disturb(ctx, instances)
	settled := s.awaitJobs()
	if settled {
		time.Sleep(soakLease)
	}
	cancel()
	for _, instance := range instances {
		<-instance.done
	}
	s.report()
	assert.Assert(t, s.fleet.Restarts() > int(soakDisturbed/time.Second), "workers restart once a second at least")
	assert.Assert(t, settled, "all jobs have ended")
	assert.Equal(t, s.fleet.Running(), 0, "nothing runs that is not wanted")
	assert.Equal(t, len(s.fleet.Breaches()), 0)
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, seed: seed, store: fake.NewTransactor()}
	random := s.random(0)
	tasks := make(map[string]fake.FleetTask)
	for range soakJobs {
		job := newSoakJob(random)
		job.addTasks(tasks)
		s.jobs = append(s.jobs, job)
	}
	s.fleet = fake.NewFleet(fake.FleetConfig{
		Seed: seed, Workers: soakWorkers, Service: "main", Capacity: group.Resources{MilliCores: 8000, MemoryMB: 8000, Accelerators: 8},
		MaxLease: soakLease, MaxStop: 200 * time.Millisecond, MaxListLag: time.Second, Task: func(name string) fake.FleetTask { return tasks[name] },
	})
	return s
}

// disturb submits the jobs while workers restart, owners are lost and the network loses calls.
func (s *soak) disturb(ctx context.Context, instances []*soakInstance) {
	s.fleet.SetNetwork(fake.Network{
		Delay: 4 * time.Millisecond, Slow: 0.1, SlowDelay: 300 * time.Millisecond, LostCalls: 0.02, LostAnswers: 0.03, LateCalls: 0.02,
		LateDelay: 3 * time.Second, LateAfterRestart: *soakLate,
	})
	s.store.SetOutcomes(s.storeOutcomes(0.02))
	disturbed, calm := context.WithTimeout(ctx, soakDisturbed)
	defer calm()
	parts := []func(context.Context){s.submitJobs, s.restartWorkers, s.cutWorkersOff, func(ctx context.Context) { s.disturbInstances(ctx, instances) }}
	done := make(chan struct{})
	for _, part := range parts {
		go func() {
			part(disturbed)
			done <- struct{}{}
		}()
	}
	for range parts {
		<-done
	}
	s.fleet.SetNetwork(fake.Network{Delay: 2 * time.Millisecond})
	s.store.SetOutcomes(nil)
	for _, instance := range instances {
		instance.store.end()
	}
	s.fleet.Note("the disturbances end")
}

// restartWorkers restarts workers in series that overlap.
func (s *soak) restartWorkers(ctx context.Context) {
	random := s.random(1)
	done := make(chan struct{})
	series := 0
	for pause.For(ctx, upTo(random, 2*time.Second)) {
		id := s.fleet.IDs()[random.IntN(soakWorkers)]
		own := rand.New(rand.NewPCG(s.seed, random.Uint64()))
		series++
		go func() {
			for range 1 + own.IntN(4) {
				s.fleet.Restart(id, time.Millisecond+upTo(own, 600*time.Millisecond))
				if !pause.For(ctx, upTo(own, 1500*time.Millisecond)) {
					break
				}
			}
			done <- struct{}{}
		}()
	}
	for range series {
		<-done
	}
}

// cutWorkersOff cuts workers off, so that leases expire now and then.
func (s *soak) cutWorkersOff(ctx context.Context) {
	random := s.random(5)
	for pause.For(ctx, upTo(random, 5*time.Second)) {
		s.fleet.CutOff(s.fleet.IDs()[random.IntN(soakWorkers)], upTo(random, 4*time.Second))
	}
}

// upTo returns a random duration below the limit.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(random.Int64N(int64(limit)))
}

// awaitJobs reports whether all jobs have ended in time.
func (s *soak) awaitJobs() bool {
	for deadline := time.Now().Add(soakSettled); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if len(s.openJobs()) == 0 {
			s.fleet.Note("all jobs have ended")
			return true
		}
	}
	return false
}

// openJobs returns the jobs that are not completed, except those that failed after two workers had crashed under one of their
// tasks.
func (s *soak) openJobs() []string {
	var open []string
	for _, job := range s.jobs {
		item, err := s.store.Item(s.t.Context(), work.RecordKey(job.spec.Job))
		assert.NilError(s.t, err)
		record := &work.Record{}
		if item.Revision != 0 {
			record, err = work.DecodeRecord(item.Data)
			assert.NilError(s.t, err)
		}
		if record.Phase != work.Completed && !(record.Phase == work.Failed && s.mayFail(job)) {
			open = append(open, job.spec.Job)
		}
	}
	return open
}

// mayFail reports whether two workers have crashed under one task of the job.
func (s *soak) mayFail(job *soakJob) bool {
	return slices.ContainsFunc(job.taskNames(), func(task string) bool { return s.fleet.CrashesUnder(task) >= 2 })
}

// report reports broken rules and open jobs, and stores the journal if a directory is given.
func (s *soak) report() {
	for _, breach := range s.fleet.Breaches() {
		s.t.Errorf("%s: task %s: %s", breach.Rule, breach.Task, breach.Text)
	}
	for _, job := range s.openJobs() {
		s.t.Errorf("job %s is neither completed nor failed with cause", job)
	}
	if !s.t.Failed() || *soakJournal == "" {
		return
	}
	path := filepath.Join(*soakJournal, fmt.Sprintf("soak-%d.txt", s.seed))
	assert.NilError(s.t, os.WriteFile(path, []byte(strings.Join(s.fleet.Journal(), "\n")), 0o600))
	s.t.Logf("journal: %s", path)
}
