package work_test

import (
	"fmt"
	"testing"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against records that grow with each failure until the store refuses them, and against changes of a copy that is being
// written.
func TestWorkersOnWhichAGroupFailedAreBounded(t *testing.T) {
	var group work.GroupRecord
	group.AddFailedOn("w-0")
	earlier := group
	for i := range 2 * work.MaxFailedOn {
		group.AddFailedOn(fmt.Sprint("w-", i))
		group.AddFailedOn(fmt.Sprint("w-", i))
	}
	assert.Equal(t, len(group.FailedOn), work.MaxFailedOn)
	assert.Equal(t, group.FailedOn[0], fmt.Sprint("w-", work.MaxFailedOn))
	assert.DeepEqual(t, earlier.FailedOn, []string{"w-0"})
}
