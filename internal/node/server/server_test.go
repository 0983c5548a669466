package server_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/server"
	"github.com/lentildeck/lentildeck/internal/node/term"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const job = "5c0e7a21d94b36f8"

// fixedSite provides a configuration and a list with one worker.
type fixedSite struct{ store *fake.Transactor }

func (o fixedSite) Read(ctx context.Context) (policy.Snapshot, error) {
	item, err := o.store.Item(ctx, "config")
	p := &policy.Policy{Version: 1, Queues: []policy.Queue{{
		Queue: group.Queue{Name: "plan", Service: "main", Priority: 1, MaxAttempts: 2, Stretch: 3}, Host: "host", Prefix: "/plan/", Public: true,
	}}}
	p.Prepare()
	return policy.Snapshot{Policy: p, Guard: store.Expectation{Key: "config", Revision: item.Revision}}, err
}

func (fixedSite) Workers(context.Context) ([]group.WorkerInfo, error) {
	return []group.WorkerInfo{{ID: "w1", Service: "main", Address: "w1", DataCentre: "dc", Rack: "r", Capacity: group.Resources{MilliCores: 8000, Accelerators: 8}, Incarnation: 1}}, nil
}

func TestNodeStartsServesAndStops(t *testing.T) {
	kv, agents := fake.NewTransactor(), fake.NewAgents("w1")
	kv.Put("config", nil)
	out := fixedSite{store: kv}
	serving := make(chan struct{})
	node := server.New(server.Options{
		Instance: t.Name(), Store: kv, Agent: agents, Lister: out, Source: out, Log: event.Discard(), KeyAge: 10 * time.Second,
		Limits: term.Limits{MaxLease: 6 * time.Second, StopTimeout: time.Second, PolicyAge: 10 * time.Second, ListAge: 10 * time.Second, Retention: time.Minute, RemoteFactor: 3},
		Serve: func(_ *server.Server, stop <-chan struct{}) error {
			close(serving)
			<-stop
			return nil
		},
		Check: func() error { return nil },
	})
	signals := make(chan os.Signal, 2)
	ended := make(chan error, 1)
	go func() { ended <- node.Run(signals) }()
	<-serving
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if node.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithDelay(5*time.Millisecond))
	caller := admit.Caller{Host: "host", Path: "/plan/" + job}
	assert.Equal(t, node.Jobs.Submit(t.Context(), caller, &work.Spec{Steps: []work.Step{{Count: 1, MilliCores: 1000, Accelerators: 1}}}).Result, admit.OK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if agents.ExitTask(job+".0.0.0", group.Done) {
			return poll.Success()
		}
		return poll.Continue("the task does not run")
	}, poll.WithDelay(5*time.Millisecond))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if node.Jobs.State(t.Context(), caller).Phase == work.Completed {
			return poll.Success()
		}
		return poll.Continue("not completed")
	}, poll.WithDelay(5*time.Millisecond))
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	assert.NilError(t, <-ended)
	assert.Assert(t, node.Stopping() && !node.Ready())
	owner, err := kv.Item(t.Context(), work.OwnerKey)
	assert.NilError(t, err)
	assert.Equal(t, owner.Revision, int64(0), "the owner's lease was not revoked")
}
