package sets

// pass is what one decision has learned: as free room only shrinks in it, what did not fit need not be tried again.
type pass struct {
	// misses has the fewest tasks of each demand that found no room.
	misses map[demand]int
	// spans holds what the fleet could hold if it were empty.
	spans     map[spanKey]span
	evictions int
	// targets are the runs that may be stopped, by for whom.
	targets map[beneficiary]*targets
}

func newPass() *pass {
	return &pass{misses: make(map[demand]int), spans: make(map[spanKey]span), targets: make(map[beneficiary]*targets)}
}

// demand is all of a set that decides whether it fits, but for how many tasks it has.
type demand struct {
	room     Room
	affinity string
	requires string
	most     int
	lasts    bool
	queue    string
	scope    scope
}

// demand describes the set. A bound on each worker only tells gangs apart: single tasks with one fit nowhere where those
// without one don't.
func (s *Set) demand(sc scope) demand {
	step := s.step()
	d := demand{
		room: s.room(), affinity: step.Affinity, requires: step.Requires, lasts: step.Lasts,
		queue: s.Job.Spec.Queue, scope: sc,
	}
	if s.Count > 1 {
		d.most = step.MaxPerWorker
	}
	return d
}

// mayFit reports whether a search makes sense after what the pass has learned.
func (p *pass) mayFit(s *Set, sc scope) bool {
	least, missed := p.misses[s.demand(sc)]
	return !missed || s.Count < least
}

// missed notes that the set found no room. One that has failed on some worker says nothing about others.
func (p *pass) missed(s *Set, sc scope) {
	if len(s.soured) == 0 {
		p.misses[s.demand(sc)] = s.Count
	}
}
