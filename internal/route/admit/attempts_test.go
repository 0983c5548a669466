package admit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// relayFunc is a relay to peers that reply as the function does.
type relayFunc func() (*admit.Reply, bool)

func (relayFunc) Isolated() bool { return false }

func (r relayFunc) Forward(context.Context, *admit.Call) (*admit.Reply, bool) { return r() }

// withdrawKey takes the caller's key away, and lets the instance read that.
func (f *fixture) withdrawKey(t *testing.T) {
	t.Helper()
	f.source.keys = nil
	f.store.Put(configKey, nil)
	assert.NilError(t, f.service.Policy.Refresh(t.Context()))
}

// loseCommits gives all commits the outcome until the relay is asked, which first calls then and replies as given.
func (f *fixture) loseCommits(outcome fake.CallOutcome, reply *admit.Reply, mayHaveRun bool, then func()) {
	commits := 0
	f.failCommits(&commits, outcome)
	f.service.Relay = relayFunc(func() (*admit.Reply, bool) {
		f.store.SetOutcomes(nil)
		then()
		return reply, mayHaveRun
	})
}

// inBubble plays the test with virtual time, as calls wait for the store before they ask a peer.
func inBubble(t *testing.T, name string, play func(*testing.T, *fixture)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { play(t, newFixture(t)) })
	})
}

func callerContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Guards against a job that runs though it was refused (REFUSED): its commit has no response, and a peer refuses the call.
func TestRefusalOfAPeerIsNotFinalWhileTheJobMayExist(t *testing.T) {
	for _, refusal := range []admit.Result{admit.BadKey, admit.NoQueue, admit.BadRequest} {
		inBubble(t, refusal.String(), func(t *testing.T, f *fixture) {
			f.loseCommits(fake.ResponseLost, &admit.Reply{Result: refusal}, false, func() { f.withdrawKey(t) })
			reply := f.service.Submit(callerContext(t), caller(), spec())
			assert.Equal(t, reply.Result, admit.OK, reply.Why)
			assert.Assert(t, f.jobCreated(t))
		})
	}
}

// Guards against a job that runs though it was refused (REFUSED): the commit is executed after the refusal.
func TestRefusalIsFinalOnceNoAttemptCanTakeEffect(t *testing.T) {
	inBubble(t, "submit", func(t *testing.T, f *fixture) {
		f.loseCommits(fake.RequestLost, &admit.Reply{Result: admit.BadKey}, false, func() { f.withdrawKey(t) })
		assert.Equal(t, f.service.Submit(callerContext(t), caller(), spec()).Result, admit.BadKey)
		assert.Equal(t, f.store.DeliverLost(), 0)
		assert.Assert(t, !f.jobCreated(t))
	})
	inBubble(t, "cancel", func(t *testing.T, f *fixture) {
		f.loseCommits(fake.RequestLost, &admit.Reply{Result: admit.BadKey}, false, func() { f.withdrawKey(t) })
		assert.Equal(t, f.service.Cancel(callerContext(t), caller()).Result, admit.BadKey)
		assert.Equal(t, f.store.DeliverLost(), 0)
	})
}

// Guards against a cancel that takes effect though it was refused: its commit has no response, and a peer refuses the call.
func TestRefusalOfAPeerIsNotFinalWhileTheCancelMayBeRecorded(t *testing.T) {
	for _, refusal := range []admit.Result{admit.BadKey, admit.NoQueue, admit.Gone} {
		inBubble(t, refusal.String(), func(t *testing.T, f *fixture) {
			f.loseCommits(fake.ResponseLost, &admit.Reply{Result: refusal}, false, func() { f.withdrawKey(t) })
			assert.Equal(t, f.service.Cancel(callerContext(t), caller()).Result, admit.OK)
			item, err := f.store.Item(t.Context(), work.CancelKey(job))
			assert.NilError(t, err)
			assert.Assert(t, item.Revision != 0)
		})
	}
}

// Guards against a job that runs though it was refused (REFUSED): one peer refuses the call, and another one, which does not reply,
// creates the job later. The caller is told at once that the outcome is unknown.
func TestRefusalOfOnePeerIsNotFinalWhileAnotherMayHaveRunTheCall(t *testing.T) {
	inBubble(t, "submit", func(t *testing.T, f *fixture) {
		f.loseCommits(fake.Down, &admit.Reply{Result: admit.BadKey}, true, func() { f.withdrawKey(t) })
		started := time.Now()
		assert.Equal(t, f.service.Submit(callerContext(t), caller(), spec()).Result, admit.Unknown)
		assert.Assert(t, time.Since(started) < time.Second)
	})
	inBubble(t, "cancel", func(t *testing.T, f *fixture) {
		f.loseCommits(fake.Down, &admit.Reply{Result: admit.BadKey}, true, func() { f.withdrawKey(t) })
		started := time.Now()
		assert.Equal(t, f.service.Cancel(callerContext(t), caller()).Result, admit.Unknown)
		assert.Assert(t, time.Since(started) < time.Second)
	})
}

// Guards against a caller that waits for a job that exists: the instance itself reads that the key was taken away.
func TestJobThatMayExistIsReadBackOnceItsKeyIsGone(t *testing.T) {
	inBubble(t, "submit", func(t *testing.T, f *fixture) {
		commits := 0
		f.failCommits(&commits, fake.ResponseLost)
		f.service.Store = changeAfterCommit{Transactor: f.store, change: func() { f.withdrawKey(t) }}
		started := time.Now()
		assert.Equal(t, f.service.Submit(callerContext(t), caller(), spec()).Result, admit.OK)
		assert.Assert(t, time.Since(started) < 500*time.Millisecond)
	})
}

// Guards against an answer that says less than is known: a refusal is final while no attempt was made.
func TestRefusalOfAPeerIsFinalWhileNothingWasTried(t *testing.T) {
	inBubble(t, "submit", func(t *testing.T, f *fixture) {
		f.loseCommits(fake.Down, &admit.Reply{Result: admit.BadKey}, false, func() {})
		assert.Equal(t, f.service.Submit(callerContext(t), caller(), spec()).Result, admit.BadKey)
	})
}
