package trace

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// Header is the first line of a trace: the fleet, the workspaces and the seed of the decisions.
type Header struct {
	Kind        string                 `json:"kind"`
	Version     int                    `json:"version"`
	Name        string                 `json:"name"`
	Seed        uint64                 `json:"seed"`
	DataCentres []fleet.DataCentreSpec `json:"dataCentres"`
	Workspaces  []guard.Workspace      `json:"workspaces"`
}

// Event is one event of a trace.
type Event interface {
	// When returns the time since the beginning of the trace.
	When() time.Duration
	event()
}

// At holds the time and the kind of an event and is embedded in every event type.
type At struct {
	At   span.Duration `json:"at"`
	Kind string        `json:"kind"`
}

// When returns the time since the beginning of the trace.
func (a At) When() time.Duration { return a.At.Duration }

// Submit is the submission of a job.
type Submit struct {
	At
	Job        string      `json:"job"`
	Workspace  string      `json:"workspace"`
	Class      queue.Class `json:"class"`
	Idempotent bool        `json:"idempotent"`
	shape.Shape
	Declared span.Duration `json:"declared"`
	// Actual is the true run time, which must be hidden from the decision code.
	Actual          span.Duration `json:"actual"`
	CheckpointEvery span.Duration `json:"checkpointEvery,omitzero"`
	CheckpointTakes span.Duration `json:"checkpointTakes,omitzero"`
	// FailsAfter makes every attempt fail after that time; zero means never.
	FailsAfter span.Duration `json:"failsAfter,omitzero"`
}

// Cancel cancels a job that was submitted before.
type Cancel struct {
	At
	Job string `json:"job"`
}

// Drain is an operator's order to take a data centre out of service; its tasks must have stopped by the deadline,
// which counts from the event.
type Drain struct {
	At
	DataCentre string        `json:"dataCentre"`
	Deadline   span.Duration `json:"deadline"`
}

// DataCentreChange is a change of a data centre that has no further fields; the name is optional for a store outage, which
// then affects all.
type DataCentreChange struct {
	At
	DataCentre string `json:"dataCentre,omitempty"`
}

// WorkerChange is a change of one worker: it is lost, returns, starts or stops failing tasks.
type WorkerChange struct {
	At
	Worker string `json:"worker"`
}

// End ends the replay at its time and must be the last event.
type End struct {
	At
}

// The kinds of lines, and the limits of the format.
const (
	KindRestore        = "restore"
	KindDataCentreDown = "dataCentreDown"
	KindDataCentreUp   = "dataCentreUp"
	KindStoreDown      = "storeDown"
	KindStoreUp        = "storeUp"
	KindOwnerLost      = "ownerLost"
	KindWorkerDown     = "workerDown"
	KindWorkerUp       = "workerUp"
	KindWorkerBad      = "workerBad"
	KindWorkerGood     = "workerGood"
	kindSubmit         = "submit"
	kindCancel         = "cancel"
	kindDrain          = "drain"
	kindEnd            = "end"
	kindHeader         = "header"
	headerVersion      = 1
	maxLineBytes       = 4 << 20
)

func (Submit) event()           {}
func (Cancel) event()           {}
func (Drain) event()            {}
func (DataCentreChange) event() {}
func (WorkerChange) event()     {}
func (End) event()              {}

// Spec returns the job as its submitter describes it, without the true run time.
func (s *Submit) Spec() queue.Spec {
	return queue.Spec{
		Job: s.Job, Workspace: s.Workspace, Class: s.Class, Idempotent: s.Idempotent, Shape: s.Shape,
		Declared: s.Declared, CheckpointEvery: s.CheckpointEvery, CheckpointTakes: s.CheckpointTakes,
	}
}

// Trace is a complete, checked trace.
type Trace struct {
	Header Header
	Events []Event
}
