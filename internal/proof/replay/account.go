package replay

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// afterChange is how long after a data centre's return its change still counts.
const changeWindowTail = 10 * time.Minute

// segment is one stretch of work; the first kept part of it was never thrown away.
type segment struct {
	job          *jobState
	accelerators int
	startedAt    time.Duration
	endedAt      time.Duration
	kept         time.Duration
}

// stretch is an interval of time.
type interval struct {
	from, to time.Duration
}

// account measures work, waiting and change while the replay runs.
type metrics struct {
	sim      *sim
	segments []segment
	// stuck and waited are the integrals behind fragmentation.
	unusable       float64
	waitingSeconds float64
	// idle is the integral of the share of accelerators that are free while a job waits.
	idle float64
	// windows are the times around changes of data centres; away tells since when each one is out.
	windows     []interval
	unavailable []bool
	available   float64
	windowEnd   time.Duration
}

func newMetrics(s *sim) metrics {
	return metrics{sim: s, unavailable: make([]bool, len(s.centres))}
}

// segment closes a run's stretch of work.
func (a *metrics) addSegment(r *run, ended, kept time.Duration) {
	a.segments = append(a.segments, segment{
		job: r.job, accelerators: r.job.submit.Total().Accelerators, startedAt: r.startedAt, endedAt: ended, kept: kept,
	})
}

// advance integrates over the time since the last event.
func (a *metrics) advance(to time.Duration) {
	s := a.sim
	seconds := (to - s.now).Seconds()
	if seconds <= 0 {
		return
	}
	if stuck, ok := a.unusableShare(); ok {
		a.idle += a.idleShare() * seconds
		a.unusable += stuck * seconds
		a.waitingSeconds += seconds
	}
	if inside := a.secondsInWindow(to); inside > 0 {
		a.available += inside * float64(a.liveAccelerators())
	}
}

// insideWindow is how many seconds up to the given time lie in a window of change.
func (a *metrics) secondsInWindow(to time.Duration) float64 {
	end := a.windowEnd
	for _, away := range a.unavailable {
		if away {
			end = to
		}
	}
	return max(0, (min(to, end) - a.sim.now).Seconds())
}

func (a *metrics) liveAccelerators() int {
	total := 0
	f := a.sim.engine.Fleet
	for i := range f.Workers {
		w := &f.Workers[i]
		if f.DataCentres[w.DataCentre].Available() && !a.sim.dead[i] {
			total += w.Capacity.Accelerators
		}
	}
	return total
}

// leave opens a window of change.
func (a *metrics) openWindow(d int) {
	if a.unavailable[d] {
		return
	}
	a.unavailable[d] = true
	a.windows = append(a.windows, interval{from: a.sim.now, to: -1})
}

// comeBack closes the window some time after the return.
func (a *metrics) closeWindow(d int) {
	if !a.unavailable[d] {
		return
	}
	a.unavailable[d] = false
	a.windowEnd = max(a.windowEnd, a.sim.now+changeWindowTail)
	for i := range a.windows {
		if a.windows[i].to < 0 {
			a.windows[i].to = a.sim.now + changeWindowTail
			return
		}
	}
}

// close ends what is still open at the end of the replay.
func (a *metrics) close() {
	for i := range a.windows {
		if a.windows[i].to < 0 || a.windows[i].to > a.sim.now {
			a.windows[i].to = a.sim.now
		}
	}
	a.windows = union(a.windows)
	for _, j := range a.sim.jobOrder {
		if r := j.run; r != nil {
			until := a.sim.now
			if r.stopping {
				until = r.pausedAt
			}
			a.addSegment(r, until, until-r.startedAt)
		}
	}
}

// union merges stretches that overlap; they are in order of their beginning.
func union(list []interval) []interval {
	var merged []interval
	for _, s := range list {
		if n := len(merged); n > 0 && s.from <= merged[n-1].to {
			merged[n-1].to = max(merged[n-1].to, s.to)
			continue
		}
		merged = append(merged, s)
	}
	return merged
}

// work sums up kept and thrown away accelerator-seconds.
func (a *metrics) usefulAndWasted() (useful, wasted float64) {
	for _, g := range a.segments {
		weight := float64(g.accelerators)
		switch g.job.outcome {
		case queue.Cancelled:
			continue
		case queue.Failed, queue.Interrupted:
			wasted += weight * (g.endedAt - g.startedAt).Seconds()
		default:
			useful += weight * g.kept.Seconds()
			wasted += weight * (g.endedAt - g.startedAt - g.kept).Seconds()
		}
	}
	return useful, wasted
}

// change sums up kept accelerator-seconds inside the windows of change.
func (a *metrics) usefulDuringChange() float64 {
	useful := 0.0
	for _, g := range a.segments {
		switch g.job.outcome {
		case queue.Cancelled, queue.Failed, queue.Interrupted:
			continue
		}
		for _, w := range a.windows {
			from, to := max(g.startedAt, w.from), min(g.startedAt+g.kept, w.to)
			useful += float64(g.accelerators) * max(0, (to-from).Seconds())
		}
	}
	return useful
}
