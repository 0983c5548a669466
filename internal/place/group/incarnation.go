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

// inheritedMissing resends a start that an earlier owner recorded but that never reached the worker, or ends the member if
// it should not or can't start any more.
//
// The recorded runs may need more than the worker has: the exit that freed room for a later run may not have been recorded.
func (e *Engine) inheritedMissing(m *Member, now time.Time) {
	m.missing = true
	switch {
	case !m.Run.wanted():
		e.endMember(m, Void, "", now)
	case m.Run.unseenWorker():
	case m.outlived():
		if e.mayGiveUp(m) {
			e.endOutlived(m, now)
		}
	case m.target == 0 && m.Worker.Incarnation != 0 && !e.mayGiveUp(m):
		// The run may have been one of an earlier incarnation, and a report may tell how it ended.
	case !e.mayStartOn(m.Worker, now) || m.Worker.overcommitted() || m.Run.Group.Job.account.exceeded():
		e.endMember(m, Void, "", now)
	case !m.Run.Group.occ.dependenciesDone(m.Run.Group.Step):
		// The ends of earlier steps were recorded in other parts of the record, which were not written.
		e.endMember(m, Void, "", now)
	default:
		e.orderStart(m, now)
	}
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
