package term_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/world"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// capped returns a world of one workspace that may run that many small tasks at a time, on workers with room for six.
func capped(tasks int, jobs ...world.Job) world.Config {
	for _, j := range jobs {
		j.Spec.Workspace = "alpha"
	}
	return world.Config{
		Workers: exploreWorkers(3), Queues: exploreQueues, Jobs: jobs,
		Workspaces: []group.Workspace{{Name: "alpha", Guaranteed: 1, Cap: smallNeed.Times(tasks)}},
	}
}

// cappedWorlds are worlds in which more could run than a workspace may, by name.
var cappedWorlds = map[string]func() world.Config{
	"capped": func() world.Config {
		return capped(2,
			exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, false)}, 500*time.Millisecond),
			exploreJob(secondJob, "plan", firstSubmission+100*time.Millisecond, []work.Step{smallStep(2, true)}, 400*time.Millisecond))
	},
	"capped with a quick job": func() world.Config {
		return capped(2,
			exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(3, false)}, 900*time.Millisecond),
			exploreJob(secondJob, "quick", firstSubmission+300*time.Millisecond, []work.Step{smallStep(2, true)}, 400*time.Millisecond))
	},
	"lowered cap": func() world.Config {
		cfg := capped(4,
			exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(5, false)}, 700*time.Millisecond),
			exploreJob(secondJob, "plan", firstSubmission+100*time.Millisecond, []work.Step{smallStep(1, false), smallStep(1, false, 0)}, 400*time.Millisecond, 400*time.Millisecond))
		cfg.Events = []world.Event{world.SetCap(firstSubmission+350*time.Millisecond, "alpha", smallNeed)}
		return cfg
	},
	"capped in an outage": func() world.Config {
		cfg := outage(1100*time.Millisecond,
			exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(4, false)}, 600*time.Millisecond),
			exploreJob(secondJob, "plan", firstSubmission+20*time.Millisecond, []work.Step{smallStep(2, true)}, 500*time.Millisecond))
		cfg.Jobs[0].Spec.Workspace, cfg.Jobs[1].Spec.Workspace = "alpha", "alpha"
		cfg.Workspaces = []group.Workspace{{Name: "alpha", Cap: smallNeed.Times(2)}}
		return cfg
	},
	"capped with owners in a row": func() world.Config {
		cfg := ownersInARow(
			exploreJob(firstJob, "plan", firstSubmission, []work.Step{smallStep(2, false)}, 9*time.Second),
			exploreJob(secondJob, "plan", firstSubmission+50*time.Millisecond, []work.Step{smallStep(2, true)}, 3*time.Second))
		cfg.Jobs[0].Spec.Workspace, cfg.Jobs[1].Spec.Workspace = "alpha", "alpha"
		cfg.Workspaces = []group.Workspace{{Name: "alpha", Cap: smallNeed.Times(3)}}
		return cfg
	},
}

func cappedNames() []string { return slices.Sorted(maps.Keys(cappedWorlds)) }

// Guards against starts above a cap after a handover (QUOTA), and against work below it that then never starts.
func TestHandoverAtEachStepBelowACap(t *testing.T) {
	names := []string{"capped", "lowered cap"}
	if *exploreAll {
		names = cappedNames()
	}
	for _, name := range names {
		explore(t, name)
	}
}

// Guards against starts above a cap after several faults.
func TestSeveralFaultsBelowACap(t *testing.T) { exploreRandomly(t, cappedNames()) }

// Guards against explorations of caps that can't be repeated.
func TestCappedWorldsRepeatExactly(t *testing.T) {
	for _, name := range cappedNames() {
		assert.Equal(t, play(t, name, nil).digest(), play(t, name, nil).digest(), "%s", name)
	}
}
