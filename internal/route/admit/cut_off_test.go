package admit_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"gotest.tools/v3/assert"
)

// newCutOffFixture returns an instance that knows that it can't reach the store, and the number of calls that it makes there.
func newCutOffFixture(t *testing.T) (f *fixture, storeCalls *int) {
	t.Helper()
	f, storeCalls = newFixture(t), new(int)
	f.source.down = true
	assert.Assert(t, f.service.Policy.Refresh(t.Context()) != nil)
	f.store.SetOutcomes(func(string) fake.CallOutcome {
		*storeCalls++
		return fake.Down
	})
	return f, storeCalls
}

// While the store refuses a third of the instances for seconds, callers keep polling these for the state of their jobs. An
// instance that knows that it is cut off must not spend firstTryTimeout on the store before it asks a peer.
func TestInstanceThatKnowsItIsCutOffAsksAPeerFirst(t *testing.T) {
	f, calls := newCutOffFixture(t)
	relay := &fakeRelay{reply: &admit.Reply{Result: admit.OK}, tried: true}
	f.service.Relay = relay
	assert.Equal(t, f.service.State(shortContext(t), caller()).Result, admit.OK)
	assert.Equal(t, f.service.Cancel(shortContext(t), caller()).Result, admit.OK)
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	assert.Equal(t, *calls, 0, "calls to the store")
	assert.Equal(t, relay.calls, 3)
	f.source.down = false
	f.store.SetOutcomes(nil)
	assert.NilError(t, f.service.Policy.Refresh(t.Context()))
	assert.Equal(t, f.service.State(shortContext(t), caller()).Result, admit.Gone)
	assert.Equal(t, relay.calls, 3)
}

// A data centre is cut off for seconds, and callers ask its instances. Each must be sent away at once instead of being held until
// its deadline, as instances elsewhere can answer.
func TestIsolatedInstanceRefusesAtOnce(t *testing.T) {
	f, calls := newCutOffFixture(t)
	relay := &fakeRelay{isolated: true}
	f.service.Relay = relay
	for _, reply := range []admit.Reply{f.service.State(t.Context(), caller()), f.service.Submit(t.Context(), caller(), spec()), f.service.Cancel(t.Context(), caller())} {
		assert.Equal(t, reply.Result, admit.Refused)
		assert.Equal(t, reply.RetryAfter, time.Second)
	}
	assert.Equal(t, relay.calls, 1, "peers are not asked again")
	assert.Equal(t, *calls, 0, "calls to the store")
}

// A peer may have executed the request before the data centre was cut off.
func TestIsolatedInstanceDoesNotRefuseWhatAPeerMayHaveDone(t *testing.T) {
	f, _ := newCutOffFixture(t)
	f.service.Relay = &fakeRelay{isolated: true, tried: true}
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.Unknown)
	f.service.Relay = &fakeRelay{isolated: true, tried: true}
	assert.Equal(t, f.service.Cancel(shortContext(t), caller()).Result, admit.Unknown)
}
