package check

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Kind,Promise -transform=title-lower -output=enums_enumer.go

// Kind is the kind of a log entry.
type Kind int

// The kinds of log entries.
const (
	Submitted Kind = iota
	Refused
	Started
	// StopAsked is the order to stop a run; a checkpoint may follow.
	StopAsked
	// Halted means that no member runs any longer although the job has not finished.
	Halted
	Finished
	Ended
	Drained
	Restored
	CentreDown
	CentreUp
	WorkerDown
	WorkerUp
	// Closed and Opened bound the time in which nothing may start in a data centre for lack of an owner or a permit.
	Closed
	Opened
	// Left is a job that is still running or waiting at the end of the replay.
	Left
)

// Entry is one log entry; fields that do not apply to its kind are zero.
type Entry struct {
	At      time.Duration
	Kind    Kind
	Job     string
	Attempt int
	Workers []string
	Centre  string
	Worker  string
	// Requester is the job for which a victim is stopped; empty if there is none.
	Requester string
	// Checkpoint reports whether a stop saves all progress.
	Checkpoint bool
	Why        string
}

// Promise is a kind of promise that a log entry may break.
type Promise int

// The promises, named after what breaks them.
const (
	PartialGang Promise = iota
	StartAfterDrain
	GuaranteeDenied
	StartedTwice
	OverCommitted
	Lost
)

// Violation is one broken promise: the log entry that breaks it and a description of the state.
type Violation struct {
	Entry   Entry
	Promise Promise
	State   string
}

// Counts holds the number of violations of each promise.
type Counts struct {
	PartialGang     int `json:"partialGang"`
	StartAfterDrain int `json:"startAfterDrain"`
	GuaranteeDenied int `json:"guaranteeDenied"`
	StartedTwice    int `json:"startedTwice"`
	OverCommitted   int `json:"overCommitted"`
	Lost            int `json:"lost"`
}

// Total returns the sum of all counts.
func (c Counts) Total() int {
	return c.PartialGang + c.StartAfterDrain + c.GuaranteeDenied + c.StartedTwice + c.OverCommitted + c.Lost
}
