package sets

import (
	"slices"
	"time"
)

const (
	// rateWindow is the least time over which a task's progress is measured, and rateSteps the least progress within it,
	// as workers report whole percents.
	rateWindow = 350 * time.Millisecond
	rateSteps  = 8
	// rateWindowMost ends a measurement however little progress there was.
	rateWindowMost = 800 * time.Millisecond
	// gangWeight and singleWeight are the weights of a new sample of a worker's speed: members of a gang have equal work,
	// other tasks of a step nearly so.
	gangWeight   = 0.3
	singleWeight = 0.1
	// fastFrom is the speed from which a worker counts as fast, against a mean of one.
	fastFrom = 0.92
	// slowBelow is the speed, against its peers', below which a worker gets no new work for slowPause.
	slowBelow = 0.5
	slowPause = 1500 * time.Millisecond
	// moveGain is how many times longer than a fresh start elsewhere a slow worker's rest must take for its gang to move.
	moveGain = 1.5
	// movesMost bounds how often a set is moved for speed.
	movesMost = 2
)

// sampleRate measures how fast the member advances; a worker that waits for an end answers with the percents of the end of its wait.
func (m *Member) sampleRate(percent int, now time.Time) {
	if !m.Run.whole() || percent >= 100 || m.rateAt.IsZero() {
		m.rateAt, m.ratePercent = now, percent
		return
	}
	took, advance := now.Sub(m.rateAt), percent-m.ratePercent
	if took < rateWindow || advance < rateSteps && took < rateWindowMost {
		return
	}
	m.rate = float64(advance) / took.Seconds()
	m.rateFresh = true
	m.rateAt, m.ratePercent = now, percent
}

// measure learns the workers' speeds from tasks of the same step that run on different workers.
func (e *Engine) measure(now time.Time) {
	for _, j := range e.open {
		if !j.measured || j.Record.Phase.Final() {
			continue
		}
		j.measured = false
		for _, t := range j.turns {
			for _, step := range t.steps {
				e.measureStep(step, now)
			}
		}
	}
}

func (e *Engine) measureStep(step []*Set, now time.Time) {
	var members []*Member
	fresh := false
	for _, s := range step {
		if s.Run == nil {
			continue
		}
		for _, m := range s.Run.Members {
			if m.State == Started && m.rate > 0 {
				members = append(members, m)
				fresh = fresh || m.rateFresh
			}
		}
	}
	if !fresh || !severalWorkers(members) {
		return
	}
	base := medianRate(members)
	weight := singleWeight
	if step[0].Count > 1 {
		weight = gangWeight
	}
	for _, m := range members {
		if !m.rateFresh {
			continue
		}
		m.rateFresh = false
		speed := m.rate / base
		if speed < slowBelow {
			m.Worker.avoid(now.Add(slowPause))
		}
		m.Worker.speed += weight * (min(max(speed, slowBelow), 1/slowBelow) - m.Worker.speed)
	}
	e.moveFromSlow(step[0], base, now)
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

func severalWorkers(members []*Member) bool {
	for _, m := range members {
		if m.Worker != members[0].Worker {
			return true
		}
	}
	return false
}

// moveFromSlow stops a gang of which one worker has become so slow that a fresh start elsewhere is sooner done.
func (e *Engine) moveFromSlow(s *Set, base float64, now time.Time) {
	run := s.Run
	if s.Count == 1 || run == nil || run.stopping != "" || s.moves >= movesMost {
		return
	}
	rest, again := 0.0, 0.0
	for _, m := range run.Members {
		if m.rate <= 0 || m.State != Started {
			continue
		}
		left := float64(100 - m.Percent)
		rest = max(rest, left/m.rate)
		if s.step().Checkpoints {
			again = max(again, left/base)
		} else {
			again = 100 / base
		}
	}
	if rest > moveGain*(again+e.cfg.StopTimeout.Seconds()) {
		s.moves++
		e.stopRun(run, "one of its workers has become slow", now)
	}
}

// fast reports whether the worker is not known to be slower than most.
func (w *Worker) fast() bool { return w.speed >= fastFrom }

// bySpeed lists the ways to choose among slots, the best first: gangs go as fast as their slowest member, so they should
// not mix, and quick ones should have the fast workers.
func bySpeed(s *Set, slots []slot, quick bool) [][]slot {
	if s.Count == 1 && !quick {
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
