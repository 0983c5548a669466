package judge_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/judge"
	"github.com/lentildeck/lentildeck/internal/soak/site"
	"github.com/lentildeck/lentildeck/internal/soak/trail"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
	"gotest.tools/v3/assert"
)

var zero = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return zero.Add(time.Duration(s * float64(time.Second))) }

// newJob has two steps of one task each.
func newJob() *trail.Job {
	step := trail.Step{MilliCores: 1000, MemMB: 100, Accelerators: 1, Work: []time.Duration{time.Second}}
	second := step
	second.After = []int{0}
	return &trail.Job{ID: "0123456789abcdef", MaxAttempts: 2, Steps: []trail.Step{step, second}, Accepted: at(0)}
}

func newRun(step, number int, from, to float64, how string) *trail.Run {
	return &trail.Run{
		Task: trail.TaskID{Job: "0123456789abcdef", Step: step}, Number: number, Worker: "w", Began: at(from), Ended: at(to), How: how, Acked: at(to),
	}
}

func viewOf(j *trail.Job, runs ...*trail.Run) trail.View {
	v := trail.View{Jobs: []*trail.Job{j}, Runs: make(map[trail.TaskID][]*trail.Run)}
	for _, r := range runs {
		v.Runs[r.Task] = append(v.Runs[r.Task], r)
	}
	return v
}

func rules(v trail.View) []string {
	s := site.Site{Cancel: 4 * time.Second}
	list := []string{}
	for _, f := range judge.Judge(v, s, func(time.Time, time.Time) bool { return true }) {
		list = append(list, f.Rule)
	}
	return list
}

func TestRulesOfRuns(t *testing.T) {
	done := newRun(0, 1, 1, 2, trail.Done)
	unheard := newRun(0, 1, 1, 2, trail.Done)
	unheard.LapsedBeforeAck = true
	excess := newRun(0, 1, 1, 2, trail.Done)
	excess.Excess = true
	other := newRun(0, 1, 1, 2, trail.Done)
	other.WrongPayload = true
	for name, test := range map[string]struct {
		runs []*trail.Run
		want []string
	}{
		"in order":                          {[]*trail.Run{done, newRun(1, 1, 3, 4, trail.Done)}, []string{}},
		"at the same time":                  {[]*trail.Run{newRun(0, 1, 1, 5, trail.Lapsed), newRun(0, 2, 4, 6, trail.Done)}, []string{"TWICE"}},
		"after an end that counts":          {[]*trail.Run{done, newRun(0, 2, 3, 4, trail.Done)}, []string{"TWICE"}},
		"after an end that doesn't":         {[]*trail.Run{unheard, newRun(0, 2, 3, 4, trail.Done)}, []string{}},
		"over the capacity":                 {[]*trail.Run{excess}, []string{"LIMIT"}},
		"another payload":                   {[]*trail.Run{other}, []string{"UNASKED"}},
		"the second step first":             {[]*trail.Run{newRun(1, 1, 0.5, 0.6, trail.Stopped), done}, []string{"ORDER"}},
		"once more than the attempts allow": {[]*trail.Run{newRun(0, 1, 1, 2, trail.Failed), newRun(0, 2, 3, 4, trail.Failed), newRun(0, 3, 5, 6, trail.Done)}, []string{"BUDGET"}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, rules(viewOf(newJob(), test.runs...)), test.want) })
	}
}

func TestRulesOfJobs(t *testing.T) {
	refused := newJob()
	refused.Accepted, refused.Rejected = time.Time{}, 3
	assert.DeepEqual(t, rules(viewOf(refused, newRun(0, 1, 1, 2, trail.Done))), []string{"REFUSED"})
	cancelled := newJob()
	cancelled.CancelSent, cancelled.CancelAccepted = at(1), at(1)
	assert.DeepEqual(t, rules(viewOf(cancelled, newRun(0, 1, 6, 7, trail.Done))), []string{"UNASKED"})
	for _, test := range []struct {
		shown trail.Shown
		want  []string
	}{
		{trail.Shown{At: at(2), Status: 410}, []string{}},
		{trail.Shown{At: at(4), Status: 410}, []string{"LOST"}},
		{trail.Shown{At: at(4), Status: 200, State: "failed"}, []string{"LOST"}},
		{trail.Shown{At: at(4), Status: 200, State: "canceled"}, []string{"LOST"}},
		{trail.Shown{At: at(4), Status: 200, State: "completed"}, []string{"MIXED"}},
	} {
		test.shown.Job = newJob().ID
		v := viewOf(newJob())
		v.Shown = []trail.Shown{test.shown}
		assert.DeepEqual(t, rules(v), test.want)
	}
}

// look samples a job from 0 to 10 s on one worker with the given free accelerators of 8.
func look(j *trail.Job, free int, runs ...*trail.Run) []judge.Finding {
	stand := judge.NewWatch()
	room := worker.Room{Worker: "w", Up: true, MilliCores: 8000, MemMB: 800, Accelerators: free, TotalAccelerators: 8, TotalMillis: 8000}
	for s := 0.0; s < 10; s += 0.1 {
		stand.Look(at(s), viewOf(j, runs...), []worker.Room{room})
	}
	stand.Close()
	return stand.Findings(at(5))
}

func TestJobThatStands(t *testing.T) {
	assert.Equal(t, len(look(newJob(), 8)), 1)
	assert.Equal(t, len(look(newJob(), 5)), 1)
	assert.Equal(t, len(look(newJob(), 4)), 0, "half of the service is in use")
	running := newRun(0, 1, 1, 2, "")
	running.Ended = time.Time{}
	assert.Equal(t, len(look(newJob(), 8, running)), 0)
	assert.Equal(t, len(look(newJob(), 8, newRun(0, 1, 1, 2, trail.Done))), 1, "the second step's turn has come")
	both := []*trail.Run{newRun(0, 1, 1, 2, trail.Done), newRun(1, 1, 3, 4, trail.Done)}
	assert.Equal(t, len(look(newJob(), 8, both...)), 0)
	cancelled := newJob()
	cancelled.CancelSent = at(1)
	assert.Equal(t, len(look(cancelled, 8)), 0)
	wide := newJob()
	wide.Steps[0].Gang, wide.Steps[0].Work = true, make([]time.Duration, 5)
	assert.Equal(t, len(look(wide, 8)), 0, "there is room for the gang, but not twice")
}
