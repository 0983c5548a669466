package work

import (
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
	Run int `json:"run,omitempty"`
	// Failures is the number of failed runs; FailedRun is the last one counted, so that each run counts once.
	Failures  int `json:"failures,omitempty"`
	FailedRun int `json:"failedRun,omitempty"`
	// FailedOn are workers on which runs failed, at most MaxFailedOn; the group prefers others.
	FailedOn []string `json:"failedOn,omitempty"`
	Done     bool     `json:"done,omitempty"`
	// Checkpoint is the last known checkpoint.
	Checkpoint string `json:"saved,omitempty"`
	// StartedFrom is the checkpoint that the members of the run in Workers started from.
	StartedFrom string `json:"from,omitempty"`
	// Workers holds the worker of each member while the run may be alive there; otherwise it is empty.
	Workers []string `json:"on,omitempty"`
	// MayCrash is true if a task of the group may have crashed a worker, and no run has lasted long enough since.
	MayCrash bool `json:"mayCrash,omitempty"`
	// Crashes has an entry for each task of the group under which a worker has crashed.
	Crashes []TaskCrashes `json:"crashes,omitempty"`
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

// TaskCrashes counts the workers that have crashed under one task.
type TaskCrashes struct {
	// Task is the task's index in its group.
	Task int `json:"task,omitempty"`
	// Count is the number of crashes, Suspected the number of those that count against the task.
	Count     int `json:"count"`
	Suspected int `json:"suspected,omitempty"`
	// Run is the last run counted, so that each run counts once.
	Run int `json:"run"`
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

// Record is the owner's durable state of a job; each change replaces it as a whole.
type Record struct {
	Phase Phase `json:"phase"`
	// Change rises with each write, so that the owner recognises its own writes.
	Change int64 `json:"change"`
	// Groups are the task groups in the order of steps and, within a step, of tasks.
	Groups []GroupRecord `json:"sets,omitempty"`
}

// Encode returns the stored form, JSON.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes the stored form.
func DecodeRecord(data []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("job: stored record: %w", err)
	}
	return r, nil
}
