package term

import (
	"context"
	"slices"

	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/peer/ends"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// End returns the final phase of a job if this instance is the owner and the job is completed, and enough other instances keep the ends that
// are not on record for the next owner to learn of them.
func (e *Elector) End(_ context.Context, request *ends.Request) (*ends.Reply, error) {
	e.mu.Lock()
	t := e.current
	e.mu.Unlock()
	if t == nil || e.Limits.EndKeepers == 0 {
		return &ends.Reply{}, nil
	}
	t.state.Lock()
	defer t.state.Unlock()
	if t.closed || !t.keptEnds[request.Job] {
		return &ends.Reply{}, nil
	}
	return &ends.Reply{Ended: true, Phase: work.Completed}, nil
}

// noteKeptEnds determines which completed jobs may be shown though their ends are not on record: those of which each unrecorded exit is
// kept by Limits.EndKeepers other instances, one of them in another data centre.
func (t *term) noteKeptEnds(box *outbox) {
	if t.Limits.EndKeepers == 0 {
		return
	}
	var near []string
	if t.Peers != nil {
		near = t.Peers.AddressesIn(t.DataCentre)
	}
	t.state.Lock()
	defer t.state.Unlock()
	for job, exits := range t.engine.CompletedUnrecorded() {
		kept := !slices.ContainsFunc(exits, func(x group.WorkerExit) bool {
			all, elsewhere := box.keepersOf(x, near)
			return all < t.Limits.EndKeepers || elsewhere == 0
		})
		if kept && !t.keptEnds[job] {
			t.keptEnds[job] = true
			t.Log.Emit(event.EndKept, event.Fields{"job": job, "token": t.token, "exits": len(exits), "keepers": t.Limits.EndKeepers})
		}
	}
}

// keepersOf returns how many instances keep the exit, as far as known, and how many of them are not at the near addresses.
func (o *outbox) keepersOf(x group.WorkerExit, near []string) (all, elsewhere int) {
	at, known := o.known[x]
	if !known {
		return 0, 0
	}
	for address, kept := range o.kept {
		if kept <= at {
			continue
		}
		all++
		if !slices.Contains(near, address) {
			elsewhere++
		}
	}
	return all, elsewhere
}
