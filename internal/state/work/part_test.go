package work_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"pgregory.net/rapid"
)

// largestGroup returns the record of a group of the given number of tasks with the most of everything.
func largestGroup(tasks int) work.GroupRecord {
	id := strings.Repeat("w", work.MaxWorkerIDBytes)
	g := work.GroupRecord{
		Run: 1 << 31, Failures: 1 << 31, FailedRun: 1 << 31, Done: true, MayCrash: true,
		Checkpoint: strings.Repeat("\x01", work.MaxCheckpointBytes), StartedFrom: strings.Repeat("\x02", work.MaxCheckpointBytes),
	}
	for i := range work.MaxFailedOn {
		g.FailedOn = append(g.FailedOn, fmt.Sprint(i, id[1:]))
	}
	for task := range tasks {
		g.Workers = append(g.Workers, id)
		g.Incarnations = append(g.Incarnations, math.MaxInt64)
		g.Crashes = append(g.Crashes, work.TaskCrashes{Task: task, Count: 1 << 31, Suspected: 1 << 31, Run: 1 << 31})
	}
	return g
}

// Guards against a record that outgrows a value of the store (review/2): the job with the most tasks, each with the most of everything,
// all alive at once.
func TestPartsOfTheLargestRecordStayWithinTheLimit(t *testing.T) {
	const limit = 64 << 10
	assert.Assert(t, work.MaxPartBytes(1, true) <= limit)
	groups := make([]work.GroupRecord, work.MaxTasks)
	largest := largestGroup(1)
	for i := range groups {
		groups[i] = largest
	}
	whole := work.Part{Division: 7, Groups: groups}
	encoded, err := whole.EncodeWithin(limit)
	assert.NilError(t, err)
	var parts []*work.Part
	for _, e := range encoded {
		assert.Assert(t, len(e.Data) <= limit, "%d bytes", len(e.Data))
		part, err := work.DecodePart(e.Data)
		assert.NilError(t, err)
		assert.Equal(t, part.First, e.First)
		assert.Equal(t, len(part.Groups), e.Count)
		parts = append(parts, part)
	}
	joined, starts, err := work.Join(parts, work.MaxTasks)
	assert.NilError(t, err)
	assert.Equal(t, len(starts), len(encoded))
	for i := range joined {
		assert.Assert(t, cmp.DeepEqual(joined[i], largest)().Success(), "group %d", i)
	}
}

// Guards against a gang that is accepted and whose record does not fit: it can't be divided.
func TestSizeOfAGangIsBounded(t *testing.T) {
	for _, tasks := range []int{1, 10, 3000} {
		part := work.Part{Division: 1 << 60, First: work.MaxTasks, Groups: []work.GroupRecord{largestGroup(tasks)}}
		encoded, err := part.EncodeWithin(1)
		assert.NilError(t, err)
		assert.Equal(t, len(encoded), 1)
		assert.Assert(t, len(encoded[0].Data) <= work.MaxPartBytes(tasks, true))
	}
}

// Guards against parts that are larger than estimated, and against groups that change on the way through the store.
func TestDividedGroupsAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := rapid.SliceOfN(rapid.StringOfN(rapid.Rune(), 1, 12, 40), 0, 4)
		group := rapid.Custom(func(t *rapid.T) work.GroupRecord {
			return work.GroupRecord{
				Run: rapid.IntRange(0, 1<<31).Draw(t, "run"), Failures: rapid.IntRange(0, 9).Draw(t, "failures"), FailedOn: ids.Draw(t, "failedOn"),
				Done: rapid.Bool().Draw(t, "done"), Checkpoint: rapid.String().Draw(t, "checkpoint"), StartedFrom: rapid.String().Draw(t, "from"),
				Workers: ids.Draw(t, "workers"), MayCrash: rapid.Bool().Draw(t, "mayCrash"),
			}
		})
		groups := rapid.SliceOfN(group, 1, 40).Draw(t, "groups")
		limit := rapid.IntRange(1, 2000).Draw(t, "limit")
		part := work.Part{Division: 3, Groups: groups}
		encoded, err := part.EncodeWithin(limit)
		assert.NilError(t, err)
		var parts []*work.Part
		for _, e := range encoded {
			assert.Assert(t, len(e.Data) <= limit || e.Count == 1)
			decoded, err := work.DecodePart(e.Data)
			assert.NilError(t, err)
			parts = append(parts, decoded)
		}
		joined, _, err := work.Join(parts, len(groups))
		assert.NilError(t, err)
		assert.Equal(t, fmt.Sprintf("%+v", joined), fmt.Sprintf("%+v", groups))
	})
}

func groupsOf(runs ...int) (groups []work.GroupRecord) {
	for _, run := range runs {
		groups = append(groups, work.GroupRecord{Run: run})
	}
	return groups
}

// Guards against groups that are lost or outdated while an owner is lost in the middle of dividing a part: the later part is written
// first, and the earlier one still has its groups.
func TestLaterPartReplacesTheEndOfAnEarlierOne(t *testing.T) {
	earlier := &work.Part{First: 0, Groups: groupsOf(1, 1, 1, 1)}
	joined, starts, err := work.Join([]*work.Part{earlier, {First: 2, Groups: groupsOf(2)}}, 4)
	assert.NilError(t, err)
	assert.DeepEqual(t, joined, groupsOf(1, 1, 2, 1))
	assert.DeepEqual(t, starts, []int{0, 2})
}

// Guards against tasks that start again as their group's part is missing.
func TestMissingPartsAreReported(t *testing.T) {
	for name, parts := range map[string][]*work.Part{
		"none":         nil,
		"the first":    {{First: 1, Groups: groupsOf(1, 1, 1)}},
		"one between":  {{First: 0, Groups: groupsOf(1)}, {First: 2, Groups: groupsOf(1, 1)}},
		"the last one": {{First: 0, Groups: groupsOf(1, 1, 1)}},
	} {
		_, _, err := work.Join(parts, 4)
		var missing *work.MissingGroupsError
		assert.Assert(t, errors.As(err, &missing), "%s", name)
	}
}

// Guards against a release that can't read what the one before has written.
func TestRecordOfEarlierReleasesIsRead(t *testing.T) {
	record, err := work.DecodeRecord([]byte(`{"phase":"running","change":5,"sets":[{"run":2,"failures":1,"failedRun":1,"failedOn":["w1"],"saved":"a\u003cb","from":"c","on":["w2"],"crashes":[{"count":1,"run":1}]},{"done":true}]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, record, &work.Record{Phase: work.Running, Change: 5, Groups: []work.GroupRecord{
		{Run: 2, Failures: 1, FailedRun: 1, FailedOn: []string{"w1"}, Checkpoint: "a<b", StartedFrom: "c", Workers: []string{"w2"}, Crashes: []work.TaskCrashes{{Count: 1, Run: 1}}}, {Done: true},
	}})
}

// Guards against earlier releases that start the tasks of a divided record anew: their decoder must fail on it.
func TestDividedRecordIsNoListOfGroups(t *testing.T) {
	record := work.Record{Phase: work.Running, Change: 9, Division: 12}
	data, err := record.Encode()
	assert.NilError(t, err)
	assert.Equal(t, string(data), `{"phase":"running","change":9,"sets":{"division":12}}`)
	decoded, err := work.DecodeRecord(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, &record)
}

func TestKeysOfPartsSortAsTheirGroups(t *testing.T) {
	job, first, part := work.ParseRecordKey(work.PartKey("5c0e7a21d94b36f8", 120))
	assert.Assert(t, job == "5c0e7a21d94b36f8" && first == 120 && part)
	assert.Assert(t, work.PartKey("a", 99) < work.PartKey("a", 100) && work.PartKey("a", 9999) < work.PartKey("a", work.MaxTasks))
	job, _, part = work.ParseRecordKey(work.RecordKey("5c0e7a21d94b36f8"))
	assert.Assert(t, job == "5c0e7a21d94b36f8" && !part)
}
