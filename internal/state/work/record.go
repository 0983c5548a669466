package work

import (
	"encoding/json"
	"fmt"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Phase -json -text -transform=title-lower

// Phase is where a job is in its life.
type Phase int

// The phases; Completed, Failed and Cancelled are final.
const (
	Queued Phase = iota
	Running
	Completed
	Failed
	Cancelled
)

// Final reports whether the job is over.
func (p Phase) Final() bool { return p >= Completed }

// SetRecord is what must survive of one set: a gang, or a single task of a step without one.
type SetRecord struct {
	// Run is the number of the last start, zero before the first.
	Run int `json:"run,omitempty"`
	// Failures counts the runs that failed; FailedRun is the last one counted.
	Failures  int  `json:"failures,omitempty"`
	FailedRun int  `json:"failedRun,omitempty"`
	Done      bool `json:"done,omitempty"`
	// Saved is the last checkpoint known.
	Saved string `json:"saved,omitempty"`
	// From is the checkpoint that the members of the run in On began with.
	From string `json:"from,omitempty"`
	// On has the worker of each member while a run may be alive there, else it is empty.
	On []string `json:"on,omitempty"`
}

// Record is the owner's account of a job; it is replaced at each change.
type Record struct {
	Phase Phase `json:"phase"`
	// Change rises with each write, so that the owner knows its own writes again.
	Change int64 `json:"change"`
	// Sets are in the order of steps and, within a step, of tasks.
	Sets []SetRecord `json:"sets,omitempty"`
}

// Encode returns the stored form.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads the stored form.
func DecodeRecord(data []byte) (*Record, error) {
	r := new(Record)
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("job: stored record: %w", err)
	}
	return r, nil
}
