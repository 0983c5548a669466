package group_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/work"
	"gotest.tools/v3/assert"
)

var faultySeeds = flag.Int("faulty.seeds", 40, "number of random plays of a faulty fleet")
var faultyFirst = flag.Int("faulty.first", 1, "first seed of the random plays of a faulty fleet")

const (
	faultyTick = 100 * time.Millisecond
	// faultsLast is how long faults happen. After that, leases may last for settleTime.
	faultsLast = 15 * time.Second
	settleTime = worstWorkerLease
	calmLasts  = 15 * time.Second
)

// Guards against jobs that stand after all faults have ended (LOST): starts and stops without an answer, silent workers, crashes,
// failures, commits that are lost or rejected, changes of the list and of the owner.
func TestNoJobStandsOnceFaultsHaveEnded(t *testing.T) {
	for seed := *faultyFirst; seed < *faultyFirst+*faultySeeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := newFaultyFleet(t, uint64(seed))
			f.play(faultsLast)
			f.settle()
			f.play(settleTime)
			f.judged = true
			f.play(calmLasts)
			f.assertAllWorkersOpen()
		})
	}
}

// play lets the time pass.
func (f *faultyFleet) play(d time.Duration) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(faultyTick)
		f.submitSome()
		if !f.calm {
			f.disrupt()
		}
		for _, w := range f.workers {
			f.runTasks(w)
		}
		if f.now.UnixMilli()%400 == 0 {
			f.list()
		}
		for _, w := range f.workers {
			if f.now.Sub(w.polledAt) >= 400*time.Millisecond {
				f.poll(w)
			}
		}
		f.decide()
		f.sendStops()
		f.sendStarts()
		f.checkStanding()
	}
}

// assertAllWorkersOpen checks that each worker gets a task once all jobs are cancelled.
func (f *faultyFleet) assertAllWorkersOpen() {
	f.t.Helper()
	f.closed = true
	for id := range f.specs {
		f.engine.Cancel(id, f.now)
	}
	f.play(time.Second)
	f.submit(quickQueue, work.Step{Count: len(f.workers), MilliCores: 1000, MemoryMB: 1000, Accelerators: 8, Estimate: time.Minute})
	f.play(maxWait)
	for _, w := range f.workers {
		assert.Equal(f.t, len(w.running), 1, "LOST: %s gets no task", w.info.ID)
	}
}

// submit submits a job.
func (f *faultyFleet) submit(queue string, steps ...work.Step) {
	f.submitted++
	id := fmt.Sprintf("job-%d", f.submitted)
	f.specs[id] = &work.Spec{Job: id, Queue: queue, Workspace: []string{"alpha", "beta"}[f.random.IntN(2)], Steps: steps}
	f.engine.Load(f.specs[id], nil, 0, f.now, f.now)
}

// submitSome submits a job now and then.
func (f *faultyFleet) submitSome() {
	if f.closed || !f.chance(0.008*float64(len(f.workers))) {
		return
	}
	step := func() work.Step {
		return work.Step{Count: 1 + f.random.IntN(4), MilliCores: 1000, MemoryMB: 1000, Accelerators: 1 << f.random.IntN(4),
			Estimate: time.Duration(1+f.random.IntN(5)) * time.Second, Gang: f.chance(0.4), SameRack: f.chance(0.5), Checkpoints: f.chance(0.3)}
	}
	steps := []work.Step{step()}
	if f.chance(0.4) {
		steps = append(steps, step())
		steps[1].After = []int{0}
	}
	if f.chance(0.3) {
		steps[0].Affinity = fmt.Sprintf("r%d", f.random.IntN(4))
	}
	if f.chance(0.2) {
		steps[0].MaxPerWorker = 1
	}
	if f.chance(0.1) {
		steps[0].Requires = fmt.Sprintf("r%d", f.random.IntN(4))
	}
	f.submit([]string{quickQueue, batchQueue, batchQueue}[f.random.IntN(3)], steps...)
}

// disrupt begins and ends faults.
func (f *faultyFleet) disrupt() {
	if f.chance(0.03) {
		f.elect()
	}
	for _, w := range f.workers {
		switch {
		case f.chance(0.01):
			w.silent = !w.silent
		case f.chance(0.01):
			w.lossy = !w.lossy
		case f.chance(0.005):
			w.failing = !w.failing
		case f.chance(0.003) && w.up:
			w.restart()
			w.up = false
		case f.chance(0.1) && !w.up:
			w.up = true
		case f.chance(0.003):
			w.listed = !w.listed
		case f.chance(0.003):
			w.info.Draining = !w.info.Draining
		}
	}
}

// settle ends all faults.
func (f *faultyFleet) settle() {
	f.calm = true
	for _, w := range f.workers {
		w.up, w.listed, w.silent, w.lossy, w.failing, w.info.Draining = true, true, false, false, false, false
	}
}

// runTasks lets the tasks on the worker work, and kills them once its lease has expired.
func (f *faultyFleet) runTasks(w *faultyWorker) {
	for _, task := range slices.Sorted(maps.Keys(w.running)) {
		t := w.running[task]
		switch {
		case f.now.After(w.leaseEnds):
			w.exit(task, group.Lapsed)
		case t.failing && f.now.Sub(t.began) > 300*time.Millisecond:
			w.exit(task, group.Failed)
		case t.step.Gang && !f.complete(t):
			if f.now.Sub(t.began) > aloneAfter {
				w.exit(task, group.Alone)
			}
		default:
			t.worked += faultyTick
			t.entry.Percent = min(int(100*t.worked/t.step.Estimate), 99)
			if t.worked >= t.step.Estimate {
				w.exit(task, group.Done)
			}
		}
	}
}

// complete reports whether all members of the gang run, or one of them has ended as done.
func (f *faultyFleet) complete(t *faultyTask) bool {
	if t.worked > 0 {
		return true
	}
	members := 0
	prefix := t.entry.Task[:strings.LastIndex(t.entry.Task, ".")+1]
	for _, w := range f.workers {
		for task, other := range w.running {
			if strings.HasPrefix(task, prefix) && other.entry.Run == t.entry.Run {
				members++
			}
		}
	}
	return members == t.step.Count
}

// checkStanding fails the test if a job stands for longer than maxWait in calm time.
func (f *faultyFleet) checkStanding() {
	f.t.Helper()
	for id := range f.specs {
		j := f.engine.Job(id)
		if !f.judged || j == nil || j.Record.Phase.Final() || !f.stands(j) {
			delete(f.standing, id)
			continue
		}
		if _, known := f.standing[id]; !known {
			f.standing[id] = f.now
		}
		if f.now.Sub(f.standing[id]) > maxWait {
			var lines []string
			for _, line := range f.log {
				if strings.Contains(line, "job="+id+" ") {
					lines = append(lines, line)
				}
			}
			assert.Assert(f.t, false, "LOST: %s stands since %s; waits: %q; steps %+v; groups %+v\n%s", id, f.standing[id].Format("05.0"), j.Waiting, j.Spec.Steps, j.Record.Groups, strings.Join(lines, "\n"))
		}
	}
}

// stands reports whether nothing of the job runs though a task of it could, with room twice over and under half of the fleet in use.
func (f *faultyFleet) stands(j *group.Job) bool {
	used, capacity := 0, 0
	for _, w := range f.workers {
		used, capacity = used+w.used().Accelerators, capacity+w.info.Capacity.Accelerators
		for _, t := range w.running {
			if t.job == j.ID() {
				return false
			}
		}
	}
	if 2*used >= capacity {
		return false
	}
	at := 0
	done := make([]bool, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		groups := step.Count
		if step.Gang {
			groups = 1
		}
		done[i] = true
		for _, record := range j.Record.Groups[at : at+groups] {
			done[i] = done[i] && record.Done
		}
		at += groups
		ready := true
		for _, earlier := range step.After {
			ready = ready && done[earlier]
		}
		if ready && !done[i] && f.hasRoomTwice(step) {
			return true
		}
	}
	return false
}

// hasRoomTwice reports whether a task of the step, or its whole gang, fits into the free room twice.
func (f *faultyFleet) hasRoomTwice(step *work.Step) bool {
	count, fits := 1, 0
	if step.Gang {
		count = step.Count
	}
	limit := 2 * count
	if step.MaxPerWorker > 0 {
		limit = step.MaxPerWorker
	}
	for _, w := range f.workers {
		if step.Requires != "" && step.Requires != w.info.Rack {
			continue
		}
		fits += needOf(step).Count(w.info.Capacity.Sub(w.used()), limit)
	}
	return fits >= 2*count
}
