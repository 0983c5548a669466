package sets_test

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/sets"
	"gotest.tools/v3/assert"
)

// cutOff starts one task and returns the worker that runs it, which then answers nothing; its lease ends after six seconds.
func cutOff(t *testing.T) (*site, string) {
	t.Helper()
	s := newSite(t, 2, 1)
	s.submit("long", planQueue, "beta", gang(1, 8))
	s.step()
	// By then no earlier owner's lease counts any more.
	s.pass(15 * time.Second)
	for id := range s.workersOf("long") {
		s.silent[id] = true
		return s, id
	}
	t.Fatal("the task runs nowhere")
	return nil, ""
}

func (s *site) lapses() int {
	n := 0
	for _, note := range s.notes {
		if note.What == sets.WorkerLapsed {
			n++
		}
	}
	return n
}

// The pattern: a data centre is cut off for seven seconds while an instance in it prolongs the leases.
func TestTaskOfACutOffWorkerIsNotStartedElsewhereWhileItsLeaseMayBeProlonged(t *testing.T) {
	s, id := cutOff(t)
	s.engine.MayProlong(id, "helper", s.now.Add(8*time.Second))
	s.pass(7 * time.Second)
	assert.Equal(t, s.lapses(), 0)
	s.pass(2 * time.Second)
	assert.Equal(t, s.lapses(), 1)
}

func TestTaskOfADeadWorkerIsGivenUpOnceNobodyProlongsItsLease(t *testing.T) {
	s, id := cutOff(t)
	s.engine.MayProlong(id, "helper", s.now.Add(8*time.Second))
	s.engine.ProlongsNoLonger(id, "helper", time.Time{})
	s.pass(6400 * time.Millisecond)
	assert.Equal(t, s.lapses(), 1)
}

func TestWhatWasProlongedLivesOn(t *testing.T) {
	s, id := cutOff(t)
	s.engine.MayProlong(id, "helper", s.now.Add(8*time.Second))
	s.engine.ProlongsNoLonger(id, "helper", s.now.Add(7*time.Second))
	s.pass(6800 * time.Millisecond)
	assert.Equal(t, s.lapses(), 0)
}

// The pattern: the first helper falls silent, a second is chosen and says that it has prolonged nothing.
func TestOneOfTwoHelpersCannotSpeakForBoth(t *testing.T) {
	s, id := cutOff(t)
	s.engine.MayProlong(id, "first", s.now.Add(8*time.Second))
	s.engine.MayProlong(id, "second", s.now.Add(9*time.Second))
	s.engine.ProlongsNoLonger(id, "second", time.Time{})
	s.pass(7800 * time.Millisecond)
	assert.Equal(t, s.lapses(), 0, "the first may still act")
	s.pass(400 * time.Millisecond)
	assert.Equal(t, s.lapses(), 1, "neither can")
}
