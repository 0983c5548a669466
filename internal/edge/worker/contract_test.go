package worker_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"gotest.tools/v3/assert"
)

// forEachLink runs a test against the in-memory fake and against the same fake over HTTP.
func forEachLink(t *testing.T, test func(t *testing.T, at *time.Time, link worker.Link)) {
	t.Run("memory", func(t *testing.T) {
		at := time.Unix(1000, 0)
		test(t, &at, fake.NewWorkers(func() time.Time { return at }))
	})
	t.Run("http", func(t *testing.T) {
		at := time.Unix(1000, 0)
		server, err := fake.ServeWorkers("127.0.0.1:0", "secret", fake.NewWorkers(func() time.Time { return at }))
		assert.NilError(t, err)
		t.Cleanup(func() { assert.NilError(t, server.Close()) })
		open, err := worker.Drivers.Lookup("http")
		assert.NilError(t, err)
		test(t, &at, open(server.URL()+"/workers/{worker}", "secret"))
	})
}

func TestWorkerContract(t *testing.T) {
	forEachLink(t, func(t *testing.T, at *time.Time, link worker.Link) {
		id := worker.TaskID{Job: "j", Attempt: 1}
		task := worker.Task{TaskID: id, Spec: queue.Spec{Job: "j", Payload: "10s", CheckpointEvery: span.Of(time.Second)}}
		sync := func(r worker.Request) worker.Response {
			r.Worker, r.Lease = "r-1/0", span.Of(5*time.Second)
			if r.Epoch == 0 {
				r.Epoch = 7
			}
			response, err := link.Sync(context.Background(), r)
			assert.NilError(t, err)
			return response
		}
		start := worker.Request{Reserve: []worker.Task{task}, Start: []worker.TaskID{id}}
		assert.Equal(t, sync(start).Tasks[0].Phase, worker.Running)
		assert.Equal(t, len(sync(start).Tasks), 1, "orders are idempotent")

		_, err := link.Sync(context.Background(), worker.Request{Worker: "r-1/0", Epoch: 6})
		var stale *worker.StaleError
		assert.Equal(t, errors.As(err, &stale), true, "a lower epoch is refused")

		*at = at.Add(4 * time.Second)
		assert.Equal(t, sync(worker.Request{}).Tasks[0].Phase, worker.Running, "the call has renewed the lease")
		*at = at.Add(5*time.Second + time.Millisecond)
		lapsed := sync(worker.Request{}).Tasks[0]
		assert.Equal(t, lapsed.Phase, worker.Stopped, "the lease lapsed")
		assert.Equal(t, lapsed.Progress.Duration, 9*time.Second, "the last periodic checkpoint is kept")

		assert.Equal(t, len(sync(worker.Request{}).Tasks), 1, "reports are kept until acknowledged")
		assert.Equal(t, len(sync(worker.Request{Ack: []worker.TaskID{id}}).Tasks), 0)
		assert.Equal(t, len(sync(start).Tasks), 0, "an acknowledged task is never run again")

		late := worker.TaskID{Job: "late", Attempt: 1}
		sync(worker.Request{Stop: []worker.StopOrder{{TaskID: late}}})
		overtaken := worker.Request{Reserve: []worker.Task{{TaskID: late}}, Start: []worker.TaskID{late}}
		assert.Equal(t, len(sync(overtaken).Tasks), 0, "a stop that overtakes the start wins")

		idle := worker.TaskID{Job: "idle", Attempt: 1}
		sync(worker.Request{Reserve: []worker.Task{{TaskID: idle}}})
		*at = at.Add(4 * time.Second)
		sync(worker.Request{})
		*at = at.Add(2 * time.Second)
		response := sync(worker.Request{Start: []worker.TaskID{idle}})
		assert.Equal(t, response.Tasks[0].Phase, worker.Stopped, "a reservation lapses")
		assert.Equal(t, response.Tasks[0].Started.IsZero(), true)
	})
}
