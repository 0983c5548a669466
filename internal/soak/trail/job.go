package trail

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Step is one step of a job with the true duration of each of its tasks.
type Step struct {
	MilliCores, MemMB, Accelerators int
	Estimate                        time.Duration
	After                           []int
	Gang, Checkpoints               bool
	Work                            []time.Duration
	// FailShare is the share of runs that fail.
	FailShare float64
}

// Job is what its caller knows about a job.
type Job struct {
	ID, Queue, Prefix, Key, Payload string
	MaxAttempts                     int
	Steps                           []Step
	FirstSent, Accepted             time.Time
	// Rejected counts the attempts that were certainly rejected, Unanswered those that had no definite response.
	Rejected, Unanswered       int
	CancelSent, CancelAccepted time.Time
	// State is the last state that a caller was shown.
	State string
}

// TaskID locates a task in its job.
type TaskID struct {
	Job         string
	Step, Index int
}

// String returns the name of the task on the wire.
func (t TaskID) String() string { return fmt.Sprintf("%s.0.%d.%d", t.Job, t.Step, t.Index) }

// ParseTask returns the task of that name on the wire.
func ParseTask(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 || parts[1] != "0" {
		return TaskID{}, fmt.Errorf("task %q is not ID.0.STEP.INDEX", name)
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return TaskID{}, err
	}
	index, err := strconv.Atoi(parts[3])
	return TaskID{Job: parts[0], Step: step, Index: index}, err
}

// Has reports whether the task is one of the job's.
func (j *Job) Has(t TaskID) bool {
	return t.Step >= 0 && t.Step < len(j.Steps) && t.Index >= 0 && t.Index < len(j.Steps[t.Step].Work)
}
