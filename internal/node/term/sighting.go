package term

import (
	"context"
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

// maxSightings is the number of sightings that are kept: somewhat more than the store's history reaches back, at one for each watch.
const maxSightings = 24

// sighting is a state of the owner's key that a candidate has read: at the time at or before, the store had the revision; limits is true
// if there was no owner, or one that grants no leases longer than longestLease.
type sighting struct {
	revision int64
	at       time.Time
	limits   bool
}

// sighted records that the owner's key was unchanged up to the revision.
func (e *Elector) sighted(revision int64, limits bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sightings = append(e.sightings, sighting{revision: revision, at: e.Now(), limits: limits})
	if len(e.sightings) > maxSightings {
		e.sightings = e.sightings[1:]
	}
}

// reportSightings returns the sightings for another instance.
func (e *Elector) reportSightings(now time.Time) (reports []grants.Sighting) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sightings {
		reports = append(reports, grants.Sighting{Revision: s.revision, Ago: now.Sub(s.at), Limits: s.limits})
	}
	return reports
}

// decodeSightings returns the sightings of another instance, as reported at now, none earlier than it was.
func decodeSightings(reports []grants.Sighting, now time.Time) (sightings []sighting) {
	for _, r := range reports {
		ago := time.Duration(float64(r.Ago) / clockDriftFactor)
		sightings = append(sightings, sighting{revision: r.Revision, at: now.Add(-ago), limits: r.Limits})
	}
	return sightings
}

// addSightings adds sightings of other instances. The caller holds t.state.
func (t *term) addSightings(sightings []sighting) {
	t.sightings = append(t.sightings, sightings...)
	slices.SortStableFunc(t.sightings, func(a, b sighting) int { return a.at.Compare(b.at) })
}

// firstSighting returns the time of the first sighting of the revision or a later one.
func (t *term) firstSighting(revision int64) (at time.Time, seen bool) {
	t.state.Lock()
	defer t.state.Unlock()
	for _, s := range t.sightings {
		if s.revision >= revision {
			return s.at, true
		}
	}
	return at, false
}

// sightingBefore returns the last sighting that is not after the time, or else the first one.
func (t *term) sightingBefore(at time.Time) (last sighting, ok bool) {
	t.state.Lock()
	defer t.state.Unlock()
	for i, s := range t.sightings {
		if i == 0 || !s.at.After(at) {
			last, ok = s, true
		}
	}
	return last, ok
}

// shortInheritedLease is the longest time for which leases can last that owners with longestLease have granted, from the loss of their
// ownership on.
func (t *term) shortInheritedLease() time.Duration {
	return extendPastLapse + worstCaseLease(t.leaseDuration())
}

// inheritBound shortens the time for which all workers may hold leases of earlier owners, if a sighting and the history of the owner's
// key show that only owners with longestLease could grant any for long enough.
func (t *term) inheritBound(ctx context.Context) {
	seen, ok := t.sightingBefore(t.startedAt.Add(t.shortInheritedLease() - t.inheritedLease))
	if !ok || !seen.limits || t.shortInheritedLease() >= t.inheritedLease {
		return
	}
	if err := t.checkWithheld(ctx, seen.revision); err != nil {
		t.Log.Emit(event.LeasesInherited, event.Fields{"token": t.token, "from": "history", "error": err.Error()})
		return
	}
	until := t.startedAt.Add(t.shortInheritedLease())
	if earlier := seen.at.Add(t.inheritedLease); earlier.After(until) {
		until = earlier
	}
	t.state.Lock()
	t.engine.InheritLeases(group.InheritedLeases{Others: until})
	t.state.Unlock()
	t.notify()
	t.Log.Emit(event.LeasesInherited, event.Fields{"token": t.token, "from": "history", "others": until.Sub(t.Now()).String()})
}

// limitsLeases reports whether there is no owner, or one that grants no leases longer than longestLease.
func (e *Elector) limitsLeases(items []store.Item) bool {
	return len(items) == 0 || e.decodeOwner(items[0]).Withholds
}
