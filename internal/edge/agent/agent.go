package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

// Target is the worker that a call is meant for.
type Target struct {
	Worker  string
	Address string
	// Incarnation is the one that the caller last saw, or zero; a later one may execute the call.
	Incarnation int64 `cbor:"-"`
}

// Start is an order to start one task.
type Start struct {
	Task    string
	Run     int
	Payload string
	// Deadline is when the lease expires, on the worker's clock.
	Deadline time.Duration
	Token    int64
	// Checkpoint is the checkpoint to resume from, or empty.
	Checkpoint string
}

// Stop is an order to stop one run of a task; the worker must not start that run later, either.
type Stop struct {
	Task  string
	Run   int
	Token int64
}

// Poll renews the lease of all tasks on a worker and lists the tasks that run or have exited there.
type Poll struct {
	Token int64
	// Acknowledged is the number of the last exit that the worker need not list again.
	Acknowledged int64
	// Deadline is when the lease expires, on the worker's clock; zero leaves the lease unchanged.
	Deadline time.Duration
	// Wait is how long the worker may wait for an exit before it responds.
	Wait time.Duration
}

// PollResponse is a worker's response to a poll.
type PollResponse struct {
	group.Listing
	// Clock is the reading of the worker's own clock when it responded.
	Clock time.Duration
}

// Client calls workers.
//
// A RefusedError means that the worker did nothing. A LostError means that the call may have taken effect, or may still do
// so, unless its field Unsent is set.
type Client interface {
	Start(ctx context.Context, to Target, start Start) error
	Stop(ctx context.Context, to Target, stop Stop) error
	Poll(ctx context.Context, to Target, poll Poll) (PollResponse, error)
}

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Refusal -linecomment -transform=title-lower

// Refusal is the reason why a worker refused a call.
type Refusal int

// The reasons for a refusal; their names appear in logs.
const (
	// OldToken means that the worker has seen a higher fencing token.
	OldToken Refusal = iota
	// OldRun means that this run or a later one has been stopped or has exited on the worker.
	OldRun
	// PastDeadline means that the lease in the call had expired when the call arrived.
	PastDeadline
	// NoRoom means that the worker's free capacity is too small for the task.
	NoRoom
	// Unhealthy means that the worker accepts no work at the moment.
	Unhealthy
	// Restarted means that another incarnation than the target has taken its address, maybe under another ID, so the target
	// has ended with all its tasks.
	Restarted // otherLife
	// Invalid means that the worker rejected the call as malformed, or gave a reason that is not known here.
	Invalid
)

// RefusedError means that the worker refused the call and did nothing.
type RefusedError struct {
	Worker  string
	Refusal Refusal
}

// Error names the worker and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s refused the call: %s", e.Worker, e.Refusal)
}

// LostError means that no complete response came, so the call may have taken effect.
type LostError struct {
	Worker string
	Cause  error
	// Unsent means that no part of the call was sent, so it certainly had no effect.
	Unsent bool
}

// Error names the worker and the cause.
func (e *LostError) Error() string {
	return fmt.Sprintf("no response from worker %s: %v", e.Worker, e.Cause)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }
