package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Decide applies what follows from the passage of time, such as expired leases and unanswered starts, and, if mayStart is
// true, plans runs for the task groups that are ready.
func (e *Engine) Decide(mayStart bool, now time.Time) {
	e.moveFinished()
	e.measureCrashRate(now)
	e.checkMembers(now)
	e.withdrawUnfit(now)
	e.refreshAccounts(now)
	e.withdrawCapped(now)
	e.slowRuns = e.slowRuns[:0]
	e.updateSpeeds(now)
	if !mayStart {
		return
	}
	e.refreshIndex(now)
	ready := e.suspectsLast(e.readySteps(now), now)
	p := newPass()
	e.moveSlowRuns(p, now)
	e.startReserved(p, now)
	e.placeAll(ready, p, now)
}

// checkMembers ends the members of workers whose leases have expired and checks all others.
func (e *Engine) checkMembers(now time.Time) {
	for _, w := range e.sortedWorkers {
		leaseExpired := w.leaseExpired(now)
		silent := w.silent(now)
		if leaseExpired && now.Sub(w.LastSeen) > e.cfg.SeenWithin {
			// The runs in the worker's last listing are dead, as their leases have expired.
			clear(w.orphans)
		}
		var crash map[*Member]crashEvidence
		if leaseExpired && len(w.members) > 0 {
			crash = w.crashEvidence()
		}
		for _, m := range w.sortedMembers() {
			switch {
			case m.State == Planned || m.State == Ended:
			case leaseExpired && m.mayRun() && e.mayGiveUp(m):
				e.emit(Decision{Kind: WorkerLapsed, Worker: w.ID, Job: m.Run.Group.Job.ID(), Task: m.task, Run: m.Run.Number})
				// A worker that is cut off may run on, so this is no certain crash.
				e.recordCrash(m, crashEvidence{suspect: crash[m].suspect}, now)
				e.endMember(m, Lost, "", now)
			default:
				if silent && m.mayRun() && now.Sub(m.Run.PlannedAt) > silentAfter {
					e.reportHeld(m, now)
				}
				e.checkMember(m, now)
			}
		}
	}
}

// mayRun reports whether the member's start may have reached its worker.
func (m *Member) mayRun() bool { return m.startSent || m.State != Ordered }

// reportHeld logs, once for each time that the worker falls silent, until when the member counts as alive and why.
func (e *Engine) reportHeld(m *Member, now time.Time) {
	if m.heldReported {
		return
	}
	m.heldReported = true
	until, holder := m.Worker.heldUntil()
	e.emit(Decision{
		Kind: RunHeld, Job: m.Run.Group.Job.ID(), Worker: m.Worker.ID, Task: m.task, Run: m.Run.Number, Remaining: until.Sub(now), Text: holder,
	})
}

// checkMember stops the member's run if its job has ended, if another member ended without success, if the start is unanswered
// for too long, if the worker leaves too soon, or if the member makes no progress.
func (e *Engine) checkMember(m *Member, now time.Time) {
	run := m.Run
	phase := run.Group.Job.Record.Phase
	switch {
	case m.stopSent || m.State == Ended:
	case phase.Final():
		// The owner that recorded the phase may have been lost before it stopped the run.
		e.stopRun(run, endCause(phase), "its job was recorded as "+phase.String(), now)
	case m.State == Inherited && m.missing:
		e.inheritedMissing(m, now)
	case run.broken():
		e.stopRun(run, MemberEnded, "another member ended without success", now)
	case m.State == Ordered && now.Sub(m.orderedAt) > e.startTimeout(m):
		m.Worker.avoid(now.Add(e.cfg.RefusalPause[Refused]))
		e.stopRun(run, StartUnanswered, "a start was not answered in time", now)
	case m.State == Started && m.Worker.Draining && m.shouldResumeElsewhere():
		e.stopRun(run, WorkerLeaving, "its worker is leaving, and the task can resume elsewhere", now)
	case m.State == Started && m.outlastsWorker(now):
		e.stopRun(run, OutlastsWorker, "its worker will leave before the task can finish", now)
	case m.State == Started && e.hangs(m, now):
		m.Worker.avoid(now.Add(e.cfg.RepeatedFailurePause))
		e.emit(Decision{Kind: WorkerAvoided, Worker: m.Worker.ID, Job: run.Group.Job.ID(), Task: m.task, Text: "a task made no progress"})
		e.stopRun(run, NoProgress, "no progress", now)
	}
}

// maxRemainingOnDrain is the longest remaining work that a task with checkpoints may still finish on a worker that leaves.
const maxRemainingOnDrain = 1500 * time.Millisecond

// shouldResumeElsewhere reports whether the member is to leave its draining worker now: it is a long-running task, or it has
// checkpoints and too much work left to finish there.
func (m *Member) shouldResumeElsewhere() bool {
	step := m.Run.Group.step()
	return step.LongRunning || step.Checkpoints && m.remaining() > maxRemainingOnDrain
}

// drainSlack is how far a member's estimated end must lie after its worker's departure for the run to restart elsewhere at
// once: the departure is the earliest one possible, and estimates are rough.
const drainSlack = time.Second

// outlastsWorker reports whether the member's estimated end lies more than drainSlack after its worker's departure.
func (m *Member) outlastsWorker(now time.Time) bool {
	leavesAt := m.Worker.leavesAt
	return !leavesAt.IsZero() && now.Add(m.remaining()).After(leavesAt.Add(drainSlack))
}

// remaining estimates the time that the member's remaining work takes, from its measured rate or else its step's estimate.
func (m *Member) remaining() time.Duration {
	share := float64(100-m.Percent) / 100
	if m.rate > 0 {
		return time.Duration(100 * share / m.rate * float64(time.Second))
	}
	return time.Duration(share * float64(m.Run.Group.step().Estimate))
}

func (e *Engine) startTimeout(m *Member) time.Duration {
	if m.Worker.suspect() {
		return e.cfg.SuspectStartTimeout
	}
	return e.cfg.StartTimeout
}

// hangs reports whether the member has made no progress for too long although its worker responds and its gang is complete.
func (e *Engine) hangs(m *Member, now time.Time) bool {
	if m.Worker.moreExits {
		return false
	}
	limit := max(e.cfg.HangTimeout, time.Duration(float64(m.Run.Group.step().Estimate)*hangEstimateShare))
	return m.Run.complete() && m.Percent < 99 && now.Sub(m.progressedAt) > limit && now.Sub(m.Worker.LastSeen) < hangMaxSilence
}

// hangMaxSilence is the maximum time since the worker's last response for a task to count as hanging: a worker with tasks
// responds at least every 0.8 s.
const hangMaxSilence = 1500 * time.Millisecond

// hangEstimateShare is the share of a task's estimate that may pass without a new percent: about the time in which a task
// that takes RemoteFactor times as long advances by three percent.
const hangEstimateShare = 0.1

// Lateness of an occurrence against its objective, by what its completion is still worth to the caller.
const (
	onTime = iota
	late
	expired
)

// expiryFactor is the multiple of its objective after which the completion of an occurrence is worth nothing.
const expiryFactor = 3

// readySteps returns the steps with task groups that could start, the most urgent first.
func (e *Engine) readySteps(now time.Time) []waitingStep {
	e.markWithinGuarantee(now)
	e.refreshShares()
	occs := make([]*occurrence, 0, len(e.openJobs))
	for _, j := range e.openJobs {
		if j.Record.Phase.Final() || j.Cancelled {
			continue
		}
		j.queue = e.queue(j)
		j.tier = j.queue.Priority + 1
		if j.withinGuarantee {
			j.tier = 0
		}
		for _, occ := range j.occurrences {
			if !occ.due.After(now) && !occ.done() {
				occ.updateRank(now)
				occs = append(occs, occ)
			}
		}
	}
	slices.SortStableFunc(occs, func(a, b *occurrence) int {
		return cmp.Or(cmp.Compare(a.job.tier, b.job.tier), cmp.Compare(a.class(), b.class()), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.rank, b.rank))
	})
	var list []waitingStep
	for _, occ := range occs {
		for i := range occ.steps {
			if occ.withoutRun[i] > 0 && occ.dependenciesDone(i) {
				list = append(list, waitingStep{occ: occ, step: i})
			}
		}
	}
	return list
}

// class orders the occurrences of a tier: those of workspaces above their share come after the others, and what is worth nothing any
// more comes last.
func (occ *occurrence) class() int {
	switch {
	case occ.lateness == expired:
		return 2
	case occ.job.account.aboveShare:
		return 1
	default:
		return 0
	}
}

// waitingStep is a step of an occurrence with task groups that could start.
type waitingStep struct {
	occ  *occurrence
	step int
}

// groups lists all task groups of the step, including those that don't wait.
func (ws waitingStep) groups() []*Group { return ws.occ.steps[ws.step] }

// waiting counts the task groups of the step that are not done and have no run.
func (ws waitingStep) waiting() int { return ws.occ.withoutRun[ws.step] }

// dependenciesDone reports whether all steps that the step depends on are done.
func (occ *occurrence) dependenciesDone(step int) bool {
	for _, earlier := range occ.job.Spec.Steps[step].After {
		if occ.unfinished[earlier] > 0 {
			return false
		}
	}
	return true
}

// markWithinGuarantee marks the jobs of priority 0 that are within their workspace's guarantee; older jobs come first.
func (e *Engine) markWithinGuarantee(now time.Time) {
	used := make(map[*account]int, len(e.accounts))
	for _, j := range e.openJobs {
		j.withinGuarantee = false
		if j.Record.Phase.Final() || j.Cancelled || j.queue.Priority != 0 {
			continue
		}
		need := j.unfinishedAccelerators(now)
		if used[j.account]+need > j.account.Guaranteed {
			continue
		}
		used[j.account] += need
		j.withinGuarantee = true
	}
}

// unfinishedAccelerators counts the accelerators of all tasks that are not done and whose occurrence is due.
func (j *Job) unfinishedAccelerators(now time.Time) int {
	need := 0
	for _, g := range j.groups {
		if !g.record().Done && !g.occ.due.After(now) {
			need += g.totalNeed().Accelerators
		}
	}
	return need
}

// updateRank computes the occurrence's lateness and rank.
func (occ *occurrence) updateRank(now time.Time) {
	if occ.job.longRunning {
		// A long-running service is useful for as long as it runs, so it is never late.
		occ.lateness, occ.rank = onTime, -now.Sub(occ.due).Seconds()
		return
	}
	q := &occ.job.queue
	objective := time.Duration(q.Stretch*float64(occ.job.criticalPath)) + q.Target
	completion := now.Add(occ.remaining())
	occ.lateness = expired
	switch {
	case !completion.After(occ.due.Add(objective)):
		occ.lateness = onTime
	case !completion.After(occ.due.Add(expiryFactor * objective)):
		occ.lateness = late
	}
	occ.rank = -now.Sub(occ.due.Add(objective)).Seconds()
}

// remaining estimates the time of the longest chain of steps that are not done.
func (occ *occurrence) remaining() time.Duration {
	longest := time.Duration(0)
	// A buffer on the stack saves most jobs a heap allocation, as they have few steps.
	var stackBuffer [4]time.Duration
	finishTimes := stackBuffer[:]
	if len(occ.steps) > len(stackBuffer) {
		finishTimes = make([]time.Duration, len(occ.steps))
	}
	for i := range occ.steps {
		step := &occ.job.Spec.Steps[i]
		for _, earlier := range step.After {
			finishTimes[i] = max(finishTimes[i], finishTimes[earlier])
		}
		if occ.unfinished[i] > 0 {
			finishTimes[i] += step.Estimate
		}
		longest = max(longest, finishTimes[i])
	}
	return longest
}

// maxPreemptionsPerPass limits the searches for work to preempt in one decision; the next decision continues with the rest.
const maxPreemptionsPerPass = 8

// placeAll plans runs for the steps in their order.
func (e *Engine) placeAll(ready []waitingStep, p *pass, now time.Time) {
	e.countBackfills()
	e.waitingGroups, e.roomWaiters = 0, 0
	for _, step := range ready {
		if first := step.groups()[0]; first.Count > 1 {
			if first.Run == nil && first.reservation == nil {
				e.placeGang(first, p, now)
			}
		} else {
			e.placeTasks(step, p, now)
		}
		e.waitingGroups += step.waiting()
	}
}

// placeGang plans a run of the gang if there is room, and otherwise tries to make room.
func (e *Engine) placeGang(g *Group, p *pass, now time.Time) {
	if g.heldAsSuspect(now) || e.heldByCap(g, p, now) {
		return
	}
	workers, f := e.findRoom(g, p, now, func(f filter) []*Worker { return e.findUnlessMissed(g, f, p) })
	if workers != nil {
		e.planRun(g, workers, FreeRoom, "free room", now)
		return
	}
	e.makeRoom(g, f, p, now)
}

// findRoom returns the result of find with the filter of the group, or nil if there is no room. Workers on which the group failed
// come last, and then, if it is overdue, any others. It also returns the last filter that was used.
func (e *Engine) findRoom(g *Group, p *pass, now time.Time, find func(filter) []*Worker) ([]*Worker, filter) {
	f := e.newFilter(g, p, false, now)
	workers := find(f)
	if workers == nil && g.mayRetryFailed(now) {
		f = e.newFilter(g, p, true, now)
		workers = find(f)
	}
	if workers == nil && e.overdue(g, now) {
		f = e.overdueFilter(g, p, now)
		workers = find(f)
	}
	return workers, f
}

// findUnlessMissed is findWorkers, unless this decision has shown already that the group does not fit.
func (e *Engine) findUnlessMissed(g *Group, f filter, p *pass) []*Worker {
	if !p.mayFit(g, f) {
		return nil
	}
	workers := e.findWorkers(g, f)
	if workers == nil {
		p.missed(g, f)
	}
	return workers
}

// makeRoom preempts other work or makes a backfill reservation for a group that found no room, and reports whether it did;
// if not, it records why the job waits.
func (e *Engine) makeRoom(g *Group, f filter, p *pass, now time.Time) bool {
	e.roomWaiters++
	if p.preemptions < maxPreemptionsPerPass && e.mayPreempt(g, now) && !now.Before(g.nextReservationAt) && !now.Before(g.nextPreemptionAt) {
		p.preemptions++
		if e.preempt(g, f, p, now) {
			return true
		}
		g.nextPreemptionAt = now.Add(g.preemptionRetryDelay())
	}
	if e.reserveBackfill(g, f, now) {
		return true
	}
	e.recordWaiting(g, f)
	return false
}

// recordWaiting records why the group found no room, and logs it once for each wait.
func (e *Engine) recordWaiting(g *Group, f filter) {
	if g.Job.Waiting != "" {
		return
	}
	step := g.step()
	g.Job.Waiting = fmt.Sprintf("step %d: no room for %d tasks of %d accelerators, %d millicores and %d MB; in one rack: %t, only in rack %q: %t, label %q",
		g.Step, g.Count, step.Accelerators, step.MilliCores, step.MemoryMB, step.SameRack, step.Affinity, f.dataRackOnly, step.Requires)
	e.emit(Decision{Kind: JobWaits, Job: g.Job.ID(), Task: g.taskName(0), Cause: e.waitCause(g, f), Text: g.Job.Waiting})
}

// waitCause returns why a group that found no room has none.
func (e *Engine) waitCause(g *Group, f filter) Cause {
	if !f.retryFailed && slices.ContainsFunc(e.sortedWorkers, func(w *Worker) bool { return g.failedOn(w) && w.eligible(g) && !e.Closed(w) }) {
		return RetryDelayed
	}
	fits, accelerators := 0, 0
	for _, w := range e.sortedWorkers {
		if !w.open || !f.allows(g, w) {
			continue
		}
		free := w.Capacity.Sub(w.Used)
		fits += g.taskNeed().Count(free, g.Count)
		accelerators += max(free.Accelerators, 0)
	}
	switch {
	case fits >= g.Count && !f.sameRack && !f.dataRackOnly:
		return RoomReserved
	case accelerators >= g.totalNeed().Accelerators:
		return Scattered
	default:
		return FleetFull
	}
}

// planRun plans a run of the group on the workers; the run starts once its intent record is durable.
func (e *Engine) planRun(g *Group, workers []*Worker, cause Cause, why string, now time.Time) {
	rec := g.record()
	rec.Run++
	rec.StartedFrom = rec.Checkpoint
	run := &Run{Group: g, Number: rec.Run, PlannedAt: now, aliveMembers: len(workers), checkpoint: rec.Checkpoint}
	g.Run = run
	g.occ.withoutRun[g.Step]--
	rec.Workers, rec.Incarnations = make([]string, len(workers)), make([]int64, len(workers))
	for i, w := range workers {
		rec.Workers[i], rec.Incarnations[i] = w.ID, w.Incarnation
		m := &Member{Run: run, Worker: w, State: Planned, task: g.taskName(i), target: w.Incarnation, progressedAt: now, placedSpeed: w.speed}
		run.Members = append(run.Members, m)
		w.attach(m)
	}
	if g.suspected() {
		run.beginProbation()
		g.delaySuspects(now)
	}
	if !slices.ContainsFunc(rec.Incarnations, func(incarnation int64) bool { return incarnation != 0 }) {
		rec.Incarnations = nil
	}
	g.Job.urgent = true
	e.markGroupChanged(g)
	g.Job.Waiting, g.Job.standing = "", false
	e.emit(Decision{
		Kind: RunPlaced, Job: g.Job.ID(), Task: g.taskName(0), Run: run.Number, Worker: workers[0].ID, Cause: cause, Tasks: len(workers),
		Tier: g.Job.tier, Lateness: g.occ.lateness, Waited: now.Sub(g.readyAt), Estimate: g.step().Estimate, Text: why,
	})
}
