package ledger

import (
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// Record is the durable record of a job.
type Record struct {
	queue.Spec
	Submitted time.Time `json:"submitted"`
	// DataCentre is the data centre that holds the job; it is empty while any data centre may take it.
	DataCentre string        `json:"dataCentre,omitempty"`
	Phase      queue.Phase   `json:"phase"`
	Attempt    int           `json:"attempt,omitempty"`
	Progress   span.Duration `json:"progress"`
	Workers    []string      `json:"workers,omitempty"`
	Started    time.Time     `json:"started,omitzero"`
	Outcome    queue.Outcome `json:"outcome"`
	Result     string        `json:"result,omitempty"`
	Why        string        `json:"why,omitempty"`
	Ended      time.Time     `json:"ended,omitzero"`
	// Held is true until an operator admits the job.
	Held bool `json:"held,omitempty"`
	// CancelRequested is true once the job has been cancelled.
	CancelRequested bool `json:"cancelAsked,omitempty"`
}

// Open reports whether the job has not ended.
func (r *Record) Open() bool { return r.Phase != queue.Ended }

// End sets the outcome and the end of the job; it does nothing if the job has ended already.
func (r *Record) End(outcome queue.Outcome, why, result string, now time.Time) {
	if !r.Open() {
		return
	}
	r.Phase, r.Outcome, r.Why, r.Result, r.Ended = queue.Ended, outcome, why, result, now
	r.Workers = nil
}

// ExistsError reports that the ledger has a job of this name already.
type ExistsError struct{ Job string }

// Error names the job.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("job %q exists already; choose another name", e.Job)
}

// MissingError reports that the ledger has no job of this name.
type MissingError struct{ Job string }

// Error names the job.
func (e *MissingError) Error() string { return fmt.Sprintf("there is no job %q", e.Job) }
