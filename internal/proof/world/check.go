package world

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

// Breach is one rule that was broken.
type Breach struct {
	Rule string
	Task string
	Text string
}

// jobState is what the checks remember of a job.
type jobState struct {
	job         *Job
	cancelledAt time.Time
	// endedAt is when the phase on record became final; phase is the one on record.
	endedAt time.Time
	phase   work.Phase
	record  *work.Record
	// shownAt is when a caller was told that the job is completed; zero if none was.
	shownAt time.Time
}

// taskState is what the checks remember of a task.
type taskState struct {
	lastStart time.Time
	// done is true once an exit as done was taken note of, ended once there was one.
	done  bool
	ended bool
	// failed counts the runs that ended as failed, failuresNoted those that were taken note of.
	failed        int
	failuresNoted int
	crashes       int
}

// exitKey identifies one exit of one incarnation.
type exitKey struct {
	worker      string
	incarnation int64
	number      int64
}

// checks is what the checks remember.
type checks struct {
	breaches []Breach
	jobs     map[string]*jobState
	tasks    map[string]*taskState
	// listedAt has the exits since the last expiry of the lease, as acknowledgements of earlier ones count for nothing.
	listedAt map[exitKey]time.Time
	// quietSince is when the world became quiet after all jobs had ended.
	quietSince time.Time
}

func newChecks() checks {
	return checks{jobs: make(map[string]*jobState), tasks: make(map[string]*taskState), listedAt: make(map[exitKey]time.Time)}
}

func (c *checks) task(name string) *taskState {
	if c.tasks[name] == nil {
		c.tasks[name] = &taskState{}
	}
	return c.tasks[name]
}

// records describes the records, in a fixed order.
func (c *checks) records() (lines []string) {
	for id, j := range c.jobs {
		line := fmt.Sprint(id, j.cancelledAt.IsZero(), j.phase)
		if j.record != nil {
			line += fmt.Sprint(j.record.Groups)
		}
		lines = append(lines, line)
	}
	slices.Sort(lines)
	return lines
}

// Breaches returns the rules that were broken so far.
func (w *World) Breaches() []Breach { return w.checks.breaches }

// breach records a broken rule, once for each task.
func (w *World) breach(rule, task, format string, args ...any) {
	if slices.ContainsFunc(w.checks.breaches, func(b Breach) bool { return b.Rule == rule && b.Task == task }) {
		return
	}
	text := fmt.Sprintf(format, args...)
	w.checks.breaches = append(w.checks.breaches, Breach{Rule: rule, Task: task, Text: text})
	w.notef("%s broken by %s: %s", rule, task, text)
}

// maxCrashes is how many workers may crash under a task before a further start breaks BUDGET.
const maxCrashes = 5

// checkStart checks a run that begins.
func (w *World) checkStart(r *run, now time.Time) {
	t, seen := w.tasks[r.task], w.checks.task(r.task)
	seen.lastStart = now
	if seen.done {
		w.breach("TWICE", r.task, "run %d begins on %s after an exit as done was acknowledged", r.number, r.on.ID)
	}
	for _, o := range w.workers {
		if slices.ContainsFunc(o.runs, func(other *run) bool { return other.task == r.task }) {
			w.breach("TWICE", r.task, "run %d begins on %s while another runs on %s", r.number, r.on.ID, o.ID)
		}
	}
	if seen.failuresNoted >= w.maxAttempts(t.job) || seen.crashes >= maxCrashes {
		w.breach("BUDGET", r.task, "run %d begins after %d failures and %d crashes", r.number, seen.failuresNoted, seen.crashes)
	}
	w.checkShown(r, now)
	w.checkRoom(r)
	w.checkQuota(r, now)
	w.checkOrder(r)
	w.checkClosed(r, now)
	w.checkProbation(r, now)
	if over := w.overSince(t.job.Spec.Job); !r.late && !over.IsZero() && now.Sub(later(over, w.calmAt)) > w.cfg.Bounds.Cancel {
		w.breach("UNASKED", r.task, "run %d begins %s after its job has ended", r.number, now.Sub(over))
	}
}

func (w *World) maxAttempts(j *Job) int {
	for _, q := range w.cfg.Queues {
		if q.Name == j.Spec.Queue {
			return q.MaxAttempts
		}
	}
	return 1
}

// checkRoom checks that the run fits beside what runs on its worker.
func (w *World) checkRoom(r *run) {
	free := r.on.Capacity.Sub(w.tasks[r.task].need)
	for _, other := range r.on.runs {
		free = free.Sub(w.tasks[other.task].need)
	}
	if free.MilliCores < 0 || free.MemoryMB < 0 || free.Accelerators < 0 {
		w.breach("LIMIT", r.task, "run %d brings %s over its capacity: %+v", r.number, r.on.ID, free)
	}
}

// checkOrder checks that all tasks of the steps before have ended as done.
func (w *World) checkOrder(r *run) {
	t := w.tasks[r.task]
	spec := t.job.Spec
	for _, before := range spec.Steps[t.step].After {
		for n := range spec.Steps[before].Count {
			if name := taskName(spec.Job, before, n); !w.checks.task(name).ended {
				w.breach("ORDER", r.task, "run %d begins before %s has ended", r.number, name)
			}
		}
	}
}

// checkClosed checks that the worker takes new tasks.
func (w *World) checkClosed(r *run, now time.Time) {
	if since := r.on.drainingSince; !r.late && !since.IsZero() && now.Sub(since) > w.cfg.Bounds.Drain {
		w.breach("DRAIN", r.task, "run %d begins on %s, which has been draining for %s", r.number, r.on.ID, now.Sub(since))
	}
	if since := w.evacuated[r.on.DataCentre]; !r.late && !since.IsZero() && now.Sub(since) > w.cfg.Bounds.Evacuate {
		w.breach("EVAC", r.task, "run %d begins in %s, which was evacuated %s ago", r.number, r.on.DataCentre, now.Sub(since))
	}
}

// probation is how long a task that is suspected of a crash runs alone.
const probation = time.Second

// checkProbation checks that nothing is started beside a task that is suspected of a crash.
func (w *World) checkProbation(r *run, now time.Time) {
	for _, other := range r.on.runs {
		sameGang := other.number == r.number && slices.Contains(w.tasks[r.task].gang, other.task)
		if !sameGang && w.suspected(other) && now.Sub(other.began) < probation && !other.stopping {
			w.breach("PROBATION", r.task, "run %d begins on %s beside the suspect %s, which has run for %s", r.number, r.on.ID, other.task, now.Sub(other.began))
		}
	}
}

// suspected reports whether the task of the run was suspected of a crash on record when the run was planned.
func (w *World) suspected(r *run) bool {
	t := w.tasks[r.task]
	record := w.checks.jobs[t.job.Spec.Job].record
	if record == nil {
		return false
	}
	g := record.Groups[t.group(r.task)]
	return g.MayCrash && g.Run == r.number && len(g.Workers) > 0
}

// group is the index of the task's group in the record of its job.
func (t *task) group(name string) int {
	index := 0
	for i := range t.job.Spec.Steps {
		step := &t.job.Spec.Steps[i]
		for n := range step.Count {
			if taskName(t.job.Spec.Job, i, n) == name {
				return index
			}
			if !step.Gang {
				index++
			}
		}
		if step.Gang {
			index++
		}
	}
	return index
}

// overSince is when the job was cancelled or its end was recorded, zero if neither has happened.
func (w *World) overSince(job string) time.Time {
	j := w.checks.jobs[job]
	if !j.cancelledAt.IsZero() {
		return j.cancelledAt
	}
	return j.endedAt
}

// checkEnded checks that nothing of a job that is over runs on for too long once the world is calm.
func (w *World) checkEnded(now time.Time) {
	for _, o := range w.workers {
		for _, r := range o.runs {
			over := w.overSince(w.tasks[r.task].job.Spec.Job)
			if over.IsZero() || r.reported {
				continue
			}
			from := later(over, w.calmAt)
			if r.late {
				from = later(from, r.began.Add(w.cfg.Bounds.Contact))
			}
			if now.Sub(from) > w.cfg.Bounds.Cancel+w.cfg.Bounds.Stop {
				r.reported = true
				w.breach("UNASKED", r.task, "run %d runs on on %s, %s after its job has ended", r.number, o.ID, now.Sub(over))
			}
		}
	}
}

// checkExit checks and remembers how a run ended.
func (w *World) checkExit(r *run, status group.ExitStatus, now time.Time) {
	seen := w.checks.task(r.task)
	w.checks.listedAt[exitKey{r.on.ID, r.on.incarnation, r.on.lastExit}] = now
	switch status {
	case group.Done:
		seen.ended = true
		for _, member := range w.tasks[r.task].gang {
			w.checks.task(member).ended = true
		}
	case group.Failed:
		seen.failed++
	case group.Alone:
		job := w.tasks[r.task].job.Spec.Job
		if w.overSince(job).IsZero() && r.began.After(w.calmAt.Add(w.cfg.Bounds.Contact)) {
			w.breach("GANG", r.task, "run %d on %s waited for the other members", r.number, r.on.ID)
		}
	default:
	}
}

// lapsed forgets the exits of the worker from before its lease expired.
func (c *checks) lapsed(o *worker) {
	for _, e := range o.exits {
		delete(c.listedAt, exitKey{o.ID, o.incarnation, e.Number})
	}
}

// acknowledged checks an exit that the worker may forget.
func (w *World) acknowledged(o *worker, e group.ExitEntry, _ time.Time) {
	listedAt, counts := w.checks.listedAt[exitKey{o.ID, o.incarnation, e.Number}]
	if !counts {
		return
	}
	seen := w.checks.task(e.Task)
	switch e.Status {
	case group.Failed:
		seen.failuresNoted++
	case group.Done:
		if !seen.done && seen.lastStart.After(listedAt) {
			w.breach("TWICE", e.Task, "an exit as done on %s is acknowledged after the task was started again", o.ID)
		}
		seen.done = true
	default:
	}
}

// checkRecords checks the records that a transaction writes.
func (w *World) checkRecords(tx store.Transaction, now time.Time) {
	for _, write := range tx.Writes {
		if !strings.HasPrefix(write.Key, work.RecordPrefix) {
			continue
		}
		job, _, isPart := work.ParseRecordKey(write.Key)
		if isPart {
			w.checkPart(job, write.Data)
		} else {
			w.checkRecord(job, write.Data, now)
		}
	}
}

func (w *World) checkRecord(job string, data []byte, now time.Time) {
	record, err := work.DecodeRecord(data)
	if err != nil {
		w.breach("RECORD", job, "%s", err)
		return
	}
	j := w.checks.jobs[job]
	if j.phase.Final() && record.Phase != j.phase {
		w.breach("FINAL", job, "its final phase %s is replaced by %s", j.phase, record.Phase)
	}
	if record.Phase.Final() && j.endedAt.IsZero() {
		j.endedAt = now
	}
	if record.Division != 0 {
		// The last writes of its parts hold.
		record.Groups = j.groups()
	}
	j.phase, j.record = record.Phase, record
	w.checkCompleted(j)
}

// checkPart keeps the groups of a part that is written.
func (w *World) checkPart(job string, data []byte) {
	part, err := work.DecodePart(data)
	if err != nil {
		w.breach("RECORD", job, "%s", err)
		return
	}
	copy(w.checks.jobs[job].groups()[part.First:], part.Groups)
}

// groups returns the groups of the job on record.
func (j *jobState) groups() []work.GroupRecord {
	if j.record == nil {
		j.record = &work.Record{Groups: make([]work.GroupRecord, j.job.Spec.GroupCount())}
	}
	return j.record.Groups
}

// checkCompleted checks that a job is recorded as completed only once all its tasks have ended as done.
func (w *World) checkCompleted(j *jobState) {
	if j.phase != work.Completed {
		return
	}
	for i := range j.job.Spec.Steps {
		for n := range j.job.Spec.Steps[i].Count {
			if name := taskName(j.job.Spec.Job, i, n); !w.checks.task(name).ended {
				w.breach("MIXED", name, "its job is recorded as completed, and it has not ended")
			}
		}
	}
}

// allEnded reports whether all jobs that were submitted have ended on record.
func (w *World) allEnded() bool {
	for _, j := range w.checks.jobs {
		if !j.phase.Final() {
			return false
		}
	}
	return len(w.checks.jobs) == len(w.cfg.Jobs)
}

// crashedTwice reports whether two workers have crashed under one task of the job, after which it may be given up.
func (w *World) crashedTwice(job *Job) bool {
	for name, t := range w.tasks {
		if t.job == job && w.checks.task(name).crashes >= 2 {
			return true
		}
	}
	return false
}

// checkOpen reports the jobs that have not ended, or not as they should have, and what still runs or is listed.
func (w *World) checkOpen() {
	for id, j := range w.checks.jobs {
		mayFail := j.job.FailingRuns > 0 || w.crashedTwice(j.job)
		switch {
		case !j.phase.Final():
			w.breach("LOST", id, "it has not ended: %s", j.phase)
		case j.phase == work.Failed && !mayFail, j.phase == work.Cancelled && j.cancelledAt.IsZero():
			w.breach("LOST", id, "it ended as %s without cause", j.phase)
		}
	}
	if count := w.unacknowledged(); count > 0 {
		w.breach("ACKS", "", "%d exits are still listed", count)
	}
}
