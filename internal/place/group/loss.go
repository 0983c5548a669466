package group

import "time"

// checkpointStopTime is how much work a stop costs a run with checkpoints; its progress is saved.
const checkpointStopTime = 500 * time.Millisecond

// unsavedCoreSeconds is the work of all members that stopping the run discards, in core-seconds.
func (r *Run) unsavedCoreSeconds(now time.Time) float64 {
	total := 0.0
	for _, m := range r.Members {
		total += m.unsavedCoreSeconds(now)
	}
	return total
}

// unsavedCoreSeconds is the work of a started member that is discarded if it ends now without success.
func (m *Member) unsavedCoreSeconds(now time.Time) float64 {
	if m.State == Ended {
		return 0
	}
	unsaved := m.worked(now)
	if m.Run.Group.step().Checkpoints {
		unsaved = min(unsaved, checkpointStopTime)
	}
	return unsaved.Seconds() * m.Run.Group.taskNeed().Cores()
}

// worked returns for how long the member has run. An earlier owner has recorded no time of the start, so the progress of an inherited
// member tells instead.
func (m *Member) worked(now time.Time) time.Duration {
	switch {
	case !m.startAckedAt.IsZero():
		return now.Sub(m.startAckedAt)
	case m.State != Started:
		return 0
	case m.rate > 0:
		return time.Duration(float64(m.Percent)/m.rate*float64(time.Second)) + now.Sub(m.progressedAt)
	default:
		return time.Duration(float64(m.Percent)/100*float64(m.Run.Group.step().Estimate)) + now.Sub(m.progressedAt)
	}
}

// endsWithin reports whether all members of the run will have ended before the time has passed, by their measured rates. A run that
// should have ended for longer than half of that already has slowed down or makes no progress.
func (r *Run) endsWithin(limit time.Duration, now time.Time) bool {
	if r.Group.step().LongRunning {
		return false
	}
	for _, m := range r.Members {
		if m.State == Ended {
			continue
		}
		if m.State != Started || m.rate <= 0 || m.Worker.silent(now) {
			return false
		}
		if endsIn := m.remaining() - now.Sub(m.progressedAt); endsIn > limit || endsIn < -limit/2 {
			return false
		}
	}
	return true
}
