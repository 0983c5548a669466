package sets

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Decide settles what time has brought and, if mayStart is true, plans runs for what is ready.
func (e *Engine) Decide(mayStart bool, now time.Time) {
	e.sweep()
	e.tick(now)
	e.measure(now)
	if !mayStart {
		return
	}
	e.survey(now)
	ready := e.ready(now)
	p := newPass()
	e.startClaims(p, now)
	e.placeAll(ready, p, now)
}

// tick settles leases that ran out, starts without an answer, gangs that lost a member and tasks that stand still.
func (e *Engine) tick(now time.Time) {
	for _, w := range e.order {
		lapsed := w.lapsed(now)
		if lapsed && now.Sub(w.HeardAt) > e.cfg.HeardWithin {
			// Whatever was listed then is dead by now.
			clear(w.strangers)
		}
		for _, m := range w.sorted() {
			switch {
			case m.State == Planned || m.State == Ended:
			case lapsed && (m.sent || m.State != Ordered):
				e.act(Note{What: WorkerLapsed, Worker: w.ID, Job: m.Run.Set.Job.ID(), Task: m.task, Run: m.Run.Number})
				e.endMember(m, Lost, "", now)
			default:
				e.check(m, now)
			}
		}
	}
}

func (e *Engine) check(m *Member, now time.Time) {
	run := m.Run
	switch {
	case m.stopSent || m.State == Ended:
	case !run.broken.IsZero():
		e.stopRun(run, "another member ended", now)
	case m.State == Ordered && now.Sub(m.orderedAt) > e.startTimeout(m):
		m.Worker.avoid(now.Add(e.cfg.Avoid[Refused]))
		e.stopRun(run, "a start had no answer", now)
	case m.State == Started && m.Worker.Draining && m.goesOn():
		e.stopRun(run, "its worker leaves, and it can go on elsewhere", now)
	case m.State == Started && m.outlasts(now):
		e.stopRun(run, "its worker leaves before it can end", now)
	case m.State == Started && e.hangs(m, now):
		m.Worker.avoid(now.Add(e.cfg.FaultPause))
		e.act(Note{What: WorkerAvoided, Worker: m.Worker.ID, Job: run.Set.Job.ID(), Task: m.task, Text: "a task made no progress"})
		e.stopRun(run, "no progress", now)
	}
}

// leaveMargin is the rest of its work that a task may still finish on a worker that leaves.
const leaveMargin = 1500 * time.Millisecond

// goesOn reports whether the member will not end before its worker has left, but can go on elsewhere.
func (m *Member) goesOn() bool {
	step := m.Run.Set.step()
	return step.Lasts || step.Checkpoints && m.rest() > leaveMargin
}

// leaveSlack is how much longer than its worker stays a member's work must take for the run to begin anew elsewhere at once:
// what a worker says is the least, and estimates are rough.
const leaveSlack = time.Second

// outlasts reports whether the member's worker will have left well before its work is done.
func (m *Member) outlasts(now time.Time) bool {
	at := m.Worker.leavesAt
	return !at.IsZero() && now.Add(m.rest()).After(at.Add(leaveSlack))
}

// rest is the time that the member's work will still take as far as its progress shows, or its step's estimate.
func (m *Member) rest() time.Duration {
	left := float64(100-m.Percent) / 100
	if m.rate > 0 {
		return time.Duration(100 * left / m.rate * float64(time.Second))
	}
	return time.Duration(left * float64(m.Run.Set.step().Estimate))
}

func (e *Engine) startTimeout(m *Member) time.Duration {
	if m.Worker.doubted() {
		return e.cfg.DoubtedTimeout
	}
	return e.cfg.StartTimeout
}

// hangs reports whether the member has stood still although its worker answers and its gang is complete.
func (e *Engine) hangs(m *Member, now time.Time) bool {
	limit := max(e.cfg.HangTimeout, time.Duration(float64(m.Run.Set.step().Estimate)*hangShare))
	return m.Run.whole() && m.Percent < 99 && now.Sub(m.movedAt) > limit && now.Sub(m.Worker.HeardAt) < hangHeard
}

// hangHeard is how recently the worker must have answered for a task to count as hanging: a worker with tasks answers each
// 0.8 s at least.
const hangHeard = 1500 * time.Millisecond

// hangShare of a task's estimate may pass without a new percent: three steps of a task that is slow by RemoteFactor.
const hangShare = 0.1

// Lateness of a job, by what its caller still gains.
const (
	inTime = iota
	late
	hopeless
)

// lateFactor times its objective is when a job's completion has lost its worth.
const lateFactor = 3

// ready returns the steps with sets that could start, the most pressing first.
func (e *Engine) ready(now time.Time) []waitingStep {
	e.entitle(now)
	turns := make([]*turn, 0, len(e.open))
	for _, j := range e.open {
		if j.Record.Phase.Final() || j.Cancelled {
			continue
		}
		j.rules = e.queue(j)
		j.tier = j.rules.Priority + 1
		if j.entitled {
			j.tier = 0
		}
		for _, t := range j.turns {
			if !t.due.After(now) && !t.over() {
				t.assess(now)
				turns = append(turns, t)
			}
		}
	}
	slices.SortStableFunc(turns, func(a, b *turn) int {
		return cmp.Or(cmp.Compare(a.job.tier, b.job.tier), cmp.Compare(a.lateness, b.lateness), cmp.Compare(a.rank, b.rank))
	})
	var list []waitingStep
	for _, t := range turns {
		for i := range t.steps {
			if t.idle[i] > 0 && t.unlocked(i) {
				list = append(list, waitingStep{turn: t, step: i})
			}
		}
	}
	return list
}

// waitingStep is a step of a turn with sets that could start.
type waitingStep struct {
	turn *turn
	step int
}

// sets lists all sets of the step, also those that don't wait.
func (w waitingStep) sets() []*Set { return w.turn.steps[w.step] }

// idle counts the sets that wait.
func (w waitingStep) idle() int { return w.turn.idle[w.step] }

// unlocked reports whether all steps that come before the step are done.
func (t *turn) unlocked(step int) bool {
	for _, earlier := range t.job.Spec.Steps[step].After {
		if t.left[earlier] > 0 {
			return false
		}
	}
	return true
}

// entitle marks the jobs of priority 0 that are within their workspace's guarantee, the oldest first.
func (e *Engine) entitle(now time.Time) {
	used := make(map[string]int, len(e.promised))
	for _, j := range e.open {
		j.entitled = false
		if j.Record.Phase.Final() || j.Cancelled || j.rules.Priority != 0 {
			continue
		}
		ws := j.Spec.Workspace
		need := j.openNeed(now)
		if used[ws]+need > e.promised[ws] {
			continue
		}
		used[ws] += need
		j.entitled = true
	}
}

// openNeed is the accelerators of all tasks that are not done and whose turn has come.
func (j *Job) openNeed(now time.Time) int {
	need := 0
	for _, s := range j.sets {
		if !s.record().Done && !s.turn.due.After(now) {
			need += s.need().Accelerators
		}
	}
	return need
}

// assess works out the turn's place in the order.
func (t *turn) assess(now time.Time) {
	if t.job.lasts {
		// It earns for as long as it runs, so it is never too late.
		t.lateness, t.rank = inTime, -now.Sub(t.due).Seconds()
		return
	}
	q := &t.job.rules
	objective := time.Duration(q.Stretch*float64(t.job.chain)) + q.Target
	finish := now.Add(t.remaining())
	t.lateness = hopeless
	switch {
	case !finish.After(t.due.Add(objective)):
		t.lateness = inTime
	case !finish.After(t.due.Add(lateFactor * objective)):
		t.lateness = late
	}
	t.rank = -now.Sub(t.due.Add(objective)).Seconds()
}

// remaining is the estimated time of the longest chain of steps that are not done.
func (t *turn) remaining() time.Duration {
	longest := time.Duration(0)
	// Most jobs have few steps, so this stays off the heap.
	var few [4]time.Duration
	ends := few[:]
	if len(t.steps) > len(few) {
		ends = make([]time.Duration, len(t.steps))
	}
	for i := range t.steps {
		step := &t.job.Spec.Steps[i]
		for _, earlier := range step.After {
			ends[i] = max(ends[i], ends[earlier])
		}
		if t.left[i] > 0 {
			ends[i] += step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// evictionsPerPass bounds the searches for work to stop in one decision; the others follow with the next.
const evictionsPerPass = 8

// placeAll plans runs in order.
func (e *Engine) placeAll(ready []waitingStep, p *pass, now time.Time) {
	e.countKept()
	e.waiting = 0
	for _, step := range ready {
		if first := step.sets()[0]; first.Count > 1 {
			if first.Run == nil && first.claim == nil {
				e.place(first, p, now)
			}
		} else {
			e.placeTasks(step, p, now)
		}
		e.waiting += step.idle()
	}
}

// place plans a run of the gang if there is room, and tries to make some if there is not.
func (e *Engine) place(s *Set, p *pass, now time.Time) {
	sc := e.scope(s, p, now)
	if p.mayFit(s, sc) {
		if workers := e.find(s, sc); workers != nil {
			e.plan(s, workers, "free room", now)
			return
		}
		p.missed(s, sc)
	}
	e.makeRoom(s, sc, p, now)
}

// makeRoom reports whether room for the set, which found none, is on its way; if not, it says why the job waits.
func (e *Engine) makeRoom(s *Set, sc scope, p *pass, now time.Time) bool {
	if p.evictions < evictionsPerPass && e.mayStopOthers(s, now) && !now.Before(s.claimAgain) && !now.Before(s.evictAgain) {
		p.evictions++
		if e.preempt(s, sc, p, now) {
			return true
		}
		s.evictAgain = now.Add(s.evictionPause())
	}
	if e.reserve(s, sc, now) {
		return true
	}
	e.waits(s, now)
	return false
}

// waits records why the set found no room, and logs it once for each wait.
func (e *Engine) waits(s *Set, now time.Time) {
	if s.Job.Waiting != "" {
		return
	}
	step := s.step()
	s.Job.Waiting = fmt.Sprintf("step %d: no room for %d tasks of %d accelerators, %d thousandths of a core and %d MB; one rack: %t, near %q: %t, label %q",
		s.Step, s.Count, step.Accelerators, step.MilliCores, step.MemoryMB, step.SameRack, step.Affinity, e.nearOnly(s, now), step.Requires)
	e.act(Note{What: JobWaits, Job: s.Job.ID(), Text: s.Job.Waiting})
}

// plan makes a run of the set on the workers; it starts once the intent is durable.
func (e *Engine) plan(s *Set, workers []*Worker, why string, now time.Time) {
	rec := s.record()
	rec.Run++
	rec.From = rec.Saved
	run := &Run{Set: s, Number: rec.Run, Began: now, alive: len(workers), from: rec.Saved}
	s.Run = run
	s.turn.idle[s.Step]--
	rec.On = make([]string, len(workers))
	for i, w := range workers {
		rec.On[i] = w.ID
		m := &Member{Run: run, Worker: w, State: Planned, task: s.taskName(i), movedAt: now}
		run.Members = append(run.Members, m)
		w.attach(m)
	}
	s.Job.urgent = true
	e.touch(s.Job)
	s.Job.Waiting = ""
	e.act(Note{What: RunPlaced, Job: s.Job.ID(), Task: s.taskName(0), Run: run.Number, Worker: workers[0].ID,
		Text: fmt.Sprintf("%s; %d tasks, tier %d, lateness %d, waited %s", why, len(workers), s.Job.tier, s.turn.lateness, now.Sub(s.readyAt).Round(time.Millisecond))})
}
