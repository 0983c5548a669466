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

// Guards against changes of a copy that is being written.
func TestIncarnationsOfACopyDoNotChange(t *testing.T) {
	group := work.GroupRecord{Workers: []string{"w-0", "w-1"}, Incarnations: []int64{7, 8}}
	earlier := group
	group.SetIncarnation(1, 9)
	assert.DeepEqual(t, group.Incarnations, []int64{7, 9})
	assert.DeepEqual(t, earlier.Incarnations, []int64{7, 8})
}

// Guards against a record of an earlier release that is not read, or read as if it named an incarnation.
func TestRecordWithoutIncarnationsIsRead(t *testing.T) {
	record, err := work.DecodeRecord([]byte(`{"phase":"running","change":3,"sets":[{"run":2,"on":["w-0","w-1"]}]}`))
	assert.NilError(t, err)
	group := record.Groups[0]
	assert.Equal(t, group.IncarnationOf(1), int64(0))
	group.SetIncarnation(1, 9)
	assert.Equal(t, group.IncarnationOf(0), int64(0))
	assert.Equal(t, group.IncarnationOf(1), int64(9))
}

// Guards against changes of a copy that is being written, against crashes that are forgotten though the run was short, and against a record
// that keeps the counts of a task that is cleared.
func TestCrashThatDoesNotCountChangesNoCopy(t *testing.T) {
	group := work.GroupRecord{}
	group.AddCrash(0, 1, true)
	group.AddCrash(1, 1, false)
	earlier := group
	group.PassOverCrash(0, 2, false)
	assert.DeepEqual(t, group.CrashesOf(0), work.TaskCrashes{Count: 1, Suspected: 1, Run: 2})
	group.PassOverCrash(0, 3, true)
	assert.DeepEqual(t, group.Crashes, []work.TaskCrashes{{Task: 1, Count: 1, Run: 1}})
	assert.DeepEqual(t, earlier.CrashesOf(0), work.TaskCrashes{Count: 1, Suspected: 1, Run: 1})
}
