package sets

import (
	"slices"
	"time"
)

const (
	// rateWindow is the least time over which a task's progress is measured, and rateSteps the least progress within it,
	// as workers report whole percents.
	minRateWindow  = 350 * time.Millisecond
	minRatePercent = 8
	// rateWindowMost ends a measurement however little progress there was.
	maxRateWindow = 800 * time.Millisecond
	// gangWeight and singleWeight are the weights of a new sample of a worker's speed: members of a gang have equal work,
	// other tasks of a step nearly so.
	gangSampleWeight   = 0.3
	singleSampleWeight = 0.1
	// fastFrom is the speed from which a worker counts as fast, against a mean of one.
	minFastSpeed = 0.92
	// slowBelow is the speed, against its peers', below which a worker gets no new work for slowPause.
	minAcceptableSpeed = 0.5
	slowWorkerPause    = 1500 * time.Millisecond
	// moveGain is how many times longer than a fresh start elsewhere a slow worker's rest must take for its gang to move.
	minMoveGain = 1.5
	// movesMost bounds how often a set is moved for speed.
	maxMoves = 2
)

// sampleRate measures how fast the member advances; a worker that waits for an end answers with the percents of the end of its wait.
func (m *Member) sampleRate(percent int, now time.Time) {
	if !m.Run.complete() || percent >= 100 || m.sampleStartedAt.IsZero() {
		m.sampleStartedAt, m.sampleStartPercent = now, percent
		return
	}
	took, advance := now.Sub(m.sampleStartedAt), percent-m.sampleStartPercent
	if took < minRateWindow || advance < minRatePercent && took < maxRateWindow {
		return
	}
	m.rate = float64(advance) / took.Seconds()
	m.rateUnused = true
	m.sampleStartedAt, m.sampleStartPercent = now, percent
}

// measure learns the workers' speeds from tasks of the same step that run on different workers.
func (e *Engine) updateSpeeds(now time.Time) {
	for _, j := range e.openJobs {
		if !j.rateSampled || j.Record.Phase.Final() {
			continue
		}
		j.rateSampled = false
		for _, occ := range j.occurrences {
			for _, step := range occ.steps {
				e.updateStepSpeeds(step, now)
			}
		}
	}
}

func (e *Engine) updateStepSpeeds(step []*Group, now time.Time) {
	var members []*Member
	fresh := false
	for _, g := range step {
		if g.Run == nil {
			continue
		}
		for _, m := range g.Run.Members {
			if m.State == Started && m.rate > 0 {
				members = append(members, m)
				fresh = fresh || m.rateUnused
			}
		}
	}
	if !fresh || !onSeveralWorkers(members) {
		return
	}
	base := medianRate(members)
	weight := singleSampleWeight
	if step[0].Count > 1 {
		weight = gangSampleWeight
	}
	for _, m := range members {
		if !m.rateUnused {
			continue
		}
		m.rateUnused = false
		speed := m.rate / base
		if speed < minAcceptableSpeed {
			m.Worker.avoid(now.Add(slowWorkerPause))
		}
		m.Worker.speed += weight * (min(max(speed, minAcceptableSpeed), 1/minAcceptableSpeed) - m.Worker.speed)
	}
	e.moveFromSlowWorker(step[0], base, now)
}

// medianRate is the rate that the members' work would have on a worker of speed one.
func medianRate(members []*Member) float64 {
	rates := make([]float64, len(members))
	for i, m := range members {
		rates[i] = m.rate / m.Worker.speed
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

func onSeveralWorkers(members []*Member) bool {
	for _, m := range members {
		if m.Worker != members[0].Worker {
			return true
		}
	}
	return false
}

// moveFromSlow stops a gang of which one worker has become so slow that a fresh start elsewhere is sooner done.
func (e *Engine) moveFromSlowWorker(g *Group, base float64, now time.Time) {
	run := g.Run
	if g.Count == 1 || run == nil || run.stopReason != "" || g.slowWorkerMoves >= maxMoves {
		return
	}
	remaining, restart := 0.0, 0.0
	for _, m := range run.Members {
		if m.rate <= 0 || m.State != Started {
			continue
		}
		left := float64(100 - m.Percent)
		remaining = max(remaining, left/m.rate)
		if g.step().Checkpoints {
			restart = max(restart, left/base)
		} else {
			restart = 100 / base
		}
	}
	if remaining > minMoveGain*(restart+e.cfg.StopTimeout.Seconds()) {
		g.slowWorkerMoves++
		e.stopRun(run, "one of its workers has become slow", now)
	}
}

// fast reports whether the worker is not known to be slower than most.
func (w *Worker) fast() bool { return w.speed >= minFastSpeed }

// bySpeed lists the ways to choose among slots, the best first: gangs go as fast as their slowest member, so they should
// not mix, and quick ones should have the fast workers.
func choicesBySpeed(g *Group, slots []slot, quick bool) [][]slot {
	if g.Count == 1 && !quick {
		return [][]slot{slots}
	}
	var fast, slow []slot
	for _, sl := range slots {
		if sl.worker.fast() {
			fast = append(fast, sl)
		} else {
			slow = append(slow, sl)
		}
	}
	if quick {
		return [][]slot{fast, slots}
	}
	return [][]slot{slow, fast, slots}
}
