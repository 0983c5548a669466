package queue

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/reason"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Class,Phase,Outcome -json -text -transform=title-lower -output=enums_enumer.go

// Class is how urgent a job is.
type Class int

// Classes of jobs, the most urgent first.
const (
	Quick Class = iota
	Urgent
	Batch
)

// Phase is the state of a job in its life cycle.
type Phase int

// Phases of a job.
const (
	Waiting Phase = iota
	Claiming
	Running
	Stopping
	Ended
)

// Outcome is how a job ended.
type Outcome int

// Outcomes of a job; it is OutcomeNone until the job has ended.
const (
	OutcomeNone Outcome = iota
	Finished
	Cancelled
	Refused
	Failed
	Interrupted
)

// Spec is the description of a job by its submitter.
type Spec struct {
	Job        string `json:"job"`
	Workspace  string `json:"workspace"`
	Class      Class  `json:"class"`
	Idempotent bool   `json:"idempotent"`
	shape.Shape
	Declared        span.Duration `json:"declared"`
	CheckpointEvery span.Duration `json:"checkpointEvery"`
	CheckpointTakes span.Duration `json:"checkpointTakes"`
	// Payload is passed to the workers unchanged.
	Payload string `json:"payload,omitempty"`
}

// IsZero reports whether the spec is absent; without this method, the promoted one of the embedded resources would apply.
func (s Spec) IsZero() bool { return s.Job == "" }

// Checkpoints reports whether the job can save its progress when it is stopped.
func (s *Spec) Checkpoints() bool { return s.CheckpointEvery.Duration > 0 }

// Pinned reports whether a started attempt must not be stopped, as it can neither save its progress nor be run again.
func (s *Spec) Pinned() bool { return !s.Idempotent && !s.Checkpoints() }

// Job is the state of one job in the engine.
type Job struct {
	Spec
	Submitted time.Time
	// WaitingSince is when the job last entered the queue.
	WaitingSince time.Time
	Started      time.Time
	NotBefore    time.Time
	// Progress is the run time that is saved in a checkpoint.
	Progress time.Duration
	Phase    Phase
	Outcome  Outcome
	// Attempt is the number of starts, including those that failed or resumed from a checkpoint.
	Attempt int
	// Workers has one entry per member while the job holds capacity.
	Workers []int
	// Slot is the guarantee slot that is assigned to the job, or -1.
	Slot int
	// PinCounted is true while the job's capacity is included in the pinned capacity of its workers.
	PinCounted bool
	// Centres holds the data centres in which the job may run.
	Centres []int
	// SearchedAt is when the last search for jobs to stop or move found nothing.
	SearchedAt time.Time
	// StopExpectedAt is when a stopping job is expected to have stopped, according to its checkpoint time.
	StopExpectedAt time.Time
	// PendingVictims is the number of jobs that must still stop before a job with a reservation starts.
	PendingVictims int
	FailedOn       []int
	Failures       int
	Reason         reason.Reason
}

// HoldsCapacity reports whether capacity is allocated to the job.
func (j *Job) HoldsCapacity() bool {
	return j.Phase == Claiming || j.Phase == Running || j.Phase == Stopping
}

// Attained returns the run time of the job so far, saved or not.
func (j *Job) Attained(now time.Time) time.Duration {
	if j.Phase == Running || j.Phase == Stopping {
		return j.Progress + now.Sub(j.Started)
	}
	return j.Progress
}

// Unsaved returns the run time that would be lost if the job were killed now.
func (j *Job) Unsaved(now time.Time) time.Duration {
	ran := j.Attained(now) - j.Progress
	if every := j.CheckpointEvery.Duration; every > 0 {
		return ran % every
	}
	return ran
}
