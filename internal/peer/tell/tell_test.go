package tell

import (
	"context"
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"gotest.tools/v3/assert"
)

// decider takes jobs in if it decides.
type decider struct {
	decides bool
	jobs    []string
}

func (d *decider) Accepted(_ context.Context, job *Job) (*Reply, error) {
	if d.decides {
		d.jobs = append(d.jobs, job.ID)
	}
	return &Reply{Taken: d.decides}, nil
}

func TestInstanceThatDecidesTellsItself(t *testing.T) {
	self := &decider{decides: true}
	teller := New(self, func() string { return "unused" }, nil, event.Discard(), meter.New(t.Name()))
	assert.Equal(t, teller.deliver(t.Context(), &Job{ID: "a"}), "here")
	assert.DeepEqual(t, self.jobs, []string{"a"})
}

func TestNobodyIsToldWhileTheOwnerIsNotKnown(t *testing.T) {
	teller := New(&decider{}, func() string { return "" }, nil, event.Discard(), meter.New(t.Name()))
	assert.Equal(t, teller.deliver(t.Context(), &Job{ID: "a"}), "nobody")
}

// The pattern: the owner can't be reached while callers hand in hundreds of jobs.
func TestTellNeverWaits(t *testing.T) {
	teller := New(&decider{}, func() string { return "" }, nil, event.Discard(), meter.New(t.Name()))
	for range 2 * waitingMost {
		teller.Tell(&Job{ID: "a"})
	}
	assert.Equal(t, len(teller.waiting), waitingMost)
}
