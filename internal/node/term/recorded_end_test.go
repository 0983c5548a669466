package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// Guards against two runs of a task: a lease that is on record counts as expired too early, as a time is taken from the wrong moment.
func TestRecordedLeaseEndsAfterItsTimeFromWhenItIsKnown(t *testing.T) {
	const token, revision = 50, 60
	read := time.Unix(1000, 0)
	record := work.LeaseRecord{Token: token, TermAge: time.Second, Remaining: map[string]time.Duration{"w": 5 * time.Second}}
	earlierRelease := record
	earlierRelease.TermAge = 0
	termSeen, writeSeen := sighting{revision: token, at: read.Add(-2 * time.Second)}, sighting{revision: revision, at: read.Add(-500 * time.Millisecond)}
	for name, c := range map[string]struct {
		record    work.LeaseRecord
		sightings []sighting
		end       time.Time
	}{
		"neither seen":               {record, nil, read.Add(onThisClock(5 * time.Second))},
		"before the term":            {record, []sighting{{revision: token - 1, at: read.Add(-time.Minute)}}, read.Add(onThisClock(5 * time.Second))},
		"the write seen":             {record, []sighting{writeSeen}, writeSeen.at.Add(onThisClock(5 * time.Second))},
		"the beginning seen":         {record, []sighting{termSeen}, termSeen.at.Add(onThisClock(6 * time.Second))},
		"both seen":                  {record, []sighting{termSeen, writeSeen}, termSeen.at.Add(onThisClock(6 * time.Second))},
		"no term age":                {earlierRelease, []sighting{termSeen, writeSeen}, writeSeen.at.Add(onThisClock(5 * time.Second))},
		"the write seen well before": {record, []sighting{termSeen, {revision: revision, at: read.Add(-1500 * time.Millisecond)}}, read.Add(-1500 * time.Millisecond).Add(onThisClock(5 * time.Second))},
	} {
		tm := &term{sightings: c.sightings}
		tm.withheld.readAt = read
		assert.Check(t, tm.recordedEnd(c.record, revision, 5*time.Second).Equal(c.end), name)
	}
}
