package group

import (
	"slices"
	"time"
)

// ranIn reports whether an exit that the incarnation of the member's worker has listed is the member's. The number of the run alone does
// not tell: an owner of an earlier release may have started the run again in a later incarnation. An unknown incarnation is that of the
// member only if the worker reports none.
func (m *Member) ranIn(incarnation int64) bool {
	return incarnation == m.Worker.Incarnation || incarnation != 0 && incarnation == m.target
}

// outlived reports whether the worker has restarted since the member's run was planned, so that the run has ended or never began.
func (m *Member) outlived() bool {
	return m.target != 0 && m.Worker.Incarnation != 0 && m.target != m.Worker.Incarnation
}

// setTarget records the incarnation in which the member runs or is about to.
func (e *Engine) setTarget(m *Member, incarnation int64) {
	if m.target == incarnation {
		return
	}
	m.target = incarnation
	g := m.Run.Group
	g.record().SetIncarnation(slices.Index(m.Run.Members, m), incarnation)
	e.markGroupChanged(g)
}

// endOutlived ends a member of an earlier owner whose worker has restarted. The worker refuses orders of earlier owners, as it has
// answered this one, so the run can't begin there any more; the task gets another run with a number of its own.
func (e *Engine) endOutlived(m *Member, now time.Time) {
	e.emit(Decision{
		Kind: WorkerRestarted, Worker: m.Worker.ID, Job: m.Run.Group.Job.ID(), Task: m.task, Run: m.Run.Number, Incarnation: m.Worker.Incarnation, Previous: m.target,
		Text: "since an earlier owner planned the run",
	})
	e.endMember(m, Lost, "", now)
}
