package replay

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// changeWindowTail is how long after the return of a data centre its window of change ends.
const changeWindowTail = 10 * time.Minute

// segment is a closed interval of work by one run; its first part, of length kept, was not lost.
type segment struct {
	job          *jobState
	accelerators int
	startedAt    time.Duration
	endedAt      time.Duration
	kept         time.Duration
}

// interval is an interval of virtual time; to is negative while it is open.
type interval struct {
	from, to time.Duration
}

// metrics accumulates useful work, waiting and the windows of change while the replay runs.
type metrics struct {
	sim      *sim
	segments []segment
	// unusable is the integral of the unusable share over the time in which jobs wait, waitingSeconds that time;
	// their ratio is the fragmentation.
	unusable       float64
	waitingSeconds float64
	// idle is the integral of the share of free accelerators over the time in which jobs wait.
	idle float64
	// windows are the intervals from the loss or drain of a data centre until changeWindowTail after its return.
	// unavailable is true for each data centre that is out now; available integrates the live accelerators over the windows.
	windows     []interval
	unavailable []bool
	available   float64
	windowEnd   time.Duration
}

func newMetrics(s *sim) metrics {
	return metrics{sim: s, unavailable: make([]bool, len(s.centres))}
}

// addSegment records the work of a run that has ended or paused.
func (m *metrics) addSegment(r *run, ended, kept time.Duration) {
	m.segments = append(m.segments, segment{
		job: r.job, accelerators: r.job.submit.Total().Accelerators, startedAt: r.startedAt, endedAt: ended, kept: kept,
	})
}

// advance integrates over the time from the last event to the given one; call it before the clock moves.
func (m *metrics) advance(to time.Duration) {
	s := m.sim
	seconds := (to - s.now).Seconds()
	if seconds <= 0 {
		return
	}
	if unusable, ok := m.unusableShare(); ok {
		m.idle += m.idleShare() * seconds
		m.unusable += unusable * seconds
		m.waitingSeconds += seconds
	}
	if inside := m.secondsInWindow(to); inside > 0 {
		m.available += inside * float64(m.liveAccelerators())
	}
}

// secondsInWindow returns how many seconds between now and the given time lie in a window of change.
func (m *metrics) secondsInWindow(to time.Duration) float64 {
	end := m.windowEnd
	for _, unavailable := range m.unavailable {
		if unavailable {
			end = to
		}
	}
	return max(0, (min(to, end) - m.sim.now).Seconds())
}

func (m *metrics) liveAccelerators() int {
	total := 0
	f := m.sim.engine.Fleet
	for i := range f.Workers {
		w := &f.Workers[i]
		if f.DataCentres[w.DataCentre].Available() && !m.sim.dead[i] {
			total += w.Capacity.Accelerators
		}
	}
	return total
}

// openWindow opens a window of change when a data centre leaves; it does nothing if the data centre is out already.
func (m *metrics) openWindow(d int) {
	if m.unavailable[d] {
		return
	}
	m.unavailable[d] = true
	m.windows = append(m.windows, interval{from: m.sim.now, to: -1})
}

// closeWindow makes a window of change end changeWindowTail after the return of the data centre.
func (m *metrics) closeWindow(d int) {
	if !m.unavailable[d] {
		return
	}
	m.unavailable[d] = false
	m.windowEnd = max(m.windowEnd, m.sim.now+changeWindowTail)
	for i := range m.windows {
		if m.windows[i].to < 0 {
			m.windows[i].to = m.sim.now + changeWindowTail
			return
		}
	}
}

// close closes the open windows and segments at the end of the replay; the work of running jobs counts as kept.
func (m *metrics) close() {
	for i := range m.windows {
		if m.windows[i].to < 0 || m.windows[i].to > m.sim.now {
			m.windows[i].to = m.sim.now
		}
	}
	m.windows = union(m.windows)
	for _, j := range m.sim.jobOrder {
		if r := j.run; r != nil {
			until := m.sim.now
			if r.stopping {
				until = r.pausedAt
			}
			m.addSegment(r, until, until-r.startedAt)
		}
	}
}

// union merges overlapping intervals; the list is in order of from.
func union(list []interval) []interval {
	var merged []interval
	for _, current := range list {
		if n := len(merged); n > 0 && current.from <= merged[n-1].to {
			merged[n-1].to = max(merged[n-1].to, current.to)
			continue
		}
		merged = append(merged, current)
	}
	return merged
}

// usefulAndWasted returns the accelerator-seconds that were kept and that were lost; cancelled jobs count in neither.
func (m *metrics) usefulAndWasted() (useful, wasted float64) {
	for _, g := range m.segments {
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

// usefulDuringChange returns the kept accelerator-seconds inside the windows of change.
func (m *metrics) usefulDuringChange() float64 {
	useful := 0.0
	for _, g := range m.segments {
		switch g.job.outcome {
		case queue.Cancelled, queue.Failed, queue.Interrupted:
			continue
		}
		for _, w := range m.windows {
			from, to := max(g.startedAt, w.from), min(g.startedAt+g.kept, w.to)
			useful += float64(g.accelerators) * max(0, (to-from).Seconds())
		}
	}
	return useful
}
