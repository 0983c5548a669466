package group

// pass holds what one decision has learned: as free room only shrinks during a decision, a demand that did not fit need not
// be searched for again.
type pass struct {
	// misses is the smallest number of tasks of each demand that found no room.
	misses map[demand]int
	// emptyCapacities caches what the workers could hold if they were empty.
	emptyCapacities map[emptyCapacityKey]emptyCapacity
	// preemptions counts the searches for work to preempt.
	preemptions int
	// candidates caches the runs that may be preempted, by requester.
	candidates map[requester]*candidates
}

func newPass() *pass {
	return &pass{misses: make(map[demand]int), emptyCapacities: make(map[emptyCapacityKey]emptyCapacity), candidates: make(map[requester]*candidates)}
}

// demand has everything of a group that decides whether it fits, except its number of tasks.
type demand struct {
	room         Resources
	affinity     string
	requires     string
	maxPerWorker int
	longRunning  bool
	queue        string
	filter       filter
}

// demand describes the group. The limit per worker only distinguishes gangs: where single tasks without a limit don't fit,
// those with one don't either.
func (g *Group) demand(f filter) demand {
	step := g.step()
	d := demand{
		room: g.taskNeed(), affinity: step.Affinity, requires: step.Requires, longRunning: step.LongRunning,
		queue: g.Job.Spec.Queue, filter: f,
	}
	if g.Count > 1 {
		d.maxPerWorker = step.MaxPerWorker
	}
	return d
}

// mayFit reports whether the group may still fit, given the demands that did not.
func (p *pass) mayFit(g *Group, f filter) bool {
	smallest, missed := p.misses[g.demand(f)]
	return !missed || g.Count < smallest
}

// missed records that the group found no room. A group that has failed on some worker is skipped, as other groups may still
// use that worker.
func (p *pass) missed(g *Group, f filter) {
	if !g.hasFailed() {
		p.misses[g.demand(f)] = g.Count
	}
}
