package work

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// Step is a number of equal tasks that may start once all steps in After, by index, have finished.
type Step struct {
	// Count is the number of tasks.
	Count int `json:"count"`
	// MilliCores, MemoryMB and Accelerators are the needs of each task.
	MilliCores   int `json:"milliCores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
	// Estimate is the submitter's estimate of a task's run time.
	Estimate time.Duration `json:"estimate,omitempty"`
	After    []int         `json:"after,omitempty"`
	// Gang means that the tasks must run at the same time and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack means that the tasks run slowly when they are spread over racks.
	SameRack bool `json:"sameRack,omitempty"`
	// Checkpoints means that a stopped task can resume from a checkpoint.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Requires is a label that the worker must have.
	Requires string `json:"requires,omitempty"`
	// Affinity is the rack that holds the step's data.
	Affinity string `json:"affinity,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; zero means unlimited.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// LongRunning marks a long-running service: the tasks run until the job is cancelled, and are restarted after any exit.
	LongRunning bool `json:"lasts,omitempty"`
	// MaxUnavailable is how many tasks of a long-running service the owner's stops may leave unavailable; zero means unlimited.
	MaxUnavailable int `json:"maxAway,omitempty"`
}

// Repeat is the schedule of a repeating job.
type Repeat struct {
	// Count is the number of occurrences, each one run of all steps. Occurrence K, from zero, is due at Start plus K times
	// Interval; occurrences may overlap.
	Count    int           `json:"count"`
	Start    time.Time     `json:"start"`
	Interval time.Duration `json:"interval"`
}

// QueueConfig is the configuration of a job's queue and workspace.
type QueueConfig struct {
	// Service is the service whose workers run the job's tasks.
	Service string `json:"service"`
	// Priority orders the queues, 0 first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task group may fail before the job fails.
	MaxAttempts int `json:"maxAttempts,omitempty"`
	// Stretch and Target set the objective of a job: Stretch times its critical path, plus Target.
	Stretch float64       `json:"stretch,omitempty"`
	Target  time.Duration `json:"target,omitempty"`
	// Cap is the cap of the job's workspace, nil if it has none.
	Cap *Cap `json:"cap,omitempty"`
}

// Cap is what a workspace may have running on all workers; zero fields are no limits.
type Cap struct {
	MilliCores   int `json:"milliCores,omitempty"`
	MemoryMB     int `json:"memoryMB,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Spec is a job as it was accepted; it never changes.
type Spec struct {
	Job       string `json:"job"`
	Workspace string `json:"workspace"`
	Queue     string `json:"queue"`
	// Config is the configuration of the queue when the job was accepted, for when the queue is removed before the job ends; nil
	// in jobs of earlier releases.
	Config *QueueConfig `json:"queueConfig,omitempty"`
	// Payload is passed to the workers unchanged.
	Payload string `json:"payload,omitempty"`
	Steps   []Step `json:"steps"`
	// Repeat is nil for a job that runs once and may start at once.
	Repeat *Repeat `json:"repeat,omitempty"`
	// Accepted is the wall-clock time at the instance that accepted the job.
	Accepted time.Time `json:"accepted"`
}

// Limits of one job, which bound the memory that it can use. MaxTasks counts the tasks of all occurrences.
const (
	MaxPayloadBytes = 4000
	MaxSteps        = 200
	MaxTasks        = 20000
	// MaxMilliCores, MaxMemoryMB and MaxAccelerators bound the needs of one task and what one worker may have: several times what one
	// machine has today, and so little that no sum over MaxTasks tasks or a million workers overflows.
	MaxMilliCores   = 64_000_000
	MaxMemoryMB     = 1 << 28
	MaxAccelerators = 1024
	// MaxEstimate bounds a step's estimate, and MaxCriticalPath the time of the longest chain of steps; longer ones count as these.
	MaxEstimate     = 30 * 24 * time.Hour
	MaxCriticalPath = 10 * MaxEstimate
	// maxYear is the last year that the stored form can hold.
	maxYear = 9999
	// maxRepeatSpan bounds the time from a job's first occurrence to its last, well below the range of time.Duration.
	maxRepeatSpan = 100 * 365 * 24 * time.Hour
)

// Problem is the reason why a spec is invalid; callers receive its text.
type Problem struct{ Text string }

// Error returns the text with the prefix "job: ".
func (p *Problem) Error() string { return "job: " + p.Text }

func problem(format string, args ...any) *Problem {
	return &Problem{Text: fmt.Sprintf(format, args...)}
}

// Bound replaces estimates and limits that are out of bounds by the nearest bound: an estimate is rough, and no limit above the
// number of tasks has an effect. It drops earlier steps that are named twice.
func (s *Spec) Bound() {
	for i := range s.Steps {
		step := &s.Steps[i]
		step.Estimate = min(step.Estimate, MaxEstimate)
		step.MaxPerWorker = min(step.MaxPerWorker, MaxTasks)
		step.MaxUnavailable = min(step.MaxUnavailable, MaxTasks)
		if len(step.After) > 1 {
			slices.Sort(step.After)
			step.After = slices.Compact(step.After)
		}
	}
}

// Check returns a Problem if the spec is invalid or exceeds a limit.
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
		if step.Count < 1 || step.MilliCores < 0 || step.MemoryMB < 0 || step.Accelerators < 0 || step.MaxPerWorker < 0 || step.MaxUnavailable < 0 || step.Estimate < 0 {
			return problem("step %d needs a count of at least 1, and no size may be negative", i)
		}
		if step.MilliCores > MaxMilliCores || step.MemoryMB > MaxMemoryMB || step.Accelerators > MaxAccelerators {
			return problem("step %d needs more than %d millicores, %d MB or %d accelerators for a task", i, MaxMilliCores, MaxMemoryMB, MaxAccelerators)
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
	if year := s.Repeat.Start.Year(); year < 0 || year > maxYear {
		return problem("the first turn is in the year %d; 0 to %d are allowed", year, maxYear)
	}
	if s.Repeat.Interval > maxRepeatSpan/time.Duration(s.Repeat.Count) {
		return problem("%d turns, %s apart, would take longer than %s", s.Repeat.Count, s.Repeat.Interval, maxRepeatSpan)
	}
	if s.Repeat.Count > MaxTasks/tasks {
		return problem("%d turns of %d tasks; at most %d tasks are allowed", s.Repeat.Count, tasks, MaxTasks)
	}
	return nil
}

// MaxLabelBytes is the size of the longest label that a worker may have.
const MaxLabelBytes = 200

// CheckAccepted returns a Problem if a new job can't be served: its spec or a record of it may be larger than maxValueBytes, or it
// requires a label that no worker can have. The record of a gang can't be divided.
func (s *Spec) CheckAccepted(maxValueBytes int) error {
	data, err := s.Encode()
	if err != nil {
		return err
	}
	if len(data) > maxValueBytes {
		return problem("the job takes %d bytes, at most %d are allowed", len(data), maxValueBytes)
	}
	for i := range s.Steps {
		step := &s.Steps[i]
		if len(step.Requires) > MaxLabelBytes {
			return problem("step %d requires a label of %d bytes, at most %d are allowed", i, len(step.Requires), MaxLabelBytes)
		}
		tasks := 1
		if step.Gang {
			tasks = step.Count
		}
		if size := MaxPartBytes(tasks, step.Checkpoints); size > maxValueBytes {
			return problem("a record of step %d may take %d bytes, at most %d are allowed; a gang may have %d tasks", i, size, maxValueBytes, maxGang(step.Checkpoints, maxValueBytes))
		}
	}
	return nil
}

// maxGang returns how many tasks a gang may have so that its record is within maxValueBytes.
func maxGang(checkpoints bool, maxValueBytes int) int {
	base := MaxPartBytes(0, checkpoints)
	return max(0, (maxValueBytes-base)/(MaxPartBytes(1, checkpoints)-base))
}

// LongRunning reports whether any step is a long-running service.
func (s *Spec) LongRunning() bool {
	return slices.ContainsFunc(s.Steps, func(step Step) bool { return step.LongRunning })
}

// Occurrences returns the number of occurrences; one without a Repeat.
func (s *Spec) Occurrences() int {
	if s.Repeat == nil {
		return 1
	}
	return s.Repeat.Count
}

// GroupCount returns the number of task groups of all occurrences.
func (s *Spec) GroupCount() int {
	count := 0
	for i := range s.Steps {
		if s.Steps[i].Gang {
			count++
		} else {
			count += s.Steps[i].Count
		}
	}
	return count * s.Occurrences()
}

// Encode returns the stored form, JSON.
func (s *Spec) Encode() ([]byte, error) { return json.Marshal(s) }

// DecodeSpec decodes and checks the stored form.
func DecodeSpec(data []byte) (*Spec, error) {
	s := new(Spec)
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("job: stored spec: %w", err)
	}
	s.Bound()
	if err := s.Check(); err != nil {
		return nil, err
	}
	return s, nil
}

// CriticalPath returns the estimated run time of the critical path, the longest chain of dependent steps, at most
// MaxCriticalPath.
func (s *Spec) CriticalPath() time.Duration {
	longest := time.Duration(0)
	finish := make([]time.Duration, len(s.Steps))
	for i, step := range s.Steps {
		for _, earlier := range step.After {
			finish[i] = max(finish[i], finish[earlier])
		}
		finish[i] = min(finish[i]+step.Estimate, MaxCriticalPath)
		longest = max(longest, finish[i])
	}
	return longest
}
