package queue

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/reason"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Class,Phase,Outcome -json -text -transform=title-lower -output=enums_enumer.go

// Class is how long the submitter can wait.
type Class int

// The classes, the most pressing first.
const (
	Quick Class = iota
	Urgent
	Batch
)

// Phase is where a job is in its life.
type Phase int

// The phases.
const (
	Waiting Phase = iota
	Claiming
	Running
	Stopping
	Ended
)

// Outcome is how a job ended.
type Outcome int

// The outcomes; a job that has not ended has OutcomeNone.
const (
	OutcomeNone Outcome = iota
	Finished
	Cancelled
	Refused
	Failed
	Interrupted
)

// Spec is what the submitter says about a job.
type Spec struct {
	Job        string `json:"job"`
	Workspace  string `json:"workspace"`
	Class      Class  `json:"class"`
	Idempotent bool   `json:"idempotent"`
	shape.Shape
	Declared        span.Duration `json:"declared"`
	CheckpointEvery span.Duration `json:"checkpointEvery"`
	CheckpointTakes span.Duration `json:"checkpointTakes"`
	// Payload is handed to the workers as it is.
	Payload string `json:"payload,omitempty"`
}

// IsZero reports whether the spec is left out; without it, that of the embedded resources would answer.
func (s Spec) IsZero() bool { return s.Job == "" }

// Checkpoints reports whether the job can save its progress when asked to stop.
func (s *Spec) Checkpoints() bool { return s.CheckpointEvery.Duration > 0 }

// Pinned reports whether stopping a started attempt would break a promise.
func (s *Spec) Pinned() bool { return !s.Idempotent && !s.Checkpoints() }

// Job is the state of one job inside the deciding process.
type Job struct {
	Spec
	Submitted time.Time
	// Asked is when the job last began to wait.
	WaitingSince time.Time
	Started      time.Time
	NotBefore    time.Time
	// Progress is the run time that is saved in a checkpoint.
	Progress time.Duration
	Phase    Phase
	Outcome  Outcome
	// Attempt numbers the starts, those that failed or went on from a checkpoint included.
	Attempt int
	// Workers has one entry per member while the job holds capacity.
	Workers []int
	// Slot is the guarantee the job is entitled to, or -1.
	Slot int
	// PinCounted is true while the job's capacity counts as pinned on its workers.
	PinCounted bool
	// Centres are the data centres the job may run in.
	Centres []int
	// TriedAt is when making room for the job was last tried in vain.
	SearchedAt time.Time
	// StopsAt is when a stopping job will have stopped, as far as its checkpoint says.
	StopExpectedAt time.Time
	// Victims is how many jobs must still stop before a claiming job starts.
	PendingVictims int
	FailedOn       []int
	Failures       int
	Reason         reason.Reason
}

// Holds reports whether capacity is set aside for the job.
func (j *Job) HoldsCapacity() bool {
	return j.Phase == Claiming || j.Phase == Running || j.Phase == Stopping
}

// Attained is the run time the job has had, saved or not.
func (j *Job) Attained(now time.Time) time.Duration {
	if j.Phase == Running || j.Phase == Stopping {
		return j.Progress + now.Sub(j.Started)
	}
	return j.Progress
}

// Unsaved is the run time that would be lost if the job were killed now.
func (j *Job) Unsaved(now time.Time) time.Duration {
	ran := j.Attained(now) - j.Progress
	if every := j.CheckpointEvery.Duration; every > 0 {
		return ran % every
	}
	return ran
}
