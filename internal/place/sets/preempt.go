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

const (
	// evictionPause keeps a quick set that no stop would help from being searched for in each decision.
	evictionPause = 50 * time.Millisecond
	// gangEvictionPause is the same for a set that is not quick: the time in which a thirtieth of the running work ends, and
	// with it what a search would find.
	gangEvictionPause = 250 * time.Millisecond
)

func (s *Set) evictionPause() time.Duration {
	if s.Job.rules.Priority == 0 {
		return evictionPause
	}
	return gangEvictionPause
}

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

// beneficiary is all of a set that decides which runs may be stopped for it, but for those of its own job.
type beneficiary struct {
	priority int
	entitled bool
}

// targets are the runs that may be stopped: batch work first, then the cheapest for what it frees.
type targets struct {
	all    []victim
	onRack map[*rack][]victim
}

// preempt stops cheaper work for the set and claims the room; it reports whether it did.
func (e *Engine) preempt(s *Set, sc scope, p *pass, now time.Time) bool {
	o := e.offer(s, sc)
	t := e.targets(s, p, now)
	var best *eviction
	if !o.inRack {
		best = evict(s, t.all, o.slots)
	} else {
		for _, group := range byRack(o.slots) {
			if plan := evict(s, t.onRack[group[0].worker.rack], group); plan != nil && (best == nil || plan.cost < best.cost) {
				best = plan
			}
		}
	}
	if best == nil || !s.Job.entitled && best.cost > wasteMost*s.step().Estimate.Seconds()*s.need().Cores() {
		return false
	}
	for _, v := range best.victims {
		e.stopRun(v.run, "room for "+s.Job.ID(), now)
	}
	e.claimRoom(s, &claim{workers: best.choose(s), until: now.Add(e.cfg.StopTimeout + claimSlack)})
	s.Job.Waiting = "others are being stopped to make room"
	return true
}

// mayStopOthers reports whether the set may have room made: quick jobs that still gain by it, and any gang that waits
// although much is free, since what is stopped for it finds room elsewhere, or that still gains by it.
func (e *Engine) mayStopOthers(s *Set, now time.Time) bool {
	inTime := s.turn.lateness != hopeless
	if s.Job.rules.Priority == 0 && (inTime || s.Job.entitled) {
		return true
	}
	return s.Count > 1 && (inTime || e.scattered()) && now.Sub(s.readyAt) > scatteredAfter
}

// scattered reports whether a gang that finds no room lacks order rather than room.
func (e *Engine) scattered() bool { return e.use < scatteredUse }

// eviction is a way to make room: the runs to stop, and what there will be room on.
type eviction struct {
	offer
	victims []victim
	cost    float64
}

// evict chooses the runs to stop so that the set fits into the group, which is one rack or need not be one, or returns nil.
func evict(s *Set, victims []victim, group []slot) *eviction {
	could := 0
	for i := range group {
		sl := &group[i]
		sl.worker.at = i + 1
		could += s.room().Count(sl.worker.Capacity, sl.most)
	}
	defer func() {
		for _, sl := range group {
			sl.worker.at = 0
		}
	}()
	if could < s.Count {
		return nil
	}
	plan := &eviction{offer: offer{slots: group}}
	for _, sl := range group {
		plan.total += sl.fits
	}
	for _, v := range victims {
		if plan.total >= s.Count {
			break
		}
		if v.run.Set.Job != s.Job && v.run.stopping == "" && plan.release(s, v.run, 1) {
			plan.victims = append(plan.victims, v)
		}
	}
	if plan.total < s.Count {
		return nil
	}
	plan.spare(s)
	for _, v := range plan.victims {
		plan.cost += v.waste
	}
	plan.slots = slices.Clone(group)
	plan.slots = slices.DeleteFunc(plan.slots, func(sl slot) bool { return sl.fits == 0 })
	return plan
}

// spare drops the victims that need not be stopped after all, the dearest first.
func (plan *eviction) spare(s *Set) {
	for i := len(plan.victims) - 1; i >= 0; i-- {
		run := plan.victims[i].run
		plan.release(s, run, -1)
		if plan.total >= s.Count {
			plan.victims = slices.Delete(plan.victims, i, i+1)
			continue
		}
		plan.release(s, run, 1)
	}
}

// release adds the room of the run's live members to the slots, or takes it back; it reports whether there was any.
func (plan *eviction) release(s *Set, run *Run, sign int) bool {
	room := run.Set.room().Times(sign)
	touched := false
	for _, m := range run.Members {
		if m.State == Ended || m.Worker.at == 0 {
			continue
		}
		touched = true
		sl := &plan.slots[m.Worker.at-1]
		plan.total -= sl.fits
		sl.free = sl.free.Add(room)
		sl.fits = s.room().Count(sl.free, sl.most)
		plan.total += sl.fits
	}
	return touched
}

// targets lists the runs that may be stopped for the set; the list is worked out once in a pass.
func (e *Engine) targets(s *Set, p *pass, now time.Time) *targets {
	key := beneficiary{priority: s.Job.rules.Priority, entitled: s.Job.entitled}
	if t := p.targets[key]; t != nil {
		return t
	}
	t := &targets{all: e.victims(s, now), onRack: make(map[*rack][]victim)}
	for _, v := range t.all {
		for _, m := range v.run.Members {
			r := m.Worker.rack
			if list := t.onRack[r]; m.State != Ended && (len(list) == 0 || list[len(list)-1].run != v.run) {
				t.onRack[r] = append(list, v)
			}
		}
	}
	p.targets[key] = t
	return t
}

// victims lists the runs that may be stopped for the set and others like it.
func (e *Engine) victims(s *Set, now time.Time) []victim {
	var list []victim
	for _, j := range e.open {
		if !yields(j, s.Job) {
			continue
		}
		allowed := j.allowances()
		for _, other := range j.sets {
			if s.Job.rules.Priority != 0 && !e.cheapToMove(other, s) || !allowed.take(other) {
				continue
			}
			if run := other.Run; run != nil && run.stopping == "" && run.broken.IsZero() && run.whole() {
				lost := waste(run, now)
				list = append(list, victim{run: run, priority: j.rules.Priority, waste: lost, cost: lost / other.need().Cores()})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(min(b.priority, 1), min(a.priority, 1)), cmp.Compare(a.cost, b.cost))
	})
	return list
}

// cheapToMove reports whether a set may be stopped for a gang that is not quick: a single task that finds room elsewhere, or
// one that is less urgent and goes on where it was.
func (e *Engine) cheapToMove(other, s *Set) bool {
	if other.Count > 1 {
		return false
	}
	step := other.step()
	return e.scattered() || step.Checkpoints && !step.Lasts && other.Job.rules.Priority > s.Job.rules.Priority
}

// yields reports whether a job's runs may be stopped for another job.
func yields(j, to *Job) bool {
	if j.entitled || j.Record.Phase.Final() {
		return false
	}
	if to.rules.Priority != 0 {
		return j.rules.Priority != 0
	}
	return j.rules.Priority > 0 || to.entitled
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
	e.claimants = append(e.claimants, s)
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
	e.claimants = slices.DeleteFunc(e.claimants, func(o *Set) bool { return o == s })
}

// shift adds to the room that is kept or claimed on the worker.
func (w *Worker) shift(kept bool, room Room) {
	if kept {
		w.kept = w.kept.Add(room)
		return
	}
	w.claimed = w.claimed.Add(room)
	w.restock()
}

// startClaims plans the sets whose claimed room is free, and gives up claims that came to nothing.
//
// A worker that is avoided for a moment keeps its claim: others have been stopped for it already.
func (e *Engine) startClaims(p *pass, now time.Time) {
	for _, s := range slices.Clone(e.claimants) {
		workers := s.claim.workers
		switch {
		case now.After(s.claim.until) || slices.ContainsFunc(workers, e.Closed):
			e.dropClaim(s)
			s.Job.Waiting = ""
			s.claimAgain = now.Add(claimPause)
		case e.allUsable(workers, now) && e.roomFor(s, workers):
			e.dropClaim(s)
			e.plan(s, workers, "room made", now)
		default:
			e.reconsider(s, p, now)
		}
	}
}

// reconsider places a set that has claimed room elsewhere if it can, since the room it claimed may be long in coming; a
// gang for which room is kept may also have small tasks moved once much is free.
func (e *Engine) reconsider(s *Set, p *pass, now time.Time) {
	c := s.claim
	e.dropClaim(s)
	sc := e.scope(s, p, now)
	if workers := e.find(s, sc); workers != nil {
		e.plan(s, workers, "free room elsewhere", now)
		return
	}
	if c.kept && e.mayStopOthers(s, now) && !now.Before(s.evictAgain) {
		if e.preempt(s, sc, p, now) {
			return
		}
		s.evictAgain = now.Add(s.evictionPause())
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
