package work

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Phase -json -text -transform=title-lower

// Phase is the state of a job.
type Phase int

// The phases; Completed, Failed and Cancelled are final.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the job is completed, failed or cancelled.
func (p Phase) Final() bool { return p >= Completed }

// GroupRecord is the durable state of one task group: a gang, or a single task of a step without a gang.
type GroupRecord struct {
	// Run is the number of the last run, one attempt to run the task group; zero before the first.
	Run int `json:"run,omitempty" cbor:"1,keyasint,omitempty"`
	// Failures is the number of failed runs; FailedRun is the last one counted, so that each run counts once.
	Failures  int `json:"failures,omitempty" cbor:"2,keyasint,omitempty"`
	FailedRun int `json:"failedRun,omitempty" cbor:"3,keyasint,omitempty"`
	// FailedOn are workers on which runs failed, at most MaxFailedOn; the group prefers others.
	FailedOn []string `json:"failedOn,omitempty" cbor:"4,keyasint,omitempty"`
	Done     bool     `json:"done,omitempty" cbor:"5,keyasint,omitempty"`
	// Checkpoint is the last known checkpoint.
	Checkpoint string `json:"saved,omitempty" cbor:"6,keyasint,omitempty"`
	// StartedFrom is the checkpoint that the members of the run in Workers started from.
	StartedFrom string `json:"from,omitempty" cbor:"7,keyasint,omitempty"`
	// Workers holds the worker of each member while the run may be alive there; otherwise it is empty.
	Workers []string `json:"on,omitempty" cbor:"8,keyasint,omitempty"`
	// Incarnations holds, for each of Workers, the incarnation to which the start is sent; it is empty in records of releases that don't
	// know it, and zero if a worker reports none.
	Incarnations []int64 `json:"born,omitempty" cbor:"11,keyasint,omitempty"`
	// MayCrash is true if a task of the group may have crashed a worker, and no run has lasted long enough since.
	MayCrash bool `json:"mayCrash,omitempty" cbor:"9,keyasint,omitempty"`
	// Crashes has an entry for each task of the group under which a worker has crashed.
	Crashes []TaskCrashes `json:"crashes,omitempty" cbor:"10,keyasint,omitempty"`
}

// MaxFailedOn bounds what failures add to a record.
const MaxFailedOn = 8

// AddFailedOn adds a worker on which a run failed; the oldest makes room for it. Copies of the record that were made before don't
// change.
func (g *GroupRecord) AddFailedOn(worker string) {
	if slices.Contains(g.FailedOn, worker) {
		return
	}
	list := append(slices.Clone(g.FailedOn), worker)
	g.FailedOn = list[max(len(list)-MaxFailedOn, 0):]
}

// IncarnationOf returns the incarnation to which the start of the task with that index is sent, zero if it is unknown.
func (g *GroupRecord) IncarnationOf(task int) int64 {
	if len(g.Incarnations) != len(g.Workers) || task >= len(g.Workers) {
		return 0
	}
	return g.Incarnations[task]
}

// SetIncarnation sets the result of IncarnationOf; a task without a worker is left out. Copies of the record that were made before don't
// change.
func (g *GroupRecord) SetIncarnation(task int, incarnation int64) {
	if task >= len(g.Workers) {
		return
	}
	list := make([]int64, len(g.Workers))
	if len(g.Incarnations) == len(list) {
		copy(list, g.Incarnations)
	}
	list[task] = incarnation
	g.Incarnations = list
}

// TaskCrashes counts the workers that have crashed under one task.
type TaskCrashes struct {
	// Task is the task's index in its group.
	Task int `json:"task,omitempty" cbor:"1,keyasint,omitempty"`
	// Count is the number of crashes, Suspected the number of those that count against the task.
	Count     int `json:"count" cbor:"2,keyasint,omitempty"`
	Suspected int `json:"suspected,omitempty" cbor:"3,keyasint,omitempty"`
	// Run is the last run counted, so that each run counts once.
	Run int `json:"run" cbor:"4,keyasint,omitempty"`
}

// CrashesOf returns the crashes under the task with that index, all zero if there were none.
func (g *GroupRecord) CrashesOf(task int) TaskCrashes {
	for _, crashes := range g.Crashes {
		if crashes.Task == task {
			return crashes
		}
	}
	return TaskCrashes{Task: task}
}

// ClearSuspicion records that no task of the group is suspected of a crash any more. Copies of the record that were made before
// don't change.
func (g *GroupRecord) ClearSuspicion() {
	g.MayCrash = false
	g.Crashes = slices.Clone(g.Crashes)
	for i := range g.Crashes {
		g.Crashes[i].Suspected = 0
	}
}

// AddCrash counts a crash under the task with that index in the given run, and returns the task's crashes. Copies of the
// record that were made before don't change.
func (g *GroupRecord) AddCrash(task, run int, suspected bool) TaskCrashes {
	crashes := g.CrashesOf(task)
	crashes.Count++
	crashes.Run = run
	if suspected {
		crashes.Suspected++
	}
	list := slices.DeleteFunc(slices.Clone(g.Crashes), func(c TaskCrashes) bool { return c.Task == task })
	g.Crashes = append(list, crashes)
	return crashes
}

// PassOverCrash records that a crash under the task with that index in the given run does not count. If the run was long, it clears the
// task of earlier crashes. Copies of the record that were made before don't change.
func (g *GroupRecord) PassOverCrash(task, run int, clears bool) {
	crashes := g.CrashesOf(task)
	if clears {
		crashes.Count, crashes.Suspected = 0, 0
	}
	list := slices.DeleteFunc(slices.Clone(g.Crashes), func(c TaskCrashes) bool { return c.Task == task })
	if crashes.Run = run; crashes.Count > 0 {
		list = append(list, crashes)
	}
	g.Crashes = list
}

// Record is the owner's durable state of a job. A small one is a single value; the task groups of a large one are divided into parts
// with keys of their own.
type Record struct {
	Phase Phase
	// Change rises with each write.
	Change int64
	// Groups are the task groups in the order of occurrences, of steps and, within a step, of tasks. A divided record that was
	// decoded has none until those of its parts are joined.
	Groups []GroupRecord
	// Division is a number that only this division into parts has, zero for a record in one value; Parts are the first groups of
	// the parts, in ascending order.
	Division int64
	Parts    []int
}

// wholeRecord is the stored form of a record in one value.
type wholeRecord struct {
	Phase  Phase         `json:"phase"`
	Change int64         `json:"change"`
	Groups []GroupRecord `json:"sets,omitempty"`
}

// dividedRecord is the stored form of a divided record. Releases that know no parts can't decode it, as it has no list of groups.
type dividedRecord struct {
	Phase  Phase    `json:"phase"`
	Change int64    `json:"change"`
	Groups division `json:"sets"`
}

type division struct {
	Division int64 `json:"division"`
}

// Encode returns the stored form, JSON; that of a divided record is small and has no groups.
func (r *Record) Encode() ([]byte, error) {
	if r.Division != 0 {
		return encodeJSON(dividedRecord{Phase: r.Phase, Change: r.Change, Groups: division{Division: r.Division}})
	}
	return encodeJSON(wholeRecord{Phase: r.Phase, Change: r.Change, Groups: r.Groups})
}

// encodeJSON encodes without the escapes that only HTML needs.
func encodeJSON(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// DecodeRecord decodes the stored form; a divided record has no groups yet.
func DecodeRecord(data []byte) (*Record, error) {
	var whole wholeRecord
	err := json.Unmarshal(data, &whole)
	if err == nil {
		return &Record{Phase: whole.Phase, Change: whole.Change, Groups: whole.Groups}, nil
	}
	var divided dividedRecord
	if json.Unmarshal(data, &divided) == nil && divided.Groups.Division != 0 {
		return &Record{Phase: divided.Phase, Change: divided.Change, Division: divided.Groups.Division}, nil
	}
	return nil, fmt.Errorf("job: stored record: %w", err)
}
