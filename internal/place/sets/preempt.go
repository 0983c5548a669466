package sets

import (
	"cmp"
	"slices"
	"time"
)

// claim is room set aside for a set while others stop for it.
type claim struct {
	workers []*Worker
	until   time.Time
	// kept is true if nobody was stopped and the room becomes free by itself.
	kept bool
}

// claimSlack is added to the time a stop may take before a claim is given up.
const claimSlack = 1500 * time.Millisecond

// claimPause keeps a set from stopping others again right after a claim came to nothing.
const claimPause = time.Second

const (
	// scatteredUse is the share of the accelerators in use below which a gang that finds no room waits for want of order,
	// not of room: the users expect all work to run below half.
	scatteredUse = 0.5
	// scatteredAfter is how long such a gang waits first.
	scatteredAfter = time.Second
)

// wasteMost is how much work, against its own, a set may throw away to start at once if no guarantee asks for it.
const wasteMost = 1.0

// victim is a run that could be stopped, how urgent it is, and what stopping it would throw away.
type victim struct {
	run      *Run
	priority int
	// waste is in core-seconds, cost the same for each core that it frees.
	waste float64
	cost  float64
}

// preempt stops cheaper work for the set and claims the room; it reports whether it did.
func (e *Engine) preempt(s *Set, now time.Time) bool {
	victims := e.victims(s, now)
	var best *eviction
	for _, group := range e.groups(s, now) {
		if plan := e.evict(s, victims, group, now); plan != nil && (best == nil || plan.cost < best.cost) {
			best = plan
		}
	}
	if best == nil || !s.Job.entitled && best.cost > wasteMost*s.step().Estimate.Seconds()*s.need().Cores() {
		return false
	}
	for _, v := range best.victims {
		e.stopRun(v.run, "room for "+s.Job.ID(), now)
	}
	e.claimRoom(s, &claim{workers: best.workers, until: now.Add(e.cfg.StopTimeout + claimSlack)})
	s.Job.Waiting = "others are being stopped to make room"
	return true
}

// mayStopOthers reports whether the set may have room made: quick jobs that still gain by it, and any gang that waits
// although much is free, since what is stopped for it finds room elsewhere.
func (e *Engine) mayStopOthers(s *Set, now time.Time) bool {
	if e.queue(s.Job).Priority == 0 && (s.Job.lateness != hopeless || s.Job.entitled) {
		return true
	}
	return s.Count > 1 && e.use < scatteredUse && now.Sub(s.readyAt) > scatteredAfter
}

// eviction is a way to make room: the runs to stop, and where the set goes.
type eviction struct {
	victims []victim
	workers []*Worker
	cost    float64
}

// groups lists the sets of workers among which room may be made: each rack by itself if the set must stay in one.
func (e *Engine) groups(s *Set, now time.Time) []map[*Worker]bool {
	whole := make(map[*Worker]bool)
	racks := make(map[string]map[*Worker]bool)
	var names []string
	for _, sl := range e.slots(s, e.emptyView, now) {
		w := sl.worker
		whole[w] = true
		if racks[w.Rack] == nil {
			racks[w.Rack] = make(map[*Worker]bool)
			names = append(names, w.Rack)
		}
		racks[w.Rack][w] = true
	}
	if !s.step().SameRack || s.Count == 1 || !e.rackCouldHold(s, now) {
		return []map[*Worker]bool{whole}
	}
	groups := make([]map[*Worker]bool, len(names))
	for i, name := range names {
		groups[i] = racks[name]
	}
	return groups
}

// evict chooses the runs to stop so that the set fits into the group, or returns nil.
func (e *Engine) evict(s *Set, victims []victim, group map[*Worker]bool, now time.Time) *eviction {
	freed := make(map[*Worker]Room)
	q := e.queue(s.Job)
	within := func(w *Worker) Room {
		if !group[w] {
			return Room{MilliCores: -1}
		}
		return w.freeFor(q).Add(freed[w])
	}
	var chosen []victim
	var workers []*Worker
	for _, v := range victims {
		if !v.touches(group) {
			continue
		}
		release(freed, v.run, 1)
		chosen = append(chosen, v)
		if workers = e.find(s, within, now); workers != nil {
			break
		}
	}
	if workers == nil {
		return nil
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		release(freed, chosen[i].run, -1)
		if fewer := e.find(s, within, now); fewer != nil {
			workers = fewer
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		release(freed, chosen[i].run, 1)
	}
	plan := &eviction{victims: chosen, workers: workers}
	for _, v := range chosen {
		plan.cost += v.waste
	}
	return plan
}

// touches reports whether the run holds room in the group.
func (v victim) touches(group map[*Worker]bool) bool {
	return slices.ContainsFunc(v.run.Members, func(m *Member) bool { return m.State != Ended && group[m.Worker] })
}

// release adds the room of the run's live members, or takes it back.
func release(freed map[*Worker]Room, run *Run, sign int) {
	for _, m := range run.Members {
		if m.State != Ended {
			freed[m.Worker] = freed[m.Worker].Add(run.Set.room().Times(sign))
		}
	}
}

// victims lists the runs that may be stopped for the set: those of lower priority first, then the cheapest for what it frees.
func (e *Engine) victims(s *Set, now time.Time) []victim {
	var list []victim
	for _, j := range e.open {
		if !e.yields(j, s.Job) {
			continue
		}
		for _, other := range j.sets {
			if e.queue(s.Job).Priority != 0 && other.Count > 1 {
				continue
			}
			if run := other.Run; run != nil && run.stopping == "" && run.broken.IsZero() && run.whole() {
				lost := waste(run, now)
				list = append(list, victim{run: run, priority: e.queue(j).Priority, waste: lost, cost: lost / other.need().Cores()})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(min(b.priority, 1), min(a.priority, 1)), cmp.Compare(a.cost, b.cost))
	})
	return list
}

// yields reports whether a job's runs may be stopped for the other job.
func (e *Engine) yields(j, to *Job) bool {
	if j == to || j.entitled || j.Record.Phase.Final() {
		return false
	}
	if e.queue(to).Priority != 0 {
		return e.queue(j).Priority != 0
	}
	if e.queue(j).Priority > e.queue(to).Priority {
		return true
	}
	return to.entitled
}

// stopCost is the share of a second that stopping a run with checkpoints costs besides its progress.
const stopCost = 0.5

// waste is the core-seconds that stopping the run throws away.
func waste(run *Run, now time.Time) float64 {
	cores := run.Set.need().Cores()
	if run.Set.step().Checkpoints {
		return stopCost * cores
	}
	return now.Sub(run.Began).Seconds() * cores
}

func (e *Engine) claimRoom(s *Set, c *claim) {
	s.claim = c
	for _, w := range c.workers {
		w.shift(c.kept, s.room())
	}
}

func (e *Engine) dropClaim(s *Set) {
	if s.claim == nil {
		return
	}
	for _, w := range s.claim.workers {
		w.shift(s.claim.kept, s.room().Times(-1))
	}
	s.claim = nil
}

// shift adds to the room that is kept or claimed on the worker.
func (w *Worker) shift(kept bool, room Room) {
	if kept {
		w.kept = w.kept.Add(room)
		return
	}
	w.claimed = w.claimed.Add(room)
}

// startClaims plans the sets whose claimed room is free, and gives up claims that came to nothing.
//
// A worker that is avoided for a moment keeps its claim: others have been stopped for it already.
func (e *Engine) startClaims(ready []*Set, now time.Time) {
	for _, s := range ready {
		if s.claim == nil {
			continue
		}
		workers := s.claim.workers
		switch {
		case now.After(s.claim.until) || slices.ContainsFunc(workers, e.Closed):
			e.dropClaim(s)
			s.claimAgain = now.Add(claimPause)
		case e.allUsable(workers, now) && e.roomFor(s, workers):
			e.dropClaim(s)
			e.plan(s, workers, "room made", now)
		default:
			e.reconsider(s, now)
		}
	}
}

// reconsider places a set that has claimed room elsewhere if it can, since the room it claimed may be long in coming; a
// gang for which room is kept may also have small tasks moved once much is free.
func (e *Engine) reconsider(s *Set, now time.Time) {
	c := s.claim
	e.dropClaim(s)
	if workers := e.find(s, e.freeView(s), now); workers != nil {
		e.plan(s, workers, "free room elsewhere", now)
		return
	}
	if c.kept && e.mayStopOthers(s, now) && !now.Before(s.claimAgain) {
		if e.preempt(s, now) {
			return
		}
		s.claimAgain = now.Add(evictionPause)
	}
	e.claimRoom(s, c)
}

func (e *Engine) allUsable(workers []*Worker, now time.Time) bool {
	return !slices.ContainsFunc(workers, func(w *Worker) bool { return !e.usable(w, now) })
}

// roomFor reports whether the workers may take the set now, whatever others have claimed.
func (e *Engine) roomFor(s *Set, workers []*Worker) bool {
	for i, w := range workers {
		if slices.Contains(workers[:i], w) {
			continue
		}
		n := 0
		for _, o := range workers {
			if o == w {
				n++
			}
		}
		if s.room().Count(w.Capacity.Sub(w.Used), n) < n {
			return false
		}
		if per := s.step().MaxPerWorker; per > 0 && w.membersOf(s)+n > per {
			return false
		}
	}
	return true
}
