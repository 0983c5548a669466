package work

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Step is a number of equal tasks that may start once all earlier steps in After have finished.
type Step struct {
	// Count is how many tasks the step has.
	Count int `json:"count"`
	// MilliCores, MemoryMB and Accelerators are what each task needs.
	MilliCores   int `json:"milliCores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// Estimate is the submitter's rough idea of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	After    []int         `json:"after,omitempty"`
	// Gang means that the tasks only work together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks are slow when they are spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Checkpoints means that a stopped task can go on where it was.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"requires,omitempty"`
	// Affinity is the rack that holds the step's data.
	Affinity string `json:"affinity,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; zero means no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Lasts means that the tasks run until the job is cancelled, and are started again however they end.
	Lasts bool `json:"lasts,omitempty"`
	// MaxAway bounds how many tasks of a step that lasts may be away from their work by the owner's doing; zero means no bound.
	MaxAway int `json:"maxAway,omitempty"`
}

// Repeat says when the steps of a job run, if not once and at once.
type Repeat struct {
	// Count is how many times the steps run; turn K, from zero, is due at Start and K times Interval. Turns may overlap.
	Count    int           `json:"count"`
	Start    time.Time     `json:"start"`
	Interval time.Duration `json:"interval"`
}

// Spec is a job as it was accepted; it never changes.
type Spec struct {
	Job       string `json:"job"`
	Workspace string `json:"workspace"`
	Queue     string `json:"queue"`
	// Payload is handed to the workers as it is.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repeat is nil for a job that runs once and at once.
	Repeat *Repeat `json:"repeat,omitempty"`
	// Accepted is the time of day at the instance that accepted the job.
	Accepted time.Time `json:"accepted"`
}

// Limits of what a job may consist of; they bound the memory that one job can take.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 200
	MaxTasks        = 20000
	// maxSpan bounds the time from a job's first turn to its last, well within what a duration can hold.
	maxRepeatSpan = 100 * 365 * 24 * time.Hour
)

// Problem says why a spec can't be accepted.
type Problem struct{ Text string }

// Error returns the text.
func (p *Problem) Error() string { return "job: " + p.Text }

func problem(format string, args ...any) *Problem {
	return &Problem{Text: fmt.Sprintf(format, args...)}
}

// Check returns a Problem if the spec makes no sense.
func (s *Spec) Check() error {
	if len(s.Payload) > MaxPayloadBytes {
		return problem("the payload has %d bytes, at most %d are allowed", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 || len(s.Steps) > MaxSteps {
		return problem("%d steps; 1 to %d are allowed", len(s.Steps), MaxSteps)
	}
	tasks := 0
	for i := range s.Steps {
		step := &s.Steps[i]
		if step.Count < 1 || step.MilliCores < 0 || step.MemoryMB < 0 || step.Accelerators < 0 || step.MaxPerWorker < 0 || step.MaxAway < 0 || step.Estimate < 0 {
			return problem("step %d needs a count of at least 1, and no size may be negative", i)
		}
		for _, earlier := range step.After {
			if earlier < 0 || earlier >= i {
				return problem("step %d comes after step %d, which is not an earlier one", i, earlier)
			}
		}
		tasks += step.Count
		if tasks > MaxTasks {
			return problem("more than %d tasks", MaxTasks)
		}
	}
	return s.checkRepeat(tasks)
}

func (s *Spec) checkRepeat(tasks int) error {
	if s.Repeat == nil {
		return nil
	}
	if s.Repeat.Count < 1 || s.Repeat.Interval < 0 {
		return problem("%d turns, %s apart; at least one is needed, and time goes forward", s.Repeat.Count, s.Repeat.Interval)
	}
	if s.Repeat.Interval > maxRepeatSpan/time.Duration(s.Repeat.Count) {
		return problem("%d turns, %s apart, would take longer than %s", s.Repeat.Count, s.Repeat.Interval, maxRepeatSpan)
	}
	if s.Repeat.Count > MaxTasks/tasks {
		return problem("%d turns of %d tasks; at most %d tasks are allowed", s.Repeat.Count, tasks, MaxTasks)
	}
	return nil
}

// Lasts reports whether any step runs until the job is cancelled.
func (s *Spec) Lasts() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.Lasts })
}

// Turns is how many times the steps run.
func (s *Spec) Turns() int {
	if s.Repeat == nil {
		return 1
	}
	return s.Repeat.Count
}

// Encode returns the stored form.
func (s *Spec) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeSpec reads the stored form.
func DecodeSpec(data []byte) (*Spec, error) {
	s := new(Spec)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("job: stored spec: %w", err)
	}
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// Chain returns the estimated run time of the longest chain of steps.
func (s *Spec) Chain() time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(s.Steps))
	for i, step := range s.Steps {
		for _, earlier := range step.After {
			finish[i] = max(finish[i], finish[earlier])
		}
		finish[i] += step.Estimate
		longest = max(longest, finish[i])
	}
	return longest
}
