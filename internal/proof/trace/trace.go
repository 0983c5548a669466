package trace

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/guard"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// Header is the first line: the fleet and the workspaces.
type Header struct {
	Kind        string                 `json:"kind"`
	Version     int                    `json:"version"`
	Name        string                 `json:"name"`
	Seed        uint64                 `json:"seed"`
	DataCentres []fleet.DataCentreSpec `json:"dataCentres"`
	Workspaces  []guard.Workspace      `json:"workspaces"`
}

// Event is one thing that happens in a trace.
type Event interface {
	// When is the time since the beginning of the trace.
	When() time.Duration
	event()
}

// At is the time of an event, part of every kind.
type At struct {
	At   span.Duration `json:"at"`
	Kind string        `json:"kind"`
}

// When is the time since the beginning of the trace.
func (a At) When() time.Duration { return a.At.Duration }

// Submit is a job that arrives.
type Submit struct {
	At
	Job        string      `json:"job"`
	Workspace  string      `json:"workspace"`
	Class      queue.Class `json:"class"`
	Idempotent bool        `json:"idempotent"`
	shape.Shape
	Declared span.Duration `json:"declared"`
	// Actual is the true run time; no decision may see it.
	Actual          span.Duration `json:"actual"`
	CheckpointEvery span.Duration `json:"checkpointEvery,omitzero"`
	CheckpointTakes span.Duration `json:"checkpointTakes,omitzero"`
	// FailsAfter makes every attempt fail after that long.
	FailsAfter span.Duration `json:"failsAfter,omitzero"`
}

// Cancel ends a job.
type Cancel struct {
	At
	Job string `json:"job"`
}

// Drain takes a data centre out of service.
type Drain struct {
	At
	DataCentre string        `json:"dataCentre"`
	Deadline   span.Duration `json:"deadline"`
}

// Centre is a change of a data centre that needs no more than its name.
type Centre struct {
	At
	DataCentre string `json:"dataCentre,omitempty"`
}

// Worker is a change of a worker.
type Worker struct {
	At
	Worker string `json:"worker"`
}

// End stops the replay.
type End struct {
	At
}

// The kinds of events that name a data centre or a worker.
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

func (Submit) event() {}
func (Cancel) event() {}
func (Drain) event()  {}
func (Centre) event() {}
func (Worker) event() {}
func (End) event()    {}

// Spec is what the submitter says; the true run time is left out.
func (s *Submit) Spec() queue.Spec {
	return queue.Spec{
		Job: s.Job, Workspace: s.Workspace, Class: s.Class, Idempotent: s.Idempotent, Shape: s.Shape,
		Declared: s.Declared, CheckpointEvery: s.CheckpointEvery, CheckpointTakes: s.CheckpointTakes,
	}
}

// Trace is a whole trace that was found correct.
type Trace struct {
	Header Header
	Events []Event
}
