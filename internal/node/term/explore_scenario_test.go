package term_test

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/world"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// firstSubmission is when the first job is submitted: the first owner has loaded, and all workers have answered.
const firstSubmission = 2 * time.Second

const (
	firstJob  = "00000000000000a1"
	secondJob = "00000000000000b2"
)

// smallNeed is what a task needs; a worker has room for two of them.
var smallNeed = group.Resources{MilliCores: 1000, MemoryMB: 100, Accelerators: 1}

func exploreWorkers(count int) (list []world.WorkerConfig) {
	for i := range count {
		centre := "east"
		if i%2 == 1 {
			centre = "west"
		}
		list = append(list, world.WorkerConfig{ID: "w" + string(rune('0'+i)), DataCentre: centre, Capacity: smallNeed.Times(2)})
	}
	return list
}

// exploreQueues are a queue for quick jobs and one for others.
var exploreQueues = []group.Queue{
	{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3},
	{Name: "quick", Service: "main", Priority: 0, MaxAttempts: 2, Stretch: 2},
}

// step returns a step of tasks of smallNeed.
func smallStep(count int, gang bool, after ...int) work.Step {
	return work.Step{Count: count, MilliCores: smallNeed.MilliCores, MemoryMB: smallNeed.MemoryMB, Accelerators: smallNeed.Accelerators, Gang: gang, After: after, Estimate: time.Second}
}

// exploreJob returns a job whose steps run for the durations.
func exploreJob(id, queue string, at time.Duration, steps []work.Step, durations ...time.Duration) world.Job {
	return world.Job{Spec: &work.Spec{Job: id, Queue: queue, Steps: steps}, At: at, Durations: durations}
}

// longTask outlasts all bounds, so that a task that nobody stops is seen.
const longTask = 20 * time.Second

// smallValues and fewEntries are limits of the store with which each task group of a job with several is a part of its own, and each
// part takes a transaction.
const (
	smallValues = 200
	fewEntries  = 4
)

// scenarios are the small worlds, by name.
var scenarios = map[string]func() world.Config{
	"divided": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues, MaxValueBytes: smallValues, MaxEntries: fewEntries,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, false), smallStep(2, false, 0), smallStep(3, true, 1)}, 600*time.Millisecond, 400*time.Millisecond, 300*time.Millisecond),
				exploreJob(secondJob, "quick", firstSubmission+300*time.Millisecond, []work.Step{smallStep(1, false)}, 500*time.Millisecond),
			},
		}
	},
	"divided and cancelled": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues, MaxValueBytes: smallValues, MaxEntries: fewEntries,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, false), smallStep(3, false)}, longTask, longTask),
				exploreJob(secondJob, "plan", firstSubmission+300*time.Millisecond, []work.Step{smallStep(2, true)}, 500*time.Millisecond),
			},
			Events: []world.Event{world.Cancel(firstSubmission+600*time.Millisecond, firstJob)},
		}
	},
	"cancel": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(2, false)}, longTask),
				exploreJob(secondJob, "plan", firstSubmission+300*time.Millisecond, []work.Step{smallStep(1, false), smallStep(1, false, 0)}, 400*time.Millisecond, 300*time.Millisecond),
			},
			Events: []world.Event{world.Cancel(firstSubmission+600*time.Millisecond, firstJob)},
		}
	},
	"gang": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, true), smallStep(1, false, 0)}, 700*time.Millisecond, 400*time.Millisecond),
				exploreJob(secondJob, "plan", firstSubmission+100*time.Millisecond, []work.Step{smallStep(2, true)}, 600*time.Millisecond),
			},
		}
	},
	"cancelled gang": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, true)}, longTask),
				exploreJob(secondJob, "plan", firstSubmission+200*time.Millisecond, []work.Step{smallStep(2, true)}, 600*time.Millisecond),
			},
			Events: []world.Event{world.Cancel(firstSubmission+500*time.Millisecond, firstJob)},
		}
	},
	"failure": func() world.Config {
		failing := exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(1, false)}, 300*time.Millisecond)
		failing.FailingRuns = 2
		beside := exploreJob(secondJob, "plan", firstSubmission, []work.Step{smallStep(2, false)}, 900*time.Millisecond)
		return world.Config{Workers: exploreWorkers(3), Queues: exploreQueues, Jobs: []world.Job{failing, beside}}
	},
	"failure beside": func() world.Config {
		// One task group fails as often as it may while the others of its job run on.
		failing := exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(1, false), smallStep(2, false)}, 300*time.Millisecond, longTask)
		failing.FailingRuns = 2
		return world.Config{Workers: exploreWorkers(3), Queues: exploreQueues, Jobs: []world.Job{failing}}
	},
	"removed queue": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(2, false), smallStep(2, false, 0)}, 900*time.Millisecond, 400*time.Millisecond),
				exploreJob(secondJob, "quick", firstSubmission+300*time.Millisecond, []work.Step{smallStep(1, false)}, 500*time.Millisecond),
			},
			Events: []world.Event{world.RemoveQueue(firstSubmission+400*time.Millisecond, "plan")},
		}
	},
	"evacuation": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(3), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(2, false), smallStep(2, true, 0)}, 600*time.Millisecond, 500*time.Millisecond),
				exploreJob(secondJob, "plan", firstSubmission+400*time.Millisecond, []work.Step{smallStep(1, false), smallStep(1, false, 0)}, 500*time.Millisecond, 500*time.Millisecond),
			},
			Events: []world.Event{world.Evacuate(firstSubmission+300*time.Millisecond, "east")},
		}
	},
	"drain": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(3), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, true), smallStep(1, false, 0)}, 800*time.Millisecond, 300*time.Millisecond),
				exploreJob(secondJob, "plan", firstSubmission+400*time.Millisecond, []work.Step{smallStep(2, false)}, 600*time.Millisecond),
			},
			Events: []world.Event{world.Drain(firstSubmission+300*time.Millisecond, "w0")},
		}
	},
	"preemption": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(4, false)}, 1500*time.Millisecond),
				exploreJob(secondJob, "quick", firstSubmission+400*time.Millisecond, []work.Step{smallStep(2, true)}, 500*time.Millisecond),
			},
		}
	},
	"deadly": func() world.Config {
		deadly := exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(1, false)}, 2*time.Second)
		deadly.CrashAfter = 60 * time.Millisecond
		beside := exploreJob(secondJob, "plan", firstSubmission, []work.Step{smallStep(3, false)}, 900*time.Millisecond)
		return world.Config{Workers: exploreWorkers(3), Queues: exploreQueues, Jobs: []world.Job{deadly, beside}}
	},
	"restart": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(2, true), smallStep(1, false, 0)}, 700*time.Millisecond, 300*time.Millisecond),
				exploreJob(secondJob, "plan", firstSubmission+100*time.Millisecond, []work.Step{smallStep(2, false)}, 500*time.Millisecond),
			},
			Events: []world.Event{world.Crash(firstSubmission+400*time.Millisecond, "w0", 200*time.Millisecond)},
		}
	},
	"suspects": func() world.Config {
		return world.Config{
			Workers: exploreWorkers(2), Queues: exploreQueues,
			Jobs: []world.Job{
				exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(2, false)}, 1500*time.Millisecond),
				exploreJob(secondJob, "plan", firstSubmission+20*time.Millisecond, []work.Step{smallStep(5, false)}, 1400*time.Millisecond),
			},
			Events: []world.Event{world.Crash(firstSubmission+100*time.Millisecond, "w0", 200*time.Millisecond)},
		}
	},
}
