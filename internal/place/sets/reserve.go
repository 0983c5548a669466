package sets

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reserveAfter is how long a set waits before room is kept for it as it becomes free: small work would take every gap
	// that a large gang needs.
	reserveAfter = 4 * time.Second
	// reservesFew gangs may always have room kept for them, reservesMany while less than amplyFree of the accelerators is in
	// use. More may on a fleet that is fuller, as long as no more than idleMost of it lies idle for them.
	reservesFew  = 1
	reservesMany = 2
	amplyFree    = 0.6
	idleMost     = 0.05
	// reservePause keeps a gang that fits nowhere, whatever ends, from being searched for in each decision.
	reservePause = 500 * time.Millisecond
	// reserveFor is how long room is kept before the choice is made anew.
	reserveFor = 12 * time.Second
)

// opening is room for one more task on a worker, and when it will be there.
type opening struct {
	worker *Worker
	in     time.Duration
}

// reserve keeps the room for a gang that will be free first, without stopping anyone; it reports whether it did.
func (e *Engine) reserve(s *Set, sc scope, now time.Time) bool {
	if s.Count == 1 || !e.mayKeepMore() || now.Sub(s.readyAt) < reserveAfter || now.Before(s.claimAgain) || now.Before(s.reserveAgain) {
		return false
	}
	var best []opening
	o := e.offer(s, sc)
	groups := [][]slot{o.slots}
	if o.inRack {
		groups = byRack(o.slots)
	}
	for _, group := range groups {
		openings := openings(s, group)
		if len(openings) < s.Count {
			continue
		}
		openings = openings[:s.Count]
		if best == nil || openings[s.Count-1].in < best[s.Count-1].in {
			best = openings
		}
	}
	if best == nil {
		s.reserveAgain = now.Add(reservePause)
		return false
	}
	workers := make([]*Worker, len(best))
	for i, o := range best {
		workers[i] = o.worker
	}
	e.claimRoom(s, &claim{workers: workers, until: now.Add(reserveFor), kept: true})
	e.countKept()
	s.Job.Waiting = "room is kept as it becomes free; the last part in about " + best[len(best)-1].in.Round(time.Second).String()
	e.act(Note{What: JobWaits, Job: s.Job.ID(), Text: s.Job.Waiting})
	return true
}

// mayKeepMore reports whether room may be kept for one more gang.
func (e *Engine) mayKeepMore() bool {
	if e.use < amplyFree {
		return e.reserved < reservesMany
	}
	return e.reserved < reservesFew || float64(e.keptIdle) < idleMost*float64(e.whole)
}

// countKept counts the gangs that have room kept for them, and the accelerators that lie idle for that.
func (e *Engine) countKept() {
	e.reserved, e.keptIdle = 0, 0
	for _, s := range e.claimants {
		if s.claim.kept {
			e.reserved++
		}
	}
	if e.reserved == 0 {
		return
	}
	for _, w := range e.order {
		e.keptIdle += min(w.kept.Accelerators, w.freeLevel())
	}
}

// openings lists the room for tasks of the set in the group, the earliest first.
func openings(s *Set, group []slot) []opening {
	var list []opening
	for _, sl := range group {
		list = append(list, sl.openings(s)...)
	}
	slices.SortStableFunc(list, func(a, b opening) int { return cmp.Compare(a.in, b.in) })
	return list
}

// openings lists when the worker will have room for one task of the set, for two, and so on.
func (sl *slot) openings(s *Set) []opening {
	members := slices.Clone(sl.worker.sorted())
	slices.SortStableFunc(members, func(a, b *Member) int { return cmp.Compare(a.rest(), b.rest()) })
	free := sl.free
	var list []opening
	in := time.Duration(0)
	for i := 0; ; i++ {
		for len(list) < s.room().Count(free, sl.most) {
			list = append(list, opening{worker: sl.worker, in: in})
		}
		if i == len(members) || len(list) >= sl.most {
			return list
		}
		in = max(in, members[i].rest())
		free = free.Add(members[i].Run.Set.room())
	}
}
