package sets

// pass is what one decision has learned: as free room only shrinks in it, what did not fit need not be tried again.
type pass struct {
	// misses has the fewest tasks of each demand that found no room.
	misses map[demand]int
	// spans holds what the fleet could hold if it were empty.
	emptyCapacities map[emptyCapacityKey]emptyCapacity
	preemptions     int
	// targets are the runs that may be stopped, by for whom.
	candidates map[requester]*candidates
}

func newPass() *pass {
	return &pass{misses: make(map[demand]int), emptyCapacities: make(map[emptyCapacityKey]emptyCapacity), candidates: make(map[requester]*candidates)}
}

// demand is all of a set that decides whether it fits, but for how many tasks it has.
type demand struct {
	room         Room
	affinity     string
	requires     string
	maxPerWorker int
	longRunning  bool
	queue        string
	filter       filter
}

// demand describes the set. A bound on each worker only tells gangs apart: single tasks with one fit nowhere where those
// without one don't.
func (g *Group) demand(f filter) demand {
	step := g.step()
	d := demand{
		room: g.taskNeed(), affinity: step.Affinity, requires: step.Requires, longRunning: step.Lasts,
		queue: g.Job.Spec.Queue, filter: f,
	}
	if g.Count > 1 {
		d.maxPerWorker = step.MaxPerWorker
	}
	return d
}

// mayFit reports whether a search makes sense after what the pass has learned.
func (p *pass) mayFit(g *Group, f filter) bool {
	smallest, missed := p.misses[g.demand(f)]
	return !missed || g.Count < smallest
}

// missed notes that the set found no room. One that has failed on some worker says nothing about others.
func (p *pass) missed(g *Group, f filter) {
	if len(g.failedOn) == 0 {
		p.misses[g.demand(f)] = g.Count
	}
}
