package term

import (
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"gotest.tools/v3/assert"
)

// ownerWithStaleProofs is an owner that has loaded, and whose lease, configuration and list have the given ages.
func ownerWithStaleProofs(t *testing.T, lease, configuration, list time.Duration) (l *standingLog, now time.Time) {
	t.Helper()
	s := newStartOnOneWorker(t)
	s.Limits.PolicyAge, s.Limits.ListAge = 3*time.Second, 1200*time.Millisecond
	s.loadedRevision = 1
	now = s.now.Add(time.Minute)
	s.now = now.Add(-configuration)
	assert.NilError(t, s.Policy.Refresh(t.Context()))
	s.now = now
	s.validUntil, s.listedAt = now.Add(leaseTTL-leaseMargin-lease), now.Add(-list)
	return &standingLog{term: s.term, jobsAt: now}, now
}

// Guards against an owner that holds its lease and may start nothing, without a line that says which age forbids it.
func TestLogNamesTheAgeThatForbidsStarts(t *testing.T) {
	for _, c := range []struct {
		lease, configuration, list time.Duration
		by                         []string
	}{
		{time.Second, 0, 0, []string{"lease"}},
		{0, 3 * time.Second, 0, []string{"configuration"}},
		{0, 0, 1200 * time.Millisecond, []string{"list"}},
		{time.Second, 4 * time.Second, 2 * time.Second, []string{"lease", "configuration", "list"}},
	} {
		l, now := ownerWithStaleProofs(t, c.lease, c.configuration, c.list)
		assert.Assert(t, !l.mayStart(now))
		assert.Equal(t, len(l.due(now)), 0)
		assert.Equal(t, len(l.due(now.Add(400*time.Millisecond))), 0)
		lines := l.dueStarts(now.Add(500 * time.Millisecond))
		assert.Equal(t, len(lines), 1)
		assert.Equal(t, lines[0].kind, event.StartsForbidden)
		assert.DeepEqual(t, lines[0].fields, event.Fields{
			"token": int64(7), "lasted": "500ms", "by": c.by,
			"leaseAge": (c.lease + 500*time.Millisecond).String(), "leaseLimit": "1s",
			"configurationAge": (c.configuration + 500*time.Millisecond).String(), "configurationLimit": "3s",
			"listAge": (c.list + 500*time.Millisecond).String(), "listLimit": "1.2s",
		})
	}
}

// Guards against a flood of lines, or only one, while starts are forbidden, and against an end that is not logged.
func TestForbiddenStartsAreLoggedEachSecondAndWhenTheyEnd(t *testing.T) {
	l, now := ownerWithStaleProofs(t, 0, 3*time.Second, 0)
	var logged []time.Duration
	for passed := time.Duration(0); passed < 4*time.Second; passed += standingTick {
		at := now.Add(passed)
		l.validUntil, l.listedAt = at.Add(time.Second), at
		for _, line := range l.dueStarts(at) {
			assert.Equal(t, line.kind, event.StartsForbidden)
			logged = append(logged, passed)
		}
	}
	const s = time.Second
	assert.DeepEqual(t, logged, []time.Duration{s / 2, s * 3 / 2, s * 5 / 2, s * 7 / 2})
	l.Limits.PolicyAge = time.Hour
	at := now.Add(4 * time.Second)
	l.validUntil, l.listedAt = at.Add(time.Second), at
	lines := l.dueStarts(at)
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].kind, event.StartsAllowed)
	assert.DeepEqual(t, lines[0].fields, event.Fields{"token": int64(7), "lasted": "4s"})
	assert.Equal(t, len(l.dueStarts(at)), 0)
}

// Guards against two lines for each renewal that is a little late.
func TestShortLapsesAreNotLogged(t *testing.T) {
	l, now := ownerWithStaleProofs(t, time.Second, 0, 0)
	assert.Equal(t, len(l.dueStarts(now)), 0)
	l.validUntil = now.Add(time.Second)
	assert.Equal(t, len(l.dueStarts(now.Add(400*time.Millisecond))), 0)
}
