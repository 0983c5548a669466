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

// Phase is the state of a task on its worker.
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

// Ended reports whether the task has ended and holds no capacity.
func (p Phase) Ended() bool { return p == Finished || p == Failed || p == Stopped }

// TaskID identifies one member of one attempt to run a job.
type TaskID struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Member  int    `json:"member"`
}

// String returns the ID as job#attempt/member.
func (t TaskID) String() string { return fmt.Sprintf("%s#%d/%d", t.Job, t.Attempt, t.Member) }

// Task is a task for a worker to run; it carries all that a new owner needs to adopt the task.
type Task struct {
	TaskID
	Spec      queue.Spec    `json:"spec,omitzero"`
	Submitted time.Time     `json:"submitted,omitzero"`
	Progress  span.Duration `json:"progress,omitzero"`
}

// StopOrder orders a task to be stopped, with a last checkpoint if Checkpoint is true.
type StopOrder struct {
	TaskID
	Checkpoint bool `json:"checkpoint"`
}

// Request is one call to a worker; every order in it is idempotent.
type Request struct {
	Worker string `json:"worker"`
	// Epoch is the owner's fencing token; a worker refuses an epoch lower than the highest that it has seen.
	Epoch int64 `json:"epoch"`
	// Lease is how long the worker's tasks may continue without another call.
	Lease   span.Duration `json:"lease"`
	Reserve []Task        `json:"reserve,omitempty"`
	Start   []TaskID      `json:"start,omitempty"`
	Stop    []StopOrder   `json:"stop,omitempty"`
	Ack     []TaskID      `json:"ack,omitempty"`
	// OmitSpecs omits the tasks' specs from the response, as the owner has them already.
	OmitSpecs bool `json:"brief,omitempty"`
}

// Status is a worker's report on one task.
type Status struct {
	Task
	Phase   Phase     `json:"phase"`
	Started time.Time `json:"started,omitzero"`
	Result  string    `json:"result,omitempty"`
	Denied  string    `json:"denied,omitempty"`
}

// Response is a worker's response; Epoch is the highest that it has seen.
type Response struct {
	Epoch int64    `json:"epoch"`
	Tasks []Status `json:"tasks"`
}

// Link sends requests to workers.
type Link interface {
	// Sync sends the orders and returns the tasks that the worker holds, or a StaleError if the epoch is too low.
	Sync(ctx context.Context, request Request) (Response, error)
}

// Opener returns a link for a token and an endpoint, a URL that contains {worker} in place of the worker's name.
type Opener func(endpoint, token string) Link

// Drivers are the registered worker protocols by name.
var Drivers = plug.New[Opener]("worker driver")

// StaleError reports that the worker has seen a higher epoch, so another instance is the owner now.
type StaleError struct {
	Worker string
	Epoch  int64
}

// Error names the worker and the highest epoch that it has seen.
func (e *StaleError) Error() string {
	return fmt.Sprintf("worker %s: refused, as it has seen epoch %d", e.Worker, e.Epoch)
}

// UnreachableError reports that no complete response came from the worker; the orders may have been carried out.
type UnreachableError struct {
	Worker string
	Cause  string
}

// Error names the worker and the cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s: no answer: %s", e.Worker, e.Cause)
}
