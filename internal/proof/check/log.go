package check

import "time"

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Kind,Promise -transform=title-lower -output=enums_enumer.go

// Kind is what happened.
type Kind int

// The kinds of records.
const (
	Submitted Kind = iota
	Refused
	Started
	// StopAsked is when the order to stop was given; a checkpoint may follow.
	StopAsked
	// Halted is when no member runs any more although the job has not finished.
	Halted
	Finished
	Ended
	Drained
	Restored
	CentreDown
	CentreUp
	WorkerDown
	WorkerUp
	// Closed and Opened bound the time in which nothing may start in a data centre for want of an owner or a permit.
	Closed
	Opened
	// Left is a job that was still open at the end, running or waiting.
	Left
)

// Entry is one record of the log.
type Entry struct {
	At      time.Duration
	Kind    Kind
	Job     string
	Attempt int
	Workers []string
	Centre  string
	Worker  string
	// For is the job that a victim gives way to.
	For string
	// Checkpoint is true if a stop saves all progress.
	Checkpoint bool
	Why        string
}

// Promise is what may be broken.
type Promise int

// The promises.
const (
	PartialGang Promise = iota
	StartAfterDrain
	GuaranteeDenied
	StartedTwice
	OverCommitted
	Lost
)

// Violation is one broken promise.
type Violation struct {
	Entry   Entry
	Promise Promise
	State   string
}

// Counts is the number of violations by promise.
type Counts struct {
	PartialGang     int `json:"partialGang"`
	StartAfterDrain int `json:"startAfterDrain"`
	GuaranteeDenied int `json:"guaranteeDenied"`
	StartedTwice    int `json:"startedTwice"`
	OverCommitted   int `json:"overCommitted"`
	Lost            int `json:"lost"`
}

// Total adds all counts up.
func (c Counts) Total() int {
	return c.PartialGang + c.StartAfterDrain + c.GuaranteeDenied + c.StartedTwice + c.OverCommitted + c.Lost
}
