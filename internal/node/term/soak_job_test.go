package term_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// soakJob is a job and how long the tasks of each step run.
type soakJob struct {
	spec      *work.Spec
	durations []time.Duration
}

// newSoakJob draws a job of one to three steps, each of which waits for the one before.
func newSoakJob(random *rand.Rand) *soakJob {
	j := &soakJob{spec: &work.Spec{Job: fmt.Sprintf("%016x", random.Uint64()), Queue: "plan"}}
	if random.IntN(4) == 0 {
		j.spec.Queue = "quick"
	}
	for i := range 1 + random.IntN(3) {
		duration := 50*time.Millisecond + upTo(random, 350*time.Millisecond)
		if random.IntN(3) == 0 {
			duration = time.Second + upTo(random, 2*time.Second)
		}
		step := work.Step{
			Count: 1 + random.IntN(4), MilliCores: 500, MemoryMB: 100, Accelerators: 1 + random.IntN(3), Gang: random.IntN(3) == 0,
			Estimate: duration/2 + upTo(random, duration),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.spec.Steps = append(j.spec.Steps, step)
		j.durations = append(j.durations, duration)
	}
	return j
}

// addTasks adds the job's tasks by their names.
func (j *soakJob) addTasks(tasks map[string]fake.FleetTask) {
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		var names, members []string
		for n := range step.Count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", j.spec.Job, i, n))
		}
		if step.Gang {
			members = names
		}
		for _, name := range names {
			tasks[name] = fake.FleetTask{
				Need:     group.Resources{MilliCores: step.MilliCores, MemoryMB: step.MemoryMB, Accelerators: step.Accelerators},
				Duration: j.durations[i], Gang: members,
			}
		}
	}
}

// submitJobs submits the jobs during the disturbances.
func (s *soak) submitJobs(ctx context.Context) {
	random := s.random(2)
	for _, job := range s.jobs {
		pause.For(ctx, upTo(random, 2*soakDisturbed/soakJobs))
		job.spec.Accepted = time.Now()
		data, err := job.spec.Encode()
		assert.NilError(s.t, err)
		s.store.Put(work.SpecKey(job.spec.Job), data)
		s.store.Put(work.WaitKey(job.spec.Queue, job.spec.Job), nil)
	}
}

// taskNames returns the names of all tasks of the job.
func (j *soakJob) taskNames() []string {
	tasks := make(map[string]fake.FleetTask)
	j.addTasks(tasks)
	return slices.Sorted(maps.Keys(tasks))
}
