package group_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

// failureLoad plays tasks that fail, and workers that fail what starts there, on a cluster.
type failureLoad struct {
	*cluster
	random *rand.Rand
	// ends is when each running task ends, and how.
	ends map[string]plannedEnd
	// faultyUntil is until when each worker fails what starts there.
	faultyUntil map[string]time.Time
	// flakyFrom and flakyTo are after how long each task of a job fails.
	flakyFrom, flakyTo map[string]time.Duration
	failures           int
	closedMost         int
}

// plannedEnd is the end of a run that has started.
type plannedEnd struct {
	run    int
	at     time.Time
	status group.ExitStatus
}

func newFailureLoad(t *testing.T, racks, perRack int, seed uint64) *failureLoad {
	t.Helper()
	return &failureLoad{
		cluster: newCluster(t, racks, perRack), random: rand.New(rand.NewPCG(seed, 1)), ends: make(map[string]plannedEnd),
		faultyUntil: make(map[string]time.Time), flakyFrom: make(map[string]time.Duration), flakyTo: make(map[string]time.Duration),
	}
}

// flaky lets each task of the job fail after a time between the bounds.
func (l *failureLoad) flaky(job string, from, to time.Duration) {
	l.flakyFrom[job], l.flakyTo[job] = from, to
}

// play lets the time pass; event is called before each decision.
func (l *failureLoad) play(d time.Duration, event func()) {
	l.t.Helper()
	for end := l.now.Add(d); l.now.Before(end); {
		l.now = l.now.Add(100 * time.Millisecond)
		l.endTasks()
		l.makeProgress()
		if event != nil {
			event()
		}
		if l.now.UnixMilli()%400 == 0 {
			l.pollAll()
		}
		l.step()
		l.planEnds()
		l.countClosed()
	}
}

// planEnds draws the ends of the runs that have just started, in the order of workers and tasks so that plays repeat exactly.
func (l *failureLoad) planEnds() {
	for _, info := range l.infos {
		for _, task := range sortedTasks(l.running[info.ID]) {
			run := l.running[info.ID][task].Run
			if l.ends[task].run != run {
				l.ends[task] = l.drawEnd(info.ID, task, run)
			}
		}
	}
}

func (l *failureLoad) drawEnd(worker, task string, run int) plannedEnd {
	job := l.engine.Job(task[:len(task)-len(".0.0.0")])
	if job == nil {
		job = l.engine.Job(task[:len(task)-len(".0.0.00")])
	}
	step := &job.Spec.Steps[0]
	switch from, to := l.flakyFrom[job.ID()], l.flakyTo[job.ID()]; {
	case l.now.Before(l.faultyUntil[worker]):
		return plannedEnd{run, l.now.Add(300 * time.Millisecond), group.Failed}
	case to > 0:
		return plannedEnd{run, l.now.Add(from + time.Duration(l.random.Int64N(int64(to-from)))), group.Failed}
	case step.LongRunning:
		return plannedEnd{run: run, at: l.now.Add(time.Hour)}
	default:
		return plannedEnd{run, l.now.Add(step.Estimate), group.Done}
	}
}

// makeProgress raises the progress of all that runs, as a task without any counts as hanging.
func (l *failureLoad) makeProgress() {
	for _, tasks := range l.running {
		for name, entry := range tasks {
			entry.Percent = (entry.Percent + 1) % 90
			tasks[name] = entry
		}
	}
}

func (l *failureLoad) endTasks() {
	for _, info := range l.infos {
		for _, task := range sortedTasks(l.running[info.ID]) {
			end := l.ends[task]
			if end.run != l.running[info.ID][task].Run || l.now.Before(end.at) {
				continue
			}
			if end.status == group.Failed {
				l.failures++
			}
			l.exitTask(task, end.status)
		}
	}
}

// countClosed determines the most workers that were open to no ordinary task at once.
func (l *failureLoad) countClosed() {
	l.closedMost = max(l.closedMost, l.avoided())
}

func sortedTasks(running map[string]group.RunningEntry) []string {
	var tasks []string
	for task := range running {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// longRunning returns a step of long-running tasks that each need one accelerator.
func longRunning(count int) work.Step {
	return work.Step{Count: count, MilliCores: 1000, MemoryMB: 100, Accelerators: 1, Estimate: time.Second, LongRunning: true}
}

// startDelay submits a long-running job of one task and returns the time until the task has a run, at most 20 s.
func (l *failureLoad) startDelay(id string) time.Duration {
	l.t.Helper()
	l.submit(id, batchQueue, "beta", longRunning(1))
	began := l.now
	for len(l.workersOf(id)) == 0 && l.now.Sub(began) < 20*time.Second {
		l.play(100*time.Millisecond, nil)
	}
	return l.now.Sub(began)
}

// Guards against sound long-running work that does not start though there is room (LOST): tasks of one other job fail on each worker
// with room, again and again. Most of the service is in use, as in review/9.
func TestFailuresOfOneJobKeepNoLongRunningTaskFromStarting(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := newFailureLoad(t, 2, 2, seed)
			steady := longRunning(18)
			steady.MilliCores = 4000
			l.submit("steady", batchQueue, "beta", steady)
			l.play(3*time.Second, nil)
			l.flaky("flaky", 3*time.Second, 10*time.Second)
			l.submit("flaky", batchQueue, "beta", longRunning(8))
			for n := range 3 {
				l.play(17*time.Second, nil)
				delay := l.startDelay(fmt.Sprintf("later-%d", n))
				assert.Assert(t, delay <= maxWait, "LOST: starts after %s", delay)
			}
		})
	}
}

// Guards against a fleet that one job closes (LOST): a flood of its tasks fails on all workers, of which less than half is in use. Other
// jobs start at once, and the bound on closed workers holds.
func TestFloodOfFailingTasksClosesNoMoreThanTheBound(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := newFailureLoad(t, 4, 3, seed)
			l.flaky("flood", 100*time.Millisecond, 1500*time.Millisecond)
			l.submit("flood", batchQueue, "beta", longRunning(40))
			for n := range 8 {
				l.play(5*time.Second, nil)
				delay := l.startDelay(fmt.Sprintf("sound-%d", n))
				assert.Assert(t, delay <= time.Second, "starts after %s", delay)
			}
			assert.Assert(t, l.closedMost <= 3, "%d of 12 workers were closed at once", l.closedMost)
		})
	}
}

// Guards against a fleet that is closed by many jobs, each of which fails wherever it runs: the bound holds whatever fails.
func TestFloodOfFailingJobsClosesNoMoreThanTheBound(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			l := newFailureLoad(t, 4, 3, seed)
			for n := range 20 {
				id := fmt.Sprintf("flaky-%02d", n)
				l.flaky(id, 100*time.Millisecond, 1500*time.Millisecond)
				l.submit(id, batchQueue, "beta", longRunning(2))
			}
			for n := range 8 {
				l.play(5*time.Second, nil)
				delay := l.startDelay(fmt.Sprintf("sound-%d", n))
				assert.Assert(t, delay <= time.Second, "starts after %s", delay)
			}
			assert.Assert(t, l.closedMost <= 3, "%d of 12 workers were closed at once", l.closedMost)
		})
	}
}

// faultyFleetResult is what a fleet with faulty workers served.
type faultyFleetResult struct {
	failures, failed, completed int
	// taken is the mean time from the acceptance to the end of a completed job.
	taken time.Duration
}

// playFaultyWorkers plays a minute of jobs on 40 workers, of which a share fails what starts there, each for 5 to 8 s.
func playFaultyWorkers(t *testing.T, percent int, seed uint64) (result faultyFleetResult) {
	t.Helper()
	l := newFailureLoad(t, 8, 5, seed)
	jobs := 0
	accepted := make(map[string]time.Time)
	var taken time.Duration
	l.play(time.Minute, func() {
		l.breakWorkers(len(l.infos) * percent / 100)
		jobs++
		id := fmt.Sprintf("job-%03d", jobs)
		accepted[id] = l.now
		l.submit(id, batchQueue, "beta", work.Step{
			Count: 1 + l.random.IntN(12), MilliCores: 1000, Accelerators: 1, Estimate: time.Duration(500+l.random.IntN(2500)) * time.Millisecond,
		})
		for id, at := range accepted {
			j := l.engine.Job(id)
			if j == nil || !j.Record.Phase.Final() {
				continue
			}
			delete(accepted, id)
			if j.Record.Phase == work.Failed {
				result.failed++
				continue
			}
			result.completed++
			taken += l.now.Sub(at)
		}
	})
	result.failures, result.taken = l.failures, taken/time.Duration(max(result.completed, 1))
	return result
}

// breakWorkers lets so many workers at a time fail what starts there.
func (l *failureLoad) breakWorkers(count int) {
	faulty := 0
	for _, until := range l.faultyUntil {
		if l.now.Before(until) {
			faulty++
		}
	}
	for ; faulty < count; faulty++ {
		id := l.infos[l.random.IntN(len(l.infos))].ID
		for l.now.Before(l.faultyUntil[id]) {
			id = l.infos[l.random.IntN(len(l.infos))].ID
		}
		l.faultyUntil[id] = l.now.Add(5*time.Second + time.Duration(l.random.IntN(3000))*time.Millisecond)
	}
}

// failuresOnFaultyWorkers is how many runs failed in the plays of each share of faulty workers before the bound on closed workers
// (0ea0808d). No job failed, and the mean time to completion was 1.81 s.
var failuresOnFaultyWorkers = map[int]int{5: 455, 10: 824, 15: 1341}

// Guards against a bound that keeps faulty workers open: 5 to 15 percent of the workers fail all that starts there, each for 5 to 8 s. The
// failures may be one in twenty more than before the bound, as the draws of ends shift with each placement.
func TestFaultyWorkersAreAvoidedWithinTheBound(t *testing.T) {
	for percent, before := range failuresOnFaultyWorkers {
		t.Run(fmt.Sprint(percent, " percent"), func(t *testing.T) {
			const seeds = 8
			var sum faultyFleetResult
			for seed := range uint64(seeds) {
				r := playFaultyWorkers(t, percent, seed)
				sum.failures, sum.failed, sum.taken = sum.failures+r.failures, sum.failed+r.failed, sum.taken+r.taken/seeds
			}
			t.Logf("%d failures, %d jobs failed, %s to completion", sum.failures, sum.failed, sum.taken)
			assert.Equal(t, sum.failed, 0)
			assert.Assert(t, sum.failures <= before+before/20, "%d failures, %d before the bound", sum.failures, before)
			assert.Assert(t, sum.taken <= 1830*time.Millisecond, "%s to completion", sum.taken)
		})
	}
}
