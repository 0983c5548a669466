package group

import "time"

// Exclusion is why a worker gets no new tasks.
type Exclusion int

// The reasons, in the order in which they are looked for; a worker counts for the first one.
const (
	ExcludedUnlisted Exclusion = iota
	ExcludedDraining
	ExcludedEvacuated
	// ExcludedOutdated means that the worker's entry describes an earlier incarnation.
	ExcludedOutdated
	ExcludedSilent
	ExcludedSuspect
	// ExcludedOrphans means that the worker runs tasks that no record has, whose ends are awaited.
	ExcludedOrphans
	// ExcludedAbandoned means that starts without a response were given up, and the worker has not acknowledged their stops.
	ExcludedAbandoned
	ExcludedAvoided
	ExcludedProbation
	// ExcludedFailed means that the worker is open to others, but the task group failed there.
	ExcludedFailed
)

// Fleet describes the workers that could run a task group.
type Fleet struct {
	// Workers counts those with the right service and label, Open those of them that may get the task group now; Excluded
	// counts the others.
	Workers  int
	Open     int
	Excluded map[Exclusion]int
	// AvoidedFor is the time until the first of the avoided workers gets new tasks again.
	AvoidedFor time.Duration
	// Free is the room of the open workers that no task uses, Reserved and Backfill how much of it is reserved.
	Used     Resources
	Free     Resources
	Reserved Resources
	Backfill Resources
	// Fits is how many tasks of the group have room on the open workers beside the reservations of others.
	Fits int
}

// surveyWorkers describes the workers for each of the jobs that stand.
func (e *Engine) surveyWorkers(list []Standing, now time.Time) {
	for i := range list {
		list[i].Fleet.Excluded = make(map[Exclusion]int)
	}
	if len(list) == 0 {
		return
	}
	for _, w := range e.sortedWorkers {
		usable := e.usable(w, now)
		for i := range list {
			s := &list[i]
			if w.Service == s.Service && w.hasLabel(s.group.step().Requires) {
				s.Fleet.add(e, w, s.group, usable, now)
			}
		}
	}
}

func (f *Fleet) add(e *Engine, w *Worker, g *Group, usable bool, now time.Time) {
	f.Workers++
	if !usable {
		reason := e.exclusion(w, now)
		f.Excluded[reason]++
		if remaining := w.avoidedUntil(now).Sub(now); reason == ExcludedAvoided && (f.AvoidedFor == 0 || remaining < f.AvoidedFor) {
			f.AvoidedFor = remaining
		}
		return
	}
	if g.failedOn(w) {
		f.Excluded[ExcludedFailed]++
		return
	}
	f.Open++
	f.Used, f.Free = f.Used.Add(w.Used), f.Free.Add(w.Capacity.Sub(w.Used))
	f.Reserved, f.Backfill = f.Reserved.Add(w.reserved), f.Backfill.Add(w.backfillReserved)
	f.Fits += g.taskNeed().Count(w.freeFor(g, filter{}), g.maxPerWorker())
}

// exclusion returns why the worker, which is not usable, gets no new tasks.
func (e *Engine) exclusion(w *Worker, now time.Time) Exclusion {
	switch {
	case !w.Listed:
		return ExcludedUnlisted
	case w.Draining:
		return ExcludedDraining
	case e.evacuated[w.DataCentre]:
		return ExcludedEvacuated
	case w.entryOutdated():
		return ExcludedOutdated
	case now.Sub(w.LastSeen) > e.cfg.SeenWithin || w.LastSeen.IsZero():
		return ExcludedSilent
	case w.suspect():
		return ExcludedSuspect
	case len(w.orphans) > 0:
		return ExcludedOrphans
	case len(w.abandoned) > 0:
		return ExcludedAbandoned
	case e.Avoided(w, now):
		return ExcludedAvoided
	default:
		return ExcludedProbation
	}
}
