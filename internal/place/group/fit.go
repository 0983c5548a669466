package group

import (
	"cmp"
	"slices"
	"time"
)

// withdrawUnfit withdraws the runs whose starts were not sent and for which their workers no longer have room, the least
// urgent first. Members that may run stay and count as used.
func (e *Engine) withdrawUnfit(now time.Time) {
	for _, w := range e.sortedWorkers {
		if !w.overcommitted() {
			continue
		}
		for _, m := range w.unsentMembers() {
			if w.overcommitted() {
				e.stopRun(m.Run, WorkerChanged, "its worker has less room than when the run was planned", now)
			}
		}
	}
}

// unsentMembers returns the members whose start was not sent, the least urgent and then the last planned first.
func (w *Worker) unsentMembers() []*Member {
	var list []*Member
	for _, m := range w.sortedMembers() {
		if m.unsent() {
			list = append(list, m)
		}
	}
	slices.SortStableFunc(list, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(b.Run.Group.Job.tier, a.Run.Group.Job.tier), b.Run.PlannedAt.Compare(a.Run.PlannedAt))
	})
	return list
}

// unsent reports whether the member certainly does not run, as its start was not sent.
func (m *Member) unsent() bool { return m.State == Planned || m.State == Ordered && !m.startSent }

// StartFits reports whether the member's worker has room for all that may be alive there, as a start must not be sent
// otherwise. How much a run needs that is no member is unknown, so it must end first.
func (m *Member) StartFits() bool {
	w := m.Worker
	return len(w.orphans) == 0 && len(w.abandoned) == 0 && !w.overcommitted()
}
