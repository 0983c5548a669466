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
}

// claimSlack is added to the time a stop may take before a claim is given up.
const claimSlack = 1500 * time.Millisecond

// victim is a run that could be stopped, how urgent it is, and what stopping it would throw away.
type victim struct {
	run      *Run
	priority int
	cost     float64
}

// preempt stops cheaper work for the set and claims the room; it reports whether it did.
func (e *Engine) preempt(s *Set, now time.Time) bool {
	if e.queue(s.Job).Priority != 0 || s.Job.lateness == hopeless && !s.Job.entitled {
		return false
	}
	victims := e.victims(s, now)
	if len(victims) == 0 {
		return false
	}
	freed := make(map[*Worker]Room)
	with := func(w *Worker) Room { return w.free().Add(freed[w]) }
	chosen := victims[:0:0]
	var workers []*Worker
	for _, v := range victims {
		release(freed, v.run, 1)
		chosen = append(chosen, v)
		if workers = e.find(s, with, now); workers != nil {
			break
		}
	}
	if workers == nil {
		return false
	}
	for i := len(chosen) - 1; i >= 0; i-- {
		release(freed, chosen[i].run, -1)
		if fewer := e.find(s, with, now); fewer != nil {
			workers = fewer
			chosen = slices.Delete(chosen, i, i+1)
			continue
		}
		release(freed, chosen[i].run, 1)
	}
	for _, v := range chosen {
		e.stopRun(v.run, "room for "+s.Job.ID(), now)
	}
	e.claimRoom(s, workers, now)
	return true
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
			if run := other.Run; run != nil && run.stopping == "" && run.broken.IsZero() && e.startedWhole(run) {
				list = append(list, victim{run: run, priority: e.queue(j).Priority, cost: waste(run, now) / other.need().Cores()})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b victim) int {
		return cmp.Or(cmp.Compare(min(b.priority, 1), min(a.priority, 1)), cmp.Compare(a.cost, b.cost))
	})
	return list
}

// startedWhole leaves out runs whose starts are still on their way.
func (e *Engine) startedWhole(run *Run) bool { return run.whole() }

// yields reports whether a job's runs may be stopped for the other job.
func (e *Engine) yields(j, to *Job) bool {
	if j == to || j.entitled || j.Record.Phase.Final() {
		return false
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

func (e *Engine) claimRoom(s *Set, workers []*Worker, now time.Time) {
	s.claim = &claim{workers: workers, until: now.Add(e.cfg.StopTimeout + claimSlack)}
	for _, w := range workers {
		w.claimed = w.claimed.Add(s.room())
	}
	s.Job.Waiting = "others are being stopped to make room"
}

func (e *Engine) dropClaim(s *Set) {
	if s.claim == nil {
		return
	}
	for _, w := range s.claim.workers {
		w.claimed = w.claimed.Sub(s.room())
	}
	s.claim = nil
}

// startClaims plans the sets whose claimed room is free, and gives up claims that came to nothing.
func (e *Engine) startClaims(ready []*Set, now time.Time) {
	for _, s := range ready {
		if s.claim == nil {
			continue
		}
		usable := true
		for _, w := range s.claim.workers {
			usable = usable && e.usable(w, now)
		}
		workers := s.claim.workers
		switch {
		case !usable || now.After(s.claim.until):
			e.dropClaim(s)
		case e.roomFor(s, workers):
			e.dropClaim(s)
			e.plan(s, workers, "room made", now)
		}
	}
}

// roomFor reports whether the workers have room for the set now, whatever others have claimed.
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
	}
	return true
}
