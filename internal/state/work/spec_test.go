package work_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

func TestCheckRefusesInvalidRepeat(t *testing.T) {
	for _, c := range []struct {
		name   string
		repeat work.Repeat
		ok     bool
	}{
		{"daily for a week", work.Repeat{Count: 7, Interval: 24 * time.Hour}, true},
		{"no occurrence", work.Repeat{Count: 0, Interval: time.Hour}, false},
		{"negative interval", work.Repeat{Count: 2, Interval: -time.Hour}, false},
		{"more tasks than one job may have", work.Repeat{Count: work.MaxTasks, Interval: time.Second}, false},
		{"span exceeds time.Duration", work.Repeat{Count: 1000, Interval: math.MaxInt64 / 500}, false},
	} {
		spec := work.Spec{Steps: []work.Step{{Count: 2}}, Repeat: &c.repeat}
		assert.Equal(t, spec.Check() == nil, c.ok, c.name)
	}
}

// Guards against sums that overflow: a job whose tasks need close to the largest integer counted as needing nothing, which is within
// any guarantee.
func TestNeedsThatNoWorkerCanHaveAreRefused(t *testing.T) {
	for _, step := range []work.Step{
		{Count: 16, Accelerators: 1 << 60}, {Count: 2, MilliCores: math.MaxInt}, {Count: 3, MemoryMB: math.MaxInt/2 + 1},
		{Count: 1, Accelerators: work.MaxAccelerators + 1},
	} {
		spec := &work.Spec{Steps: []work.Step{step}}
		assert.ErrorContains(t, spec.Check(), "step 0 needs more than", "%+v", step)
	}
	largest := work.Step{Count: work.MaxTasks, MilliCores: work.MaxMilliCores, MemoryMB: work.MaxMemoryMB, Accelerators: work.MaxAccelerators}
	assert.NilError(t, (&work.Spec{Steps: []work.Step{largest}}).Check())
}

// Guards against objectives that overflow, also those of stored jobs: estimates count up to a bound, and so does their longest chain.
func TestEstimatesOfStoredJobsAreBounded(t *testing.T) {
	spec := &work.Spec{Job: "5c0e7a21d94b36f8"}
	for i := range work.MaxSteps {
		step := work.Step{Count: 1, Estimate: math.MaxInt64, MaxPerWorker: math.MaxInt, MaxUnavailable: math.MaxInt}
		if i > 0 {
			step.After = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	data, err := spec.Encode()
	assert.NilError(t, err)
	stored, err := work.DecodeSpec(data)
	assert.NilError(t, err)
	assert.Equal(t, stored.CriticalPath(), work.MaxCriticalPath)
	assert.Equal(t, stored.Steps[0].Estimate, work.MaxEstimate)
	assert.Equal(t, stored.Steps[0].MaxPerWorker, work.MaxTasks)
	assert.Equal(t, stored.Steps[0].MaxUnavailable, work.MaxTasks)
}

// Guards against jobs that are refused as if the store were down, so that their callers try again for ever: the time of their first
// turn can't be stored.
func TestTurnsInAYearThatCannotBeStoredAreRefused(t *testing.T) {
	for _, ms := range []int64{math.MinInt64, math.MaxInt64, 253402300800000 + 86400000} {
		spec := &work.Spec{Steps: []work.Step{{Count: 1}}, Repeat: &work.Repeat{Count: 2, Start: time.UnixMilli(ms), Interval: time.Second}}
		assert.ErrorContains(t, spec.Check(), "in the year")
	}
}

// Guards against jobs that are accepted and can never run, as the store takes no value that large: the spec, or the record of a gang.
func TestJobsThatDoNotFitIntoAValueAreRefused(t *testing.T) {
	const limit = 64 << 10
	most := 0
	for tasks := 1; (&work.Spec{Steps: []work.Step{{Count: tasks, Gang: true, Checkpoints: true}}}).CheckAccepted(limit) == nil; tasks++ {
		assert.Assert(t, work.MaxPartBytes(tasks, true) <= limit)
		most = tasks
	}
	assert.Assert(t, most > 100)
	for want, step := range map[string]work.Step{
		fmt.Sprintf("a gang may have %d tasks", most): {Count: most + 1, Gang: true, Checkpoints: true},
		"at most 65536 are allowed":                   {Count: 1, Affinity: strings.Repeat("r", limit)},
		"at most 200 are allowed":                     {Count: 1, Requires: strings.Repeat("k", 201)},
	} {
		spec := &work.Spec{Steps: []work.Step{step}}
		assert.NilError(t, spec.Check())
		assert.ErrorContains(t, spec.CheckAccepted(limit), want)
	}
	single := &work.Spec{Steps: []work.Step{{Count: work.MaxTasks, Checkpoints: true}}}
	assert.NilError(t, single.CheckAccepted(limit))
	assert.ErrorContains(t, single.CheckAccepted(work.MaxPartBytes(1, true)-1), "a gang may have 0 tasks")
}

// Guards against specs that grow with repetitions, and against later releases that refuse what an earlier one has accepted.
func TestStoredSpecNamesEachEarlierStepOnce(t *testing.T) {
	spec := &work.Spec{Steps: []work.Step{{Count: 1}, {Count: 1, Requires: strings.Repeat("k", 500)}, {Count: 1, After: []int{1, 0, 1, 1, 0}}}}
	data, err := spec.Encode()
	assert.NilError(t, err)
	stored, err := work.DecodeSpec(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, stored.Steps[2].After, []int{0, 1})
	assert.Equal(t, len(stored.Steps[1].Requires), 500)
}
