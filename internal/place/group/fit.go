package group

import (
	"cmp"
	"slices"
	"time"
)

// withdrawUnfit withdraws the runs whose starts were not sent and that their workers can't take any more, the least urgent
// first. Members that may run stay and count as used.
func (e *Engine) withdrawUnfit(now time.Time) {
	for _, w := range e.sortedWorkers {
		if !slices.ContainsFunc(w.sortedMembers(), (*Member).unfit) {
			continue
		}
		for _, m := range w.unsentMembers() {
			if m.unfit() {
				e.stopRun(m.Run, WorkerChanged, "its worker has changed since the run was planned", now)
			}
		}
	}
}

// unfit reports whether the member's start was not sent and its worker can't take it any more.
func (m *Member) unfit() bool { return m.unsent() && !m.fits() }

// fits reports whether the worker has room for all its members and suits this one.
func (m *Member) fits() bool {
	return !m.Worker.overcommitted() && !m.Worker.entryOutdated() && m.suitsWorker()
}

// entryOutdated reports whether the worker's entry describes an earlier incarnation, whose capacity, service and labels may
// differ.
func (w *Worker) entryOutdated() bool {
	return w.listedIncarnation != 0 && w.Incarnation != w.listedIncarnation
}

// suitsWorker reports whether the member's worker has the service of its queue, if that is known, and the label that its step
// requires.
func (m *Member) suitsWorker() bool {
	g := m.Run.Group
	service := g.Job.queue.Service
	return (service == "" || m.Worker.Service == service) && m.Worker.hasLabel(g.step().Requires)
}

// unsentMembers returns the members whose start was not sent, the least urgent and then the last planned first.
func (w *Worker) unsentMembers() []*Member {
	var list []*Member
	for _, m := range w.sortedMembers() {
		if m.unsent() {
			list = append(list, m)
		}
	}
	sortLeastUrgentFirst(list)
	return list
}

// sortLeastUrgentFirst sorts members by the tier of their jobs, then the last planned first.
func sortLeastUrgentFirst(list []*Member) {
	slices.SortStableFunc(list, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(b.Run.Group.Job.tier, a.Run.Group.Job.tier), b.Run.PlannedAt.Compare(a.Run.PlannedAt))
	})
}

// unsent reports whether the member certainly does not run, as its start was not sent.
func (m *Member) unsent() bool { return m.State == Planned || m.State == Ordered && !m.startSent }

// StartFits reports whether the member's worker has room for all that may be alive there and suits the task, and its workspace is
// within its cap, as a start must not be sent otherwise. How much a run needs that is no member is unknown, so it must end first.
func (m *Member) StartFits() bool {
	return len(m.Worker.orphans) == 0 && len(m.Worker.abandoned) == 0 && m.fits() && !m.Run.Group.Job.account.exceeded()
}
