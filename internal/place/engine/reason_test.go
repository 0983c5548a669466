package engine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
	"github.com/lentildeck/lentildeck/internal/place/shape"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// newEngine returns an engine for one data centre with two racks of two workers with four accelerators each.
func newEngine(t *testing.T) *engine.Engine {
	t.Helper()
	policy, err := engine.Policies.Lookup(engine.DefaultPolicy)
	assert.NilError(t, err)
	spec := fleet.DataCentreSpec{Name: "plovdiv"}
	for r := range 2 {
		spec.Racks = append(spec.Racks, fleet.RackSpec{Name: fmt.Sprint("plv-", r), Workers: 2, Resources: shape.Resources{Accelerators: 4, Cores: 8, MemoryGB: 8}})
	}
	e, err := engine.New(engine.Config{
		DataCentres: []fleet.DataCentreSpec{spec}, Workspaces: []guard.Workspace{{Name: "lab"}}, Policy: policy, Seed: 1,
	})
	assert.NilError(t, err)
	return e
}

func submit(t *testing.T, e *engine.Engine, name string, members, accelerators int, within shape.Within) {
	t.Helper()
	assert.NilError(t, e.Submit(queue.Spec{
		Job: name, Workspace: "lab", Class: queue.Batch, Idempotent: true,
		Shape: shape.Shape{Members: members, Resources: shape.Resources{Accelerators: accelerators, Cores: 1, MemoryGB: 1}, Within: within},
	}, start))
	e.Decide(start)
}

func TestWaitingJobHasReason(t *testing.T) {
	for _, tc := range []struct {
		name  string
		setUp func(t *testing.T, e *engine.Engine)
		code  reason.Code
		text  string
	}{
		{"full", func(t *testing.T, e *engine.Engine) { submit(t, e, "big", 4, 4, shape.DataCentre) }, reason.NoCapacity, "given back, for one by big"},
		{"fragmented", func(t *testing.T, e *engine.Engine) {
			for n := range 4 {
				submit(t, e, fmt.Sprint("whole", n), 1, 4, shape.Worker)
			}
			e.Cancel("whole0")
			e.Cancel("whole2")
		}, reason.Fragmented, "largest free: 1 ×"},
		{"drained", func(_ *testing.T, e *engine.Engine) { e.Drain(0, start, start) }, reason.Drained, "restore"},
		{"lost", func(_ *testing.T, e *engine.Engine) { e.CentreLost(0, start) }, reason.DataCentreLost, "lost"},
		{"no permit", func(_ *testing.T, e *engine.Engine) { e.SetPermit(0, false) }, reason.NoPermit, "key-value service"},
		{"no owner", func(_ *testing.T, e *engine.Engine) { e.SetOwned(0, false) }, reason.NoOwner, "lease"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newEngine(t)
			tc.setUp(t, e)
			submit(t, e, "gang", 2, 4, shape.Rack)
			got := e.Job("gang").Reason
			assert.Equal(t, got.Code, tc.code, "%s", got)
			assert.ErrorContains(t, fmt.Errorf("%s", got), tc.text)
		})
	}
}

func TestShapesThatNeverFitAreRefused(t *testing.T) {
	e := newEngine(t)
	for _, s := range []shape.Shape{
		{Members: 3, Resources: shape.Resources{Accelerators: 4}, Within: shape.Rack},
		{Members: 1, Resources: shape.Resources{Accelerators: 5}, Within: shape.DataCentre},
		{Members: 0, Resources: shape.Resources{Accelerators: 1}},
		{Members: 1},
	} {
		err := e.Submit(queue.Spec{Job: "j", Workspace: "lab", Shape: s}, start)
		assert.ErrorContains(t, err, "not run")
	}
}
