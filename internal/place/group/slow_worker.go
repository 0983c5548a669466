package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// minMoveGain is how many times longer than a restart elsewhere the remaining work must take for a gang to move.
	minMoveGain = 1.5
	// maxMoves limits how often a task group is moved because of slow workers.
	maxMoves = 2
	// resumeLoss is the work, in time, that a task with checkpoints repeats after a stop: it saves one when it is stopped, and resumes
	// after 100 to 250 ms.
	resumeLoss = 250 * time.Millisecond
	// unsampledShare is the share of the other workers whose speed is below the one that is expected of a worker without samples: a gang
	// is as fast as its slowest member, so one slow worker in four would make most gangs slow.
	unsampledShare = 0.1
)

// slowRun is a run with a member whose worker seems slow, and the rate of its work on a worker of speed 1.
type slowRun struct {
	run  *Run
	base float64
}

// noteSlowRun lists the gang for moveSlowRuns if a worker that was not known to be that slow makes it slow.
func (e *Engine) noteSlowRun(g *Group, base float64) {
	run := g.Run
	if g.Count == 1 || run == nil || run.stopReason != "" || g.slowWorkerMoves >= maxMoves {
		return
	}
	if float64(run.slowedRemaining(base)) > minMoveGain*float64(g.restartTime(run, base, e.cfg.StopTimeout)) {
		e.slowRuns = append(e.slowRuns, slowRun{run: run, base: base})
	}
}

// slowedRemaining returns the time that the members need for the rest of their work whose workers are slower than was known when the
// run was placed; zero if there are none.
func (r *Run) slowedRemaining(base float64) time.Duration {
	longest := time.Duration(0)
	for _, m := range r.Members {
		if m.rate > 0 && m.State == Started && !m.placedSpeed.explains(m.rate/base) {
			longest = max(longest, m.remaining())
		}
	}
	return longest
}

// restartTime returns the time until the gang would be done after a restart on workers on which its work has the rate.
func (g *Group) restartTime(run *Run, rate float64, stop time.Duration) time.Duration {
	percent := 100
	if g.step().Checkpoints {
		percent = 0
		for _, m := range run.Members {
			percent = max(percent, 100-m.Percent)
		}
		stop += resumeLoss
	}
	return stop + time.Duration(float64(percent)/rate*float64(time.Second))
}

// moveSlowRuns stops the runs that slow workers make so slow that a restart on workers that are free now finishes sooner.
func (e *Engine) moveSlowRuns(p *pass, now time.Time) {
	for _, s := range e.slowRuns {
		e.moveSlowRun(s, p, now)
	}
	e.slowRuns = e.slowRuns[:0]
}

func (e *Engine) moveSlowRun(s slowRun, p *pass, now time.Time) {
	run, g := s.run, s.run.Group
	if g.Run != run || run.stopReason != "" {
		return
	}
	speed := e.replacementSpeed(s, e.newFilter(g, p, false, now))
	if speed == 0 {
		return
	}
	remaining := run.slowedRemaining(s.base)
	restart := g.restartTime(run, s.base*speed, e.cfg.StopTimeout)
	if float64(remaining) <= minMoveGain*float64(restart) {
		return
	}
	g.slowWorkerMoves++
	e.stopRun(run, SlowWorker, slowReason(s, speed, remaining, restart), now)
}

// slowReason describes the inputs of a move.
func slowReason(s slowRun, speed float64, remaining, restart time.Duration) string {
	slowest := s.run.Members[0]
	for _, m := range s.run.Members {
		if m.rate > 0 && (slowest.rate <= 0 || m.rate < slowest.rate) {
			slowest = m
		}
	}
	return fmt.Sprintf("worker %s has become slow: speed %.2f, %.2f with certainty %.2f when placed; rest %s, restart %s at speed %.2f saves %s",
		slowest.Worker.ID, slowest.rate/s.base, slowest.placedSpeed.value, slowest.placedSpeed.confidence(),
		remaining.Round(time.Millisecond), restart.Round(time.Millisecond), speed, (remaining - restart).Round(time.Millisecond))
}

// replacementSpeed returns the speed of the slowest worker that the gang would get in a restart on the fastest workers with room, its
// own included except for the slow ones; zero if not all tasks have room.
func (e *Engine) replacementSpeed(s slowRun, f filter) float64 {
	g := s.run.Group
	list := e.listSlots(g, f)
	slots := slices.Clone(list.slots)
	unsampled := e.unsampledSpeed(s.run)
	speeds := make(map[*Worker]float64, len(slots))
	for i := range slots {
		sl := &slots[i]
		sl.fits = g.taskNeed().Count(sl.free.Add(g.taskNeed().Times(s.run.membersOn(sl.worker))), sl.maxTasks+s.run.membersOn(sl.worker))
		speeds[sl.worker] = s.expectedSpeed(sl.worker, unsampled)
	}
	choices := [][]slot{slots}
	if list.sameRack {
		choices = splitByRack(slots)
	}
	best := 0.0
	for _, choice := range choices {
		best = max(best, slowestOfFastest(choice, speeds, g.Count))
	}
	return best
}

// expectedSpeed returns the speed that the worker would have for the gang after a restart.
func (s slowRun) expectedSpeed(w *Worker, unsampled float64) float64 {
	speed := w.speed.value
	if w.speed.expectedCertainty == 0 {
		speed = unsampled + w.speed.certainty*(w.speed.value-unsampled)
	}
	for _, m := range s.run.Members {
		if m.Worker == w && m.rate > 0 {
			speed = m.rate / s.base
		}
	}
	return speed
}

// slowestOfFastest returns the speed of the slowest worker if the tasks go to the fastest slots; zero if not all fit.
func slowestOfFastest(slots []slot, speeds map[*Worker]float64, count int) float64 {
	slices.SortStableFunc(slots, func(a, b slot) int {
		return cmp.Compare(speeds[b.worker], speeds[a.worker])
	})
	for _, sl := range slots {
		if count -= sl.fits; count <= 0 {
			return speeds[sl.worker]
		}
	}
	return 0
}

// unsampledSpeed returns the speed that is expected of a worker without samples in a gang: that below which unsampledShare of the
// sampled workers are on which the run has no member.
func (e *Engine) unsampledSpeed(run *Run) float64 {
	var speeds []float64
	for _, w := range e.sortedWorkers {
		if w.Listed && w.Service == run.Group.Job.queue.Service && w.speed.certainty >= gangSampleWeight && run.membersOn(w) == 0 {
			speeds = append(speeds, w.speed.sampled())
		}
	}
	if len(speeds) == 0 {
		return 1
	}
	slices.Sort(speeds)
	return min(speeds[int(unsampledShare*float64(len(speeds)))], 1)
}

// membersOn counts the run's members on the worker.
func (r *Run) membersOn(w *Worker) int {
	n := 0
	for _, m := range r.Members {
		if m.Worker == w {
			n++
		}
	}
	return n
}
