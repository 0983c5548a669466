package group

import "time"

const (
	// minRateWindow is the minimum time over which a task's progress is sampled, and minRatePercent the minimum progress
	// within it, as workers report whole percents.
	minRateWindow  = 350 * time.Millisecond
	minRatePercent = 8
	// maxRateWindow ends a sample even if there was less progress.
	maxRateWindow = 800 * time.Millisecond
	// gangSampleWeight and singleSampleWeight are the weights of a new sample of a worker's speed: the members of a gang have
	// equal work, other tasks of a step only nearly so.
	gangSampleWeight   = 0.3
	singleSampleWeight = 0.1
	// minFastSpeed is the speed from which a worker counts as fast; the mean speed is 1.
	minFastSpeed = 0.92
	// minAcceptableSpeed is the speed, relative to its peers, below which a worker gets no new tasks for slowWorkerPause.
	minAcceptableSpeed = 0.5
	slowWorkerPause    = 1500 * time.Millisecond
)

// sampleRate updates the member's rate of progress. A worker that delays its answer to a poll until a task exits reports the
// progress at the time of the answer, so now is when the answer came.
func (m *Member) sampleRate(percent int, now time.Time) {
	if !m.Run.complete() || percent >= 100 || m.sampleStartedAt.IsZero() {
		m.sampleStartedAt, m.sampleStartPercent = now, percent
		return
	}
	elapsed, advance := now.Sub(m.sampleStartedAt), percent-m.sampleStartPercent
	if elapsed < minRateWindow || advance < minRatePercent && elapsed < maxRateWindow {
		return
	}
	m.rate = float64(advance) / elapsed.Seconds()
	m.rateUnused = true
	m.sampleStartedAt, m.sampleStartPercent = now, percent
}

// updateSpeeds updates the workers' speeds from tasks of the same step that run on different workers.
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
	e.updateKinds(now)
}

// updateStepSpeeds applies the new rates of one step's members to their workers' speeds, keeps new tasks off workers that
// have become slow, and lists the step's gang if it may have to move.
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
	base := baseRate(members)
	weight := singleSampleWeight
	if step[0].Count > 1 {
		weight = gangSampleWeight
	}
	for _, m := range members {
		if !m.rateUnused {
			continue
		}
		m.rateUnused, e.speedsChanged = false, true
		speed := m.rate / base
		if speed < minAcceptableSpeed && !m.Worker.speed.explains(speed) {
			m.Worker.avoid(now.Add(slowWorkerPause))
		}
		m.Worker.speed.add(min(max(speed, minAcceptableSpeed), 1/minAcceptableSpeed), weight)
	}
	e.noteSlowRun(step[0], base)
}

func onSeveralWorkers(members []*Member) bool {
	for _, m := range members {
		if m.Worker != members[0].Worker {
			return true
		}
	}
	return false
}

// fast reports whether the worker is not known to be slower than most.
func (w *Worker) fast() bool { return w.speed.value >= minFastSpeed }
