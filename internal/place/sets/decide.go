package sets

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Decide settles what time has brought and, if mayStart is true, plans runs for what is ready.
func (e *Engine) Decide(mayStart bool, now time.Time) {
	e.moveFinished()
	e.checkMembers(now)
	e.updateSpeeds(now)
	if !mayStart {
		return
	}
	e.refreshIndex(now)
	ready := e.readySteps(now)
	p := newPass()
	e.startReserved(p, now)
	e.placeAll(ready, p, now)
}

// tick settles leases that ran out, starts without an answer, gangs that lost a member and tasks that stand still.
func (e *Engine) checkMembers(now time.Time) {
	for _, w := range e.sortedWorkers {
		leaseExpired := w.leaseExpired(now)
		if leaseExpired && now.Sub(w.LastSeen) > e.cfg.HeardWithin {
			// Whatever was listed then is dead by now.
			clear(w.orphans)
		}
		for _, m := range w.sortedMembers() {
			switch {
			case m.State == Planned || m.State == Ended:
			case leaseExpired && (m.startSent || m.State != Ordered):
				e.emit(Note{What: WorkerLapsed, Worker: w.ID, Job: m.Run.Group.Job.ID(), Task: m.task, Run: m.Run.Number})
				e.endMember(m, Lost, "", now)
			default:
				e.checkMember(m, now)
			}
		}
	}
}

func (e *Engine) checkMember(m *Member, now time.Time) {
	run := m.Run
	switch {
	case m.stopSent || m.State == Ended:
	case !run.brokenAt.IsZero():
		e.stopRun(run, "another member ended", now)
	case m.State == Ordered && now.Sub(m.orderedAt) > e.startTimeout(m):
		m.Worker.avoid(now.Add(e.cfg.RefusalPause[Refused]))
		e.stopRun(run, "a start had no answer", now)
	case m.State == Started && m.Worker.Draining && m.shouldResumeElsewhere():
		e.stopRun(run, "its worker leaves, and it can go on elsewhere", now)
	case m.State == Started && m.outlastsWorker(now):
		e.stopRun(run, "its worker leaves before it can end", now)
	case m.State == Started && e.hangs(m, now):
		m.Worker.avoid(now.Add(e.cfg.RepeatedFailurePause))
		e.emit(Note{What: WorkerAvoided, Worker: m.Worker.ID, Job: run.Group.Job.ID(), Task: m.task, Text: "a task made no progress"})
		e.stopRun(run, "no progress", now)
	}
}

// leaveMargin is the rest of its work that a task may still finish on a worker that leaves.
const maxRemainingOnDrain = 1500 * time.Millisecond

// goesOn reports whether the member will not end before its worker has left, but can go on elsewhere.
func (m *Member) shouldResumeElsewhere() bool {
	step := m.Run.Group.step()
	return step.Lasts || step.Checkpoints && m.remaining() > maxRemainingOnDrain
}

// leaveSlack is how much longer than its worker stays a member's work must take for the run to begin anew elsewhere at once:
// what a worker says is the least, and estimates are rough.
const drainSlack = time.Second

// outlasts reports whether the member's worker will have left well before its work is done.
func (m *Member) outlastsWorker(now time.Time) bool {
	leavesAt := m.Worker.leavesAt
	return !leavesAt.IsZero() && now.Add(m.remaining()).After(leavesAt.Add(drainSlack))
}

// rest is the time that the member's work will still take as far as its progress shows, or its step's estimate.
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

// hangs reports whether the member has stood still although its worker answers and its gang is complete.
func (e *Engine) hangs(m *Member, now time.Time) bool {
	limit := max(e.cfg.HangTimeout, time.Duration(float64(m.Run.Group.step().Estimate)*hangEstimateShare))
	return m.Run.complete() && m.Percent < 99 && now.Sub(m.progressedAt) > limit && now.Sub(m.Worker.LastSeen) < hangMaxSilence
}

// hangHeard is how recently the worker must have answered for a task to count as hanging: a worker with tasks answers each
// 0.8 s at least.
const hangMaxSilence = 1500 * time.Millisecond

// hangShare of a task's estimate may pass without a new percent: three steps of a task that is slow by RemoteFactor.
const hangEstimateShare = 0.1

// Lateness of a job, by what its caller still gains.
const (
	onTime = iota
	late
	expired
)

// lateFactor times its objective is when a job's completion has lost its worth.
const expiryFactor = 3

// ready returns the steps with sets that could start, the most pressing first.
func (e *Engine) readySteps(now time.Time) []waitingStep {
	e.markWithinGuarantee(now)
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
		return cmp.Or(cmp.Compare(a.job.tier, b.job.tier), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.rank, b.rank))
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

// waitingStep is a step of a turn with sets that could start.
type waitingStep struct {
	occ  *occurrence
	step int
}

// sets lists all sets of the step, also those that don't wait.
func (ws waitingStep) groups() []*Group { return ws.occ.steps[ws.step] }

// idle counts the sets that wait.
func (ws waitingStep) waiting() int { return ws.occ.withoutRun[ws.step] }

// unlocked reports whether all steps that come before the step are done.
func (occ *occurrence) dependenciesDone(step int) bool {
	for _, earlier := range occ.job.Spec.Steps[step].After {
		if occ.unfinished[earlier] > 0 {
			return false
		}
	}
	return true
}

// entitle marks the jobs of priority 0 that are within their workspace's guarantee, the oldest first.
func (e *Engine) markWithinGuarantee(now time.Time) {
	used := make(map[string]int, len(e.guaranteed))
	for _, j := range e.openJobs {
		j.withinGuarantee = false
		if j.Record.Phase.Final() || j.Cancelled || j.queue.Priority != 0 {
			continue
		}
		workspace := j.Spec.Workspace
		need := j.unfinishedAccelerators(now)
		if used[workspace]+need > e.guaranteed[workspace] {
			continue
		}
		used[workspace] += need
		j.withinGuarantee = true
	}
}

// openNeed is the accelerators of all tasks that are not done and whose turn has come.
func (j *Job) unfinishedAccelerators(now time.Time) int {
	need := 0
	for _, g := range j.groups {
		if !g.record().Done && !g.occ.due.After(now) {
			need += g.totalNeed().Accelerators
		}
	}
	return need
}

// assess works out the turn's place in the order.
func (occ *occurrence) updateRank(now time.Time) {
	if occ.job.longRunning {
		// It earns for as long as it runs, so it is never too late.
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

// remaining is the estimated time of the longest chain of steps that are not done.
func (occ *occurrence) remaining() time.Duration {
	longest := time.Duration(0)
	// Most jobs have few steps, so this stays off the heap.
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

// evictionsPerPass bounds the searches for work to stop in one decision; the others follow with the next.
const maxPreemptionsPerPass = 8

// placeAll plans runs in order.
func (e *Engine) placeAll(ready []waitingStep, p *pass, now time.Time) {
	e.countBackfills()
	e.waitingGroups = 0
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

// place plans a run of the gang if there is room, and tries to make some if there is not.
func (e *Engine) placeGang(g *Group, p *pass, now time.Time) {
	f := e.newFilter(g, p, now)
	if p.mayFit(g, f) {
		if workers := e.findWorkers(g, f); workers != nil {
			e.planRun(g, workers, "free room", now)
			return
		}
		p.missed(g, f)
	}
	e.makeRoom(g, f, p, now)
}

// makeRoom reports whether room for the set, which found none, is on its way; if not, it says why the job waits.
func (e *Engine) makeRoom(g *Group, f filter, p *pass, now time.Time) bool {
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
	e.recordWaiting(g, now)
	return false
}

// waits records why the set found no room, and logs it once for each wait.
func (e *Engine) recordWaiting(g *Group, now time.Time) {
	if g.Job.Waiting != "" {
		return
	}
	step := g.step()
	g.Job.Waiting = fmt.Sprintf("step %d: no room for %d tasks of %d accelerators, %d thousandths of a core and %d MB; one rack: %t, near %q: %t, label %q",
		g.Step, g.Count, step.Accelerators, step.MilliCores, step.MemoryMB, step.SameRack, step.Affinity, e.dataRackOnly(g, now), step.Requires)
	e.emit(Note{What: JobWaits, Job: g.Job.ID(), Text: g.Job.Waiting})
}

// plan makes a run of the set on the workers; it starts once the intent is durable.
func (e *Engine) planRun(g *Group, workers []*Worker, why string, now time.Time) {
	rec := g.record()
	rec.Run++
	rec.From = rec.Saved
	run := &Run{Group: g, Number: rec.Run, PlannedAt: now, aliveMembers: len(workers), checkpoint: rec.Saved}
	g.Run = run
	g.occ.withoutRun[g.Step]--
	rec.On = make([]string, len(workers))
	for i, w := range workers {
		rec.On[i] = w.ID
		m := &Member{Run: run, Worker: w, State: Planned, task: g.taskName(i), progressedAt: now}
		run.Members = append(run.Members, m)
		w.attach(m)
	}
	g.Job.urgent = true
	e.markChanged(g.Job)
	g.Job.Waiting = ""
	e.emit(Note{What: RunPlaced, Job: g.Job.ID(), Task: g.taskName(0), Run: run.Number, Worker: workers[0].ID,
		Text: fmt.Sprintf("%s; %d tasks, tier %d, lateness %d, waited %s", why, len(workers), g.Job.tier, g.occ.lateness, now.Sub(g.readyAt).Round(time.Millisecond))})
}
