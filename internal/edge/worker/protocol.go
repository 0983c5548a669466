package worker

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/plug"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Phase -json -text -transform=title-lower

// Phase is where a task is on its worker.
type Phase int

// The phases; a worker reports Finished, Failed and Stopped until they are acknowledged.
const (
	Reserved Phase = iota
	Running
	Checkpointing
	Finished
	Failed
	Stopped
)

// Over reports whether the task holds no capacity any more.
func (p Phase) Over() bool { return p == Finished || p == Failed || p == Stopped }

// TaskID names one member of one attempt.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Member  int    `json:"member"`
}

// String returns the ID as job#attempt/member.
func (t TaskID) String() string { return fmt.Sprintf("%s#%d/%d", t.Job, t.Attempt, t.Member) }

// Task is what a worker is asked to run; it carries all that a new owner needs to know about it.
type Task struct {
	TaskID
	Spec      queue.Spec    `json:"spec,omitzero"`
	Submitted time.Time     `json:"submitted,omitzero"`
	Progress  span.Duration `json:"progress,omitzero"`
}

// StopOrder asks for a task to be stopped.
type StopOrder struct {
	TaskID
	Checkpoint bool `json:"checkpoint"`
}

// Request is one call to a worker; every order in it is idempotent.
type Request struct {
	Worker string `json:"worker"`
	// Epoch is the owner's; a worker refuses an epoch lower than the highest it has seen.
	Epoch int64 `json:"epoch"`
	// Lease is how long the worker's tasks may run on without another call.
	Lease   span.Duration `json:"lease"`
	Reserve []Task        `json:"reserve,omitempty"`
	Start   []TaskID      `json:"start,omitempty"`
	Stop    []StopOrder   `json:"stop,omitempty"`
	Ack     []TaskID      `json:"ack,omitempty"`
	// Brief leaves out of the answer what the owner knows already: the tasks' specs.
	Brief bool `json:"brief,omitempty"`
}

// Status is one task as the worker sees it.
type Status struct {
	Task
	Phase   Phase     `json:"phase"`
	Started time.Time `json:"started,omitzero"`
	Result  string    `json:"result,omitempty"`
	Denied  string    `json:"denied,omitempty"`
}

// Response is a worker's answer.
type Response struct {
	Epoch int64    `json:"epoch"`
	Tasks []Status `json:"tasks"`
}

// Link reaches workers.
type Link interface {
	// Sync delivers the orders and returns what the worker holds, or a StaleError if the epoch is too low.
	Sync(ctx context.Context, request Request) (Response, error)
}

// Opener makes a link for an endpoint, a URL with {worker} where the name goes, and a token.
type Opener func(endpoint, token string) Link

// Drivers are the registered protocols.
var Drivers = plug.New[Opener]("worker driver")

// StaleError says that a higher epoch decides for the worker now.
type StaleError struct {
	Worker string
	Epoch  int64
}

// Error names the worker and the epoch that it has seen.
func (e *StaleError) Error() string {
	return fmt.Sprintf("worker %s: refused, as it has seen epoch %d", e.Worker, e.Epoch)
}

// UnreachableError says that the worker gave no whole answer.
type UnreachableError struct {
	Worker string
	Cause  string
}

// Error names the worker and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %s", e.Worker, e.Cause)
}
