package deck

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

func TestTaskLargerThanAnyWorkerIsUnservable(t *testing.T) {
	f := &fleet{}
	spec := func(accelerators int) *work.Spec {
		return &work.Spec{Steps: []work.Step{{Count: 1, MilliCores: 1000, Accelerators: accelerators}}}
	}
	assert.Equal(t, f.servable("main", spec(16)), "", "nothing is known yet")
	f.see([]sets.WorkerInfo{{Service: "main", Capacity: sets.Room{MilliCores: 32000, MemoryMB: 1000, Accelerators: 8}}})
	f.see(nil)
	assert.Equal(t, f.servable("main", spec(8)), "")
	assert.Assert(t, f.servable("main", spec(9)) != "")
	assert.Equal(t, f.servable("other", spec(9)), "")
}
