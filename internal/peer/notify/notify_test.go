package notify

import (
	"context"
	"testing"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"gotest.tools/v3/assert"
)

// fakeHandler applies jobs if it is the owner.
type fakeHandler struct {
	isOwner bool
	jobs    []string
}

func (h *fakeHandler) Accepted(_ context.Context, job *Job) (*Reply, error) {
	if h.isOwner {
		h.jobs = append(h.jobs, job.ID)
	}
	return &Reply{Taken: h.isOwner}, nil
}

func TestOwnerHandlesItsOwnNotification(t *testing.T) {
	handler := &fakeHandler{isOwner: true}
	notifier := New(handler, func() string { return "unused" }, nil, event.Discard(), meter.New(t.Name()))
	assert.Equal(t, notifier.deliver(t.Context(), &Job{ID: "a"}), "here")
	assert.DeepEqual(t, handler.jobs, []string{"a"})
}

func TestNothingIsSentWhileTheOwnerIsUnknown(t *testing.T) {
	notifier := New(&fakeHandler{}, func() string { return "" }, nil, event.Discard(), meter.New(t.Name()))
	assert.Equal(t, notifier.deliver(t.Context(), &Job{ID: "a"}), "nobody")
}

// Accepting jobs must not block while the owner is unreachable and callers submit hundreds of jobs.
func TestFullQueueDropsNotificationsWithoutBlocking(t *testing.T) {
	notifier := New(&fakeHandler{}, func() string { return "" }, nil, event.Discard(), meter.New(t.Name()))
	for range 2 * maxQueued {
		notifier.Notify(&Job{ID: "a"})
	}
	assert.Equal(t, len(notifier.queue), maxQueued)
}
