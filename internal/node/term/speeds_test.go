package term

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/proof/fake"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// knownSpeeds returns workers of which every fourth has the given speed and the others 1.
func knownSpeeds(count int, slow float64) []group.KnownSpeed {
	list := make([]group.KnownSpeed, count)
	for i := range list {
		list[i] = group.KnownSpeed{Worker: fmt.Sprintf("worker-%05d", i), Incarnation: 1_700_000_000_000, Speed: 1, Certainty: 0.9}
		if i%4 == 0 {
			list[i].Speed = slow
		}
	}
	return list
}

// Guards against a record that the store rejects, or that is slow to read: it has the slow workers of a large deployment.
func TestSpeedRecordKeepsTheUnusualSpeedsWithinItsLimit(t *testing.T) {
	record := newSpeedRecord(1, knownSpeeds(3000, 0.55), maxSpeedRecordBytes)
	data, err := record.Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxSpeedRecordBytes, "%d bytes", len(data))
	slow := 0
	for _, s := range record.Workers {
		if s.Speed == 55 {
			slow++
		}
	}
	assert.Equal(t, slow, 750)
}

// Guards against calls to the store that tell nothing: speeds of equal workers, and changes as small as the error of the samples.
func TestSpeedsAreWrittenOnlyIfTheyChangedMaterially(t *testing.T) {
	record := func(slow float64) map[string]work.RecordedSpeed {
		return newSpeedRecord(1, knownSpeeds(8, slow), maxSpeedRecordBytes).Workers
	}
	assert.Assert(t, !speedsDiffer(record(0.95), nil))
	assert.Assert(t, speedsDiffer(record(0.55), nil))
	assert.Assert(t, !speedsDiffer(record(0.6), record(0.55)))
	assert.Assert(t, speedsDiffer(record(1), record(0.55)))
}

// speedsTerm returns a term that owns a new store.
func speedsTerm(t *testing.T, s *fake.Transactor) *term {
	t.Helper()
	s.Put(work.OwnerKey, []byte("a"))
	owner, err := s.Item(t.Context(), work.OwnerKey)
	assert.NilError(t, err)
	e := &Elector{Instance: "a", Store: s, Log: event.Discard(), Now: time.Now, WallNow: time.Now, Limits: Limits{MaxLease: time.Second}}
	return newTerm(e, 1, owner.Revision, time.Now())
}

// Guards against an owner that overwrites the speeds of its successor.
func TestFormerOwnerDoesNotWriteSpeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewTransactor()
		former := speedsTerm(t, s)
		assert.Assert(t, former.writeSpeeds(t.Context(), newSpeedRecord(former.token, knownSpeeds(4, 0.55), maxSpeedRecordBytes)))
		next := speedsTerm(t, s)
		assert.Assert(t, !former.writeSpeeds(t.Context(), newSpeedRecord(former.token, knownSpeeds(4, 0.7), maxSpeedRecordBytes)))
		next.engine.SetWorkers([]group.WorkerInfo{{ID: "worker-00000", Incarnation: 1_700_000_000_000}, {ID: "worker-00001", Incarnation: 2}}, time.Now())
		next.readSpeeds(t.Context())
		known := next.engine.KnownSpeeds()
		assert.Equal(t, len(known), 1)
		assert.Assert(t, known[0].Speed > 0.54 && known[0].Speed < 0.56, "%f", known[0].Speed)
	})
}

// Guards against a term that a damaged record keeps from its work.
func TestUnreadableSpeedsCountAsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fake.NewTransactor()
		tm := speedsTerm(t, s)
		tm.engine.SetWorkers([]group.WorkerInfo{{ID: "w", Incarnation: 1}}, time.Now())
		for _, data := range []string{`{"workers":[]}`, `{"workers":{"w":{"i":1,"s":9000,"c":90}}}`, `{"workers":{"w":{"i":1,"s":55,"c":-1}}}`, "\x00"} {
			s.Put(work.SpeedsKey, []byte(data))
			tm.readSpeeds(t.Context())
			assert.Equal(t, len(tm.engine.KnownSpeeds()), 0, data)
		}
		s.SetOutcomes(func(string) fake.CallOutcome { return fake.Down })
		assert.Equal(t, len(tm.readSpeeds(t.Context())), 0)
	})
}
