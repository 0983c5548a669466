package admit_test

import (
	"testing"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against accepting a job that its workspace's cap lets never run, and against a spec from which an owner that has never seen the
// workspace can't learn its cap.
func TestJobAboveTheCapOfItsWorkspaceIsRefused(t *testing.T) {
	for name, c := range map[string]struct {
		step work.Step
		want admit.Result
	}{
		"gang above the cap":        {work.Step{Count: 9, Accelerators: 1, Gang: true}, admit.BadRequest},
		"task above the cap":        {work.Step{Count: 1, Accelerators: 9}, admit.BadRequest},
		"step that needs two waves": {work.Step{Count: 9, Accelerators: 1}, admit.OK},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.source.limit = group.Resources{Accelerators: 8}
			f.store.Put(configKey, nil)
			assert.NilError(t, f.service.Policy.Refresh(t.Context()))
			reply := f.service.Submit(shortContext(t), caller(), &work.Spec{Steps: []work.Step{c.step}})
			assert.Equal(t, reply.Result, c.want, reply.Why)
			assert.Equal(t, f.jobCreated(t), c.want == admit.OK)
			if c.want != admit.OK {
				return
			}
			item, err := f.store.Item(t.Context(), work.SpecKey(job))
			assert.NilError(t, err)
			stored, err := work.DecodeSpec(item.Data)
			assert.NilError(t, err)
			assert.DeepEqual(t, stored.Config.Cap, &work.Cap{Accelerators: 8})
		})
	}
}
