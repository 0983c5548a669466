package sets

import (
	"slices"
	"time"

	"github.com/lentildeck/lentildeck/internal/state/work"
)

// scope says where a set may look for room.
type scope struct {
	// near is true if only the rack that holds its data counts.
	near bool
	// keptToo is true if racks kept for others count: the rest could not hold the set if it were empty, or much is free and
	// the set has waited for it.
	keptToo bool
	// inRack is true if the set must stay within a rack, as one of them could hold it if it were empty. For a while, workers
	// count for that which get no tasks only at the moment, as right after a change of owner.
	inRack bool
}

// keptPatience is how long a set waits, while less than half of the fleet is in use, before it uses racks that are kept for
// others: the users expect all work to run within three seconds then.
const keptPatience = 2 * time.Second

// span is how many tasks of one kind the workers could hold if they were empty.
type span struct {
	// outside counts the open workers of racks that are not kept for others.
	outside int
	// most and mostKept are the most that any one rack could hold, of the other racks and of those kept for others.
	most     int
	mostKept int
}

// spanKey is all that a span depends on.
type spanKey struct {
	service  string
	requires string
	affinity string
	room     Room
	bound    int
	exempt   bool
	patient  bool
	near     bool
}

// scope works out where the set may look for room in this decision.
func (e *Engine) scope(s *Set, p *pass, now time.Time) scope {
	step := s.step()
	tight := step.SameRack && s.Count > 1
	sc := scope{near: e.nearOnly(s, now)}
	sp := e.span(s, p, tight && e.patient(s, now), sc.near)
	taken := 0
	if s.Count == 1 && step.MaxPerWorker > 0 {
		taken = s.turn.left[s.Step] - s.turn.idle[s.Step]
	}
	sc.keptToo = sp.outside-taken < s.Count || e.scattered() && now.Sub(s.readyAt) > keptPatience
	if sc.keptToo {
		sp.most = max(sp.most, sp.mostKept)
	}
	sc.inRack = tight && sp.most >= s.Count
	return sc
}

// span returns what the workers could hold of the set's kind; it is worked out once in a decision, but for sets that have
// failed somewhere.
func (e *Engine) span(s *Set, p *pass, patient, near bool) span {
	step := s.step()
	key := spanKey{
		service: s.Job.rules.Service, requires: step.Requires, affinity: step.Affinity, room: s.room(), bound: step.MaxPerWorker,
		exempt: s.Job.rules.Priority == 0 || step.Lasts, patient: patient, near: near,
	}
	if found, known := p.spans[key]; known && len(s.soured) == 0 {
		return found
	}
	var sp span
	for _, r := range e.racks {
		if !near || r.name == step.Affinity {
			e.addRack(&sp, s, r, patient)
		}
	}
	if len(s.soured) == 0 {
		p.spans[key] = sp
	}
	return sp
}

// addRack adds the rack's workers to the span.
func (e *Engine) addRack(sp *span, s *Set, r *rack, patient bool) {
	kept := e.barred(s, r)
	bound := work.MaxTasks
	if per := s.step().MaxPerWorker; per > 0 {
		bound = per
	}
	holds := 0
	for _, w := range r.workers {
		e.visited++
		if !w.open && (!patient || e.Closed(w)) || !w.suits(s) {
			continue
		}
		empty := s.room().Count(w.Capacity, bound)
		holds += empty
		if w.open && !kept {
			sp.outside += empty
		}
	}
	if kept {
		sp.mostKept = max(sp.mostKept, holds)
		return
	}
	sp.most = max(sp.most, holds)
}

// suits reports whether the set may ever run on the worker: it is of the right service and carries the label, and no run of
// the set has failed there.
func (w *Worker) suits(s *Set) bool {
	return w.Service == s.Job.rules.Service && w.has(s.step().Requires) && !slices.Contains(s.soured, w)
}

// patient reports whether waiting for a place near its data, or in one rack, still costs the set less than running three
// times as long elsewhere.
func (e *Engine) patient(s *Set, now time.Time) bool {
	return now.Sub(s.readyAt) <= time.Duration((e.cfg.RemoteFactor-1)*float64(s.step().Estimate))
}

// nearOnly reports whether the set should wait for the rack that holds its data.
//
// Workers count that get no tasks only at the moment.
func (e *Engine) nearOnly(s *Set, now time.Time) bool {
	step := s.step()
	if step.Affinity == "" {
		return false
	}
	r := e.onRack(step.Affinity)
	if r == nil || !e.patient(s, now) {
		return false
	}
	could := 0
	for _, w := range r.workers {
		if !e.Closed(w) && !slices.Contains(s.soured, w) {
			could += s.room().Count(w.Capacity, s.Count)
		}
	}
	return could >= s.Count
}
