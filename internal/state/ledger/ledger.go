package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/table"
)

const (
	// Prefix is the key prefix of the shards in the key-value store.
	Prefix = "deck/ledger/"
	// ShardCount is the number of stored values that the records are spread over.
	ShardCount = 16
	// endedRetention is how long the record of an ended job is kept.
	endedRetention = 24 * time.Hour
)

// Ledger is one instance's copy of all job records, with the operations on them.
type Ledger struct {
	*table.Table[Record]
	now func() time.Time
}

// New returns a ledger whose commit loops run until Close; observe is called with the size of each group commit.
func New(client *store.Client, now func() time.Time, observe func(operations int)) *Ledger {
	cfg := table.Config[Record]{Prefix: Prefix, Shards: ShardCount, Class: store.Jobs, Expired: expired, Observe: observe}
	return &Ledger{Table: table.New(cfg, client, now), now: now}
}

func expired(r Record, now time.Time) bool {
	return r.Phase == queue.Ended && r.Ended.Before(now.Add(-endedRetention))
}

// Submit adds a new record; it returns an ExistsError if the job's name is in use.
func (l *Ledger) Submit(ctx context.Context, record Record) error {
	return l.Update(ctx, record.Job, func(r *Record, exists bool) error {
		if exists {
			return &ExistsError{Job: record.Job}
		}
		*r = record
		return nil
	})
}

// Cancel ends a job that no data centre holds; for any other it sets CancelRequested, on which the holding data
// centre stops it.
func (l *Ledger) Cancel(ctx context.Context, id string) error {
	return l.Update(ctx, id, func(r *Record, exists bool) error {
		if !exists {
			return &MissingError{Job: id}
		}
		if !r.Open() {
			return &EndedError{Job: id, Outcome: r.Outcome}
		}
		r.CancelRequested = true
		if r.DataCentre == "" {
			r.End(queue.Cancelled, "cancelled", "", l.now())
		}
		return nil
	})
}

// Admit releases a held job to the queue; it returns a MissingError or a NotHeldError if that is not possible.
func (l *Ledger) Admit(ctx context.Context, id string) error {
	return l.Update(ctx, id, func(r *Record, exists bool) error {
		if !exists {
			return &MissingError{Job: id}
		}
		if !r.Held {
			return &NotHeldError{Job: id}
		}
		r.Held = false
		return nil
	})
}

// EndedError reports that a job has ended already.
type EndedError struct {
	Job     string
	Outcome queue.Outcome
}

// Error names the job and its outcome.
func (e *EndedError) Error() string {
	return fmt.Sprintf("job %q has ended already: %s", e.Job, e.Outcome)
}

// NotHeldError reports that a job is not held for admission.
type NotHeldError struct{ Job string }

// Error names the job.
func (e *NotHeldError) Error() string {
	return fmt.Sprintf("job %q is not held, so there is nothing to admit", e.Job)
}
