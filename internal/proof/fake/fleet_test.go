package fake_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"gotest.tools/v3/assert"
)

// onFleet runs the test with two workers that have room for one task each; a task runs for a second.
func onFleet(t *testing.T, test func(t *testing.T, f *fake.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		need := group.Resources{MilliCores: 1000}
		test(t, fake.NewFleet(fake.FleetConfig{
			Workers: 2, Capacity: need, MaxLease: 3 * time.Second, MaxStop: 100 * time.Millisecond, MaxListLag: time.Second,
			Task: func(string) fake.FleetTask { return fake.FleetTask{Need: need, Duration: time.Second} },
		}))
	})
}

func start(t *testing.T, f *fake.Fleet, worker, task string, run int) error {
	t.Helper()
	return f.Start(t.Context(), agent.Target{Worker: worker}, agent.Start{Task: task, Run: run, Deadline: time.Hour, Token: 1})
}

func poll(t *testing.T, f *fake.Fleet, worker string, acknowledged int64) agent.PollResponse {
	t.Helper()
	answer, err := f.Poll(t.Context(), agent.Target{Worker: worker}, agent.Poll{Token: 1, Acknowledged: acknowledged})
	assert.NilError(t, err)
	return answer
}

// rules returns the rules that were broken, in their order.
func rules(f *fake.Fleet) (broken []string) {
	for _, breach := range f.Breaches() {
		broken = append(broken, breach.Rule)
	}
	return broken
}

// Guards against a soak that sees no broken rule.
func TestFleetSeesTwoRunsOfOneTask(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fake.Fleet) {
		assert.NilError(t, start(t, f, "w0", "a", 1))
		assert.NilError(t, start(t, f, "w0", "a", 1), "a run that is there is no second run")
		assert.Equal(t, len(rules(f)), 0)
		assert.NilError(t, start(t, f, "w1", "a", 2))
		assert.DeepEqual(t, rules(f), []string{"TWICE"})
	})
}

// Guards against a soak that sees no broken rule.
func TestFleetSeesAStartOverTheCapacity(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fake.Fleet) {
		assert.NilError(t, start(t, f, "w0", "a", 1))
		assert.NilError(t, start(t, f, "w0", "b", 1))
		assert.DeepEqual(t, rules(f), []string{"LIMIT"})
	})
}

// Guards against a soak that sees no broken rule: a number of an earlier incarnation makes the next one forget its exit.
func TestFleetSeesAStartAfterAnAcknowledgedEnd(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fake.Fleet) {
		f.Restart("w0", time.Millisecond)
		time.Sleep(2 * time.Millisecond)
		assert.NilError(t, start(t, f, "w0", "a", 1))
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, len(poll(t, f, "w0", 5).Exits), 0)
		assert.NilError(t, start(t, f, "w1", "a", 2))
		assert.DeepEqual(t, rules(f), []string{"TWICE"})
	})
}

func TestFleetRefusesARunThatHasEndedUntilItsWorkerRestarts(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fake.Fleet) {
		assert.NilError(t, start(t, f, "w0", "a", 1))
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, poll(t, f, "w0", 0).Exits[0].Status, group.Done)
		assert.DeepEqual(t, start(t, f, "w0", "a", 1), &agent.RefusedError{Worker: "w0", Refusal: agent.OldRun})
		f.Restart("w0", time.Millisecond)
		time.Sleep(2 * time.Millisecond)
		assert.NilError(t, start(t, f, "w0", "a", 1))
	})
}

func TestFleetEndsAllWhenALeaseExpires(t *testing.T) {
	onFleet(t, func(t *testing.T, f *fake.Fleet) {
		clock := poll(t, f, "w0", 0).Clock
		assert.NilError(t, f.Start(t.Context(), agent.Target{Worker: "w0"}, agent.Start{Task: "a", Run: 1, Deadline: clock + 500*time.Millisecond, Token: 1}))
		time.Sleep(600 * time.Millisecond)
		answer := poll(t, f, "w0", 0)
		assert.Equal(t, len(answer.Running), 0)
		assert.Equal(t, answer.Exits[0].Status, group.Lapsed)
	})
}
