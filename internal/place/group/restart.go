package group

import (
	"slices"
	"time"
)

// workerRestarted ends the members that the worker's listings have shown in an earlier incarnation, as they ended with it;
// source is where the new one was read, running is what the new one lists, if that is known.
func (e *Engine) workerRestarted(w *Worker, incarnation int64, source string, running []RunningEntry, now time.Time) {
	e.emit(Decision{Kind: WorkerRestarted, Worker: w.ID, Incarnation: incarnation, Previous: w.Incarnation, Text: "read from " + source})
	w.pastIncarnations[w.Incarnation] = true
	w.Incarnation, w.incarnationSeenAt, w.LastExit, w.speed = incarnation, now, 0, unknownSpeed()
	w.pendingExits, w.reportedDurable = nil, 0
	clear(w.orphans)
	crash := w.crashEvidence()
	e.countCrash(w)
	w.moreExits = false
	for _, m := range w.sortedMembers() {
		e.memberRestarted(m, m.listedIn(running), crash[m], now)
	}
}

// memberRestarted applies a restart of its worker to the member; listed is true if the new incarnation has listed it.
//
// Orders name a worker and not its incarnation, so the new one may have executed those that the earlier one has not listed:
// its own listing decides about the members that were acknowledged, and a stop about those without a response.
func (e *Engine) memberRestarted(m *Member, listed bool, crash crashEvidence, now time.Time) {
	switch {
	case m.State == Inherited:
		// The new incarnation has not listed what it runs.
		m.missing = false
		return
	case m.State == Planned:
		// The record that is being written names the earlier incarnation.
		e.stopRun(m.Run, WorkerChanged, "its worker has restarted since the run was planned", now)
		return
	case m.State == Ended:
		return
	case listed:
	case m.State == Ordered && !m.startSent:
		e.endMember(m, Void, "", now)
		return
	case m.incarnation != 0 && !m.startUnanswered:
		e.recordCrash(m, crash, now)
		e.endMember(m, Lost, "", now)
		return
	}
	// The lease that the new incarnation granted may be longer than intended, as its clock differs.
	m.Worker.LeaseEnds = latest(m.Worker.LeaseEnds, now.Add(e.cfg.InheritedLease))
	m.restarted, m.crash = m.State == Started, crash
	m.incarnation, m.stopSent, m.stopAckedAt = 0, false, time.Time{}
	if !listed && (m.State == Ordered || m.startUnanswered) || m.Run.stopReason != "" {
		e.stopRun(m.Run, StartUnanswered, "its worker restarted before the start was confirmed", now)
	}
}

// listedIn reports whether the member is among the running tasks.
func (m *Member) listedIn(running []RunningEntry) bool {
	return slices.ContainsFunc(running, func(entry RunningEntry) bool { return entry.Task == m.task && entry.Run == m.Run.Number })
}

// WorkerReplaced ends what was ordered to run on the worker before sentAt, when a call to it was sent that another worker
// answered at its address; it reports whether anything ended. A call that the worker itself has answered since is newer.
func (e *Engine) WorkerReplaced(id string, sentAt, now time.Time) bool {
	w := e.workers[id]
	if w == nil || !sentAt.After(w.LastSeen) {
		return false
	}
	w.suspectedAt = now
	ended := len(w.orphans) > 0
	clear(w.orphans)
	crash := w.crashEvidence()
	for _, m := range w.sortedMembers() {
		if m.State != Planned && m.mayRun() && m.orderedAt.Before(sentAt) && e.mayGiveUp(m) {
			evidence := crash[m]
			evidence.suspect = evidence.suspect || m.State == Inherited && !w.Draining
			e.recordCrash(m, evidence, now)
			e.endMember(m, Lost, "", now)
			ended = true
		}
	}
	clear(w.abandoned)
	if ended {
		e.countCrash(w)
		e.emit(Decision{Kind: WorkerReplaced, Worker: w.ID, Text: "another worker answers at " + w.Address})
	}
	return ended
}

// mayStartLate reports whether an order without a response may still be executed: the worker's present incarnation has not
// listed the member, so it would not refuse the order.
func (m *Member) mayStartLate() bool {
	return m.startUnanswered && (m.incarnation == 0 || m.incarnation != m.Worker.Incarnation)
}

// MarkUnanswered records that a start order had no response and may have been executed, or may still be.
func (m *Member) MarkUnanswered() { m.startUnanswered = true }
