package term

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// speedsInterval is the minimum time between two writes of the record of speeds.
	speedsInterval = 3 * time.Second
	// minSpeedChange is by how much, in percent of the average, a worker's speed must differ from the recorded one, or from 1 without
	// one, for the record to be written. Speeds of equal workers differ by less.
	minSpeedChange = 10
	// maxSpeedRecordBytes limits the size of the record, which each owner reads.
	maxSpeedRecordBytes = 64 << 10
)

// keepSpeeds reads the speeds that the last owner has learned, and records those of this term until it ends.
func (t *term) keepSpeeds(ctx context.Context) {
	recorded := t.readSpeeds(ctx)
	for pause.For(ctx, speedsInterval) {
		t.state.Lock()
		known := t.engine.KnownSpeeds()
		t.state.Unlock()
		record := newSpeedRecord(t.token, known, min(maxSpeedRecordBytes, t.Limits.valueBytes()))
		if speedsDiffer(record.Workers, recorded) && t.writeSpeeds(ctx, record) {
			recorded = record.Workers
		}
	}
}

// readSpeeds applies the stored speeds, and returns them. It reads once, as all speeds are 1 without them.
func (t *term) readSpeeds(ctx context.Context) map[string]work.RecordedSpeed {
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	item, err := t.Store.Item(call, work.SpeedsKey)
	if err != nil {
		t.Log.Emit(event.StoreLost, event.Fields{"call": "speeds", "error": err.Error()})
		return nil
	}
	if item.Revision == 0 {
		return nil
	}
	record, err := work.DecodeSpeedRecord(item.Data)
	if err != nil {
		t.Log.Emit(event.RecordBad, event.Fields{"key": item.Key, "error": err.Error()})
		return nil
	}
	var known []group.KnownSpeed
	for id, s := range record.Workers {
		if s.Valid() {
			known = append(known, group.KnownSpeed{Worker: id, Incarnation: s.Incarnation, Speed: float64(s.Speed) / 100, Certainty: float64(s.Certainty) / 100})
		}
	}
	t.state.Lock()
	t.engine.InheritSpeeds(known)
	t.state.Unlock()
	t.notify()
	return record.Workers
}

// newSpeedRecord returns a record of at most limit bytes. If it can't hold all speeds, those are left out that differ the least from 1.
func newSpeedRecord(token int64, known []group.KnownSpeed, limit int) work.SpeedRecord {
	slices.SortStableFunc(known, func(a, b group.KnownSpeed) int {
		return cmp.Compare(math.Abs(b.Speed-1), math.Abs(a.Speed-1))
	})
	record := work.SpeedRecord{Token: token, Workers: make(map[string]work.RecordedSpeed)}
	size := work.SpeedEntrySize("")
	for _, k := range known {
		if size += work.SpeedEntrySize(k.Worker); size > limit {
			break
		}
		speed := work.RecordedSpeed{Incarnation: k.Incarnation, Speed: percent(k.Speed), Certainty: percent(k.Certainty)}
		if speed.Valid() {
			record.Workers[k.Worker] = speed
		}
	}
	return record
}

func percent(share float64) int { return int(math.Round(100 * share)) }

// speedsDiffer reports whether the speed of any worker differs from the recorded one, or from 1 if none is recorded of its incarnation.
func speedsDiffer(speeds, recorded map[string]work.RecordedSpeed) bool {
	for id, s := range speeds {
		before := recorded[id]
		if before.Incarnation != s.Incarnation {
			before.Speed = 100
		}
		if d := s.Speed - before.Speed; d >= minSpeedChange || d <= -minSpeedChange {
			return true
		}
	}
	return false
}

// writeSpeeds writes the record, and reports whether it is certainly stored. Only the owner's key guards it: a write that takes effect
// late, within the same term, stores speeds that are a few seconds older.
func (t *term) writeSpeeds(ctx context.Context, record work.SpeedRecord) bool {
	data, err := record.Encode()
	if err != nil {
		t.Log.Emit(event.RecordBad, event.Fields{"key": work.SpeedsKey, "error": err.Error()})
		return false
	}
	call, done := context.WithTimeout(ctx, storeTimeout)
	defer done()
	_, err = t.Store.Commit(call, store.Transaction{
		Expected: []store.Expectation{{Key: work.OwnerKey, Revision: t.token}},
		Writes:   []store.Write{{Key: work.SpeedsKey, Data: data}},
	})
	if err != nil && ctx.Err() == nil {
		t.Log.Emit(event.StoreLost, event.Fields{"call": "speeds", "error": err.Error()})
	}
	return err == nil
}
