package admit_test

import (
	"context"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/route/admit"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// fakeEnds tells of an end from the question after the given number on, and counts the questions.
type fakeEnds struct{ asked, unknown int }

func (e *fakeEnds) End(context.Context, string) (work.Phase, bool) {
	e.asked++
	return work.Completed, e.asked > e.unknown
}

// Guards against callers that learn of an end only once the store is back, although the owner knows it and other instances keep it: at
// once, or while they wait.
func TestEndIsShownWhileTheStoreIsAway(t *testing.T) {
	for name, unknown := range map[string]int{"known": 0, "known later": 2} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			source := &fakeEnds{unknown: unknown}
			f.service.Ends = source
			f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			reply := f.service.State(ctx, caller())
			assert.Equal(t, reply.Result, admit.OK, reply.Why)
			assert.Equal(t, reply.Phase, work.Completed)
			assert.Equal(t, source.asked, unknown+1)
		})
	}
}

// Guards against an end that is shown to a caller without a valid key, or on a configuration that may hold withdrawn keys.
func TestEndIsShownOnlyForAValidKey(t *testing.T) {
	f := newFixture(t)
	source := &fakeEnds{}
	f.service.Ends = source
	f.store.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
	wrong := caller()
	wrong.Key = "wrong"
	assert.Equal(t, f.service.State(shortContext(t), wrong).Result, admit.BadKey)
	f.now = f.now.Add(time.Minute)
	assert.Equal(t, f.service.State(shortContext(t), caller()).Result, admit.Refused)
	assert.Equal(t, source.asked, 0)
}

// Guards against the owner's word where the record can be read: the record decides.
func TestRecordGoesBeforeTheOwnersWord(t *testing.T) {
	f := newFixture(t)
	source := &fakeEnds{}
	f.service.Ends = source
	assert.Equal(t, f.service.Submit(shortContext(t), caller(), spec()).Result, admit.OK)
	reply := f.service.State(shortContext(t), caller())
	assert.Equal(t, reply.Phase, work.Queued)
	assert.Equal(t, source.asked, 0)
}
