package term

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// refusingAgent refuses all calls for the same reason.
type refusingAgent agent.Refusal

func (a refusingAgent) Start(_ context.Context, to agent.Target, _ agent.Start) error {
	return a.refuse(to)
}

func (a refusingAgent) Stop(_ context.Context, to agent.Target, _ agent.Stop) error {
	return a.refuse(to)
}

func (a refusingAgent) Poll(_ context.Context, to agent.Target, _ agent.Poll) (agent.PollResponse, error) {
	return agent.PollResponse{}, a.refuse(to)
}

func (a refusingAgent) refuse(to agent.Target) error {
	return &agent.RefusedError{Worker: to.Worker, Refusal: agent.Refusal(a)}
}

// termWithInheritedRun returns a term whose engine has one worker with a run of an earlier owner, and whose calls are all
// refused for the reason.
func termWithInheritedRun(t *testing.T, refusal agent.Refusal) (*term, *group.Worker) {
	t.Helper()
	now := time.Unix(1000, 0)
	e := &Elector{
		Agent: refusingAgent(refusal), Log: event.Discard(), Meter: meter.New(t.Name()), Now: func() time.Time { return now },
		Limits: Limits{MaxLease: 10 * time.Second, StopTimeout: time.Second, Retention: time.Minute, RemoteFactor: 3},
	}
	tm := newTerm(e, 1, 7, now)
	tm.cancel = func() {}
	tm.engine.SetWorkers([]group.WorkerInfo{{ID: "w", Address: "10.0.0.1:1", Service: "main", Incarnation: 1}}, now)
	tm.sessions["w"] = &session{term: tm, id: "w", orderSlots: make(chan struct{}, 1), seenAt: now}
	record := &work.Record{Phase: work.Running, Groups: []work.GroupRecord{{Run: 1, Workers: []string{"w"}}}}
	tm.engine.Load(&work.Spec{Job: "0000000000000001", Queue: "plan", Steps: []work.Step{{Count: 1}}}, record, 0, now, now)
	w := tm.engine.Worker("w")
	assert.Assert(t, w.Busy())
	return tm, w
}

// ended returns a context that has ended, so that nothing waits before it tries again.
func ended(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	return ctx
}

// Guards against tasks that wait for a lease of ten seconds although their worker has crashed: its machine is back under another
// ID at the same address and refuses calls to the crashed one.
func TestRunsEndOnceAnotherWorkerAnswersAtTheAddressOfTheirs(t *testing.T) {
	tm, w := termWithInheritedRun(t, agent.Restarted)
	tm.sessions["w"].sendPoll(ended(t), targetOf(w), agent.Poll{})
	assert.Assert(t, !w.Busy())
}

// The same by a stop, which may be the first call that reaches the other worker.
func TestRefusedStopShowsThatAnotherWorkerHasTheAddress(t *testing.T) {
	tm, w := termWithInheritedRun(t, agent.Restarted)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	tm.sendStop(ctx, group.StopOrder{Worker: "w", Task: "0000000000000001.0.0.0", Run: 1})
	assert.Assert(t, !w.Busy())
}

// Guards against two runs of one task: refusals for other reasons say nothing about what runs on the worker.
func TestRunsStayAliveAfterOtherRefusals(t *testing.T) {
	for _, refusal := range []agent.Refusal{agent.OldToken, agent.OldRun, agent.PastDeadline, agent.NoRoom, agent.Unhealthy, agent.Invalid} {
		tm, w := termWithInheritedRun(t, refusal)
		tm.sessions["w"].sendPoll(ended(t), targetOf(w), agent.Poll{})
		assert.Assert(t, w.Busy(), refusal)
	}
}

// Guards against two runs of one task: the worker has started again since the refused call was built, and runs on.
func TestRefusalToAnEarlierIncarnationEndsNothing(t *testing.T) {
	tm, w := termWithInheritedRun(t, agent.Restarted)
	to := targetOf(w)
	to.Incarnation--
	tm.sessions["w"].sendPoll(ended(t), to, agent.Poll{})
	assert.Assert(t, w.Busy())
}
