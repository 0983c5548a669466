package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
)

// Target is the life of a worker that a call is meant for.
type Target struct {
	Worker  string
	Address string
}

// Start asks for one task to be started.
type Start struct {
	Task    string
	Run     int
	Payload string
	// Deadline is when the lease ends, on the worker's clock.
	Deadline time.Duration
	Token    int64
	// Saved is the checkpoint to go on from, or empty.
	Saved string
}

// Stop asks for one run of a task to be stopped, and never to be started later.
type Stop struct {
	Task  string
	Run   int
	Token int64
}

// Look renews the lease of all that runs on a worker and asks what it holds.
type Look struct {
	Token int64
	// Acknowledged is the number of the last end that need not be listed again.
	Acknowledged int64
	// Deadline is when the lease ends, on the worker's clock; zero leaves it as it is.
	Deadline time.Duration
	// Wait is how long the worker may wait for an end before it answers.
	Wait time.Duration
}

// Answer is what a worker says about itself.
type Answer struct {
	sets.Listing
	// Clock is the worker's own clock when it answered.
	Clock time.Duration
}

// Client calls workers.
//
// Errors say what is known: RefusedError means that the worker did nothing, LostError that the call may have been carried
// out or may still be.
type Client interface {
	Start(ctx context.Context, to Target, start Start) error
	Stop(ctx context.Context, to Target, stop Stop) error
	Look(ctx context.Context, to Target, look Look) (Answer, error)
}

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Refusal -transform=title-lower

// Refusal is why a worker did nothing.
type Refusal int

// The reasons.
const (
	// OldToken means that the worker has seen a higher fencing token.
	OldToken Refusal = iota
	// OldRun means that this run or a later one has been stopped or has ended there.
	OldRun
	// PastDeadline means that the lease would have ended already.
	PastDeadline
	// NoRoom means that the task does not fit.
	NoRoom
	// Unhealthy means that the worker takes no work for now.
	Unhealthy
	// OtherLife means that the worker has been started again since.
	OtherLife
	// Invalid means that the worker could not make sense of the call.
	Invalid
)

// RefusedError says that the worker did nothing.
type RefusedError struct {
	Worker  string
	Refusal Refusal
}

// Error names worker and reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused: %s", e.Worker, e.Refusal)
}

// LostError says that no whole answer came.
type LostError struct {
	Worker string
	Cause  error
	// Unsent means that the call certainly never left.
	Unsent bool
}

// Error names worker and cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("worker %s did not answer: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
