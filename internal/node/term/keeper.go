package term

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/sourcegraph/conc"
)

const (
	// leaveInterval is the time between checks whether exits are to be left with other instances.
	leaveInterval = 217 * time.Millisecond
	// leaveAfter is how long an exit is not on record before it is left with others.
	leaveAfter = 300 * time.Millisecond
	// keeperTimeout limits a call to one of them.
	keeperTimeout = 300 * time.Millisecond
	// askedPerCentre is how many instances of each data centre a new owner asks for exits.
	askedPerCentre = 4
)

// Keep keeps exits that an owner has left with this instance.
func (e *Elector) Keep(_ context.Context, exits *grants.Exits) (*grants.Kept, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case exits.Token < max(e.kept.Token, e.askedBy):
		// A later owner has asked already, and would not learn of these.
		return &grants.Kept{}, nil
	case exits.First == 0:
		e.kept = *exits
		e.kept.Exits = slices.Clip(e.kept.Exits)
	case exits.Token == e.kept.Token && exits.First == len(e.kept.Exits):
		e.kept.Exits = append(e.kept.Exits, exits.Exits...)
	case exits.Token > e.kept.Token:
		return &grants.Kept{}, nil
	}
	return &grants.Kept{Count: len(e.kept.Exits)}, nil
}

// KeptExits returns the exits that an owner before the one that asks has left with this instance.
func (e *Elector) KeptExits(_ context.Context, request *grants.Request) (*grants.Exits, error) {
	e.mu.Lock()
	e.askedBy = max(e.askedBy, request.Token)
	e.mu.Unlock()
	kept := e.keptBefore(request.Token)
	kept.Sightings = e.reportSightings(e.Now())
	return &kept, nil
}

// keptBefore returns the exits that an owner with a lower token has left with this instance.
func (e *Elector) keptBefore(token int64) grants.Exits {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.kept.Token >= token {
		return grants.Exits{}
	}
	return e.kept
}

// keepers returns the addresses of the instances with which exits are left: the first perCentre of each data centre.
func (t *term) keepers(perCentre int) (addresses []string) {
	if t.Peers == nil || t.Predecessors == nil {
		return nil
	}
	for _, centre := range append(t.otherCentres(), t.DataCentre) {
		list := t.Peers.AddressesIn(centre)
		addresses = append(addresses, list[:min(perCentre, len(list))]...)
	}
	return addresses
}

// outbox has the exits to be left with other instances since the owner last had everything on record.
type outbox struct {
	exits []group.WorkerExit
	// known has the index of each of the exits.
	known map[group.WorkerExit]int
	size  int
	// kept is the number of the exits that each keeper has, by address.
	kept map[string]int
}

func newOutbox() *outbox {
	return &outbox{known: make(map[group.WorkerExit]int), kept: make(map[string]int)}
}

// add adds those of the exits that are new, as far as there is room.
func (o *outbox) add(exits []group.WorkerExit) {
	for _, x := range exits {
		size := exitBytes + len(x.Exit.Checkpoint)
		if _, known := o.known[x]; known || o.size+size > maxExitsBytes {
			continue
		}
		o.known[x] = len(o.exits)
		o.exits, o.size = append(o.exits, x), o.size+size
	}
}

// leaveExits leaves exits that can't be recorded with other instances until the term ends.
func (t *term) leaveExits(ctx context.Context) {
	box := newOutbox()
	for pause.For(ctx, leaveInterval) {
		now := t.Now()
		t.state.Lock()
		since := t.engine.UnrecordedSince()
		if !since.IsZero() && now.Sub(since) >= leaveAfter {
			box.add(t.engine.UnrecordedExits())
		}
		t.state.Unlock()
		switch {
		case since.IsZero() && len(box.exits) > 0:
			box = newOutbox()
		case len(box.exits) > 0:
			t.leave(ctx, box)
			t.noteKeptEnds(box)
		}
	}
}

// leave leaves the exits with one instance of each data centre.
func (t *term) leave(ctx context.Context, box *outbox) {
	var mu sync.Mutex
	sent, unreached := 0, 0
	var calls conc.WaitGroup
	for _, address := range t.keepers(1) {
		mu.Lock()
		first := min(box.kept[address], len(box.exits))
		mu.Unlock()
		if first == len(box.exits) {
			continue
		}
		sent++
		calls.Go(func() {
			call, done := context.WithTimeout(ctx, keeperTimeout)
			defer done()
			kept, err := t.Predecessors.Keep(call, address, &grants.Exits{Token: t.token, First: first, Exits: box.exits[first:]})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached++
				return
			}
			box.kept[address] = kept.Count
		})
	}
	calls.Wait()
	if sent > 0 {
		t.Log.Emit(event.ExitsLeft, event.Fields{"token": t.token, "exits": len(box.exits), "keepers": sent - unreached, "unreached": unreached})
	}
}

// collectExits applies the exits that earlier owners have left with other instances, and what these have seen of the owner's key. The
// last owner left them with the first instance of each data centre but itself, so that may be the second one here, or a later one if
// others have come since. It reports whether others have seen anything.
func (t *term) collectExits(ctx context.Context) (seen bool) {
	request := &grants.Request{Token: t.token}
	var mu sync.Mutex
	exits, unreached := slices.Clone(t.keptBefore(t.token).Exits), 0
	var sightings []sighting
	var calls conc.WaitGroup
	for _, address := range t.keepers(askedPerCentre) {
		calls.Go(func() {
			call, done := context.WithTimeout(ctx, keeperTimeout)
			defer done()
			kept, err := t.Predecessors.KeptExits(call, address, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreached++
				return
			}
			exits = append(exits, kept.Exits...)
			sightings = append(sightings, decodeSightings(kept.Sightings, t.Now())...)
		})
	}
	calls.Wait()
	t.state.Lock()
	t.hearExits(exits, t.Now())
	t.addSightings(sightings)
	t.state.Unlock()
	t.notify()
	t.Log.Emit(event.ExitsCollected, event.Fields{"token": t.token, "exits": len(exits), "unreached": unreached})
	return len(sightings) > 0
}
