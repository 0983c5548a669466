package replay

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
)

// afterChange is how long after a data centre's return its change still counts.
const afterChange = 10 * time.Minute

// segment is one stretch of work; the first kept part of it was never thrown away.
type segment struct {
	job          *jobState
	accelerators int
	began        time.Duration
	ended        time.Duration
	kept         time.Duration
}

// stretch is an interval of time.
type stretch struct {
	from, to time.Duration
}

// account measures work, waiting and change while the replay runs.
type account struct {
	sim      *sim
	segments []segment
	// stuck and waited are the integrals behind fragmentation.
	stuck  float64
	waited float64
	// idle is the integral of the share of accelerators that are free while a job waits.
	idle float64
	// windows are the times around changes of data centres; away tells since when each one is out.
	windows   []stretch
	away      []bool
	available float64
	windowTo  time.Duration
}

func newAccount(s *sim) account {
	return account{sim: s, away: make([]bool, len(s.centres))}
}

// segment closes a run's stretch of work.
func (a *account) segment(r *run, ended, kept time.Duration) {
	a.segments = append(a.segments, segment{
		job: r.job, accelerators: r.job.submit.Total().Accelerators, began: r.began, ended: ended, kept: kept,
	})
}

// advance integrates over the time since the last event.
func (a *account) advance(to time.Duration) {
	s := a.sim
	span := (to - s.now).Seconds()
	if span <= 0 {
		return
	}
	if stuck, ok := a.stuckShare(); ok {
		a.idle += a.idleShare() * span
		a.stuck += stuck * span
		a.waited += span
	}
	if inside := a.insideWindow(to); inside > 0 {
		a.available += inside * float64(a.liveAccelerators())
	}
}

// insideWindow is how many seconds up to the given time lie in a window of change.
func (a *account) insideWindow(to time.Duration) float64 {
	end := a.windowTo
	for _, away := range a.away {
		if away {
			end = to
		}
	}
	return max(0, (min(to, end) - a.sim.now).Seconds())
}

func (a *account) liveAccelerators() int {
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
func (a *account) leave(d int) {
	if a.away[d] {
		return
	}
	a.away[d] = true
	a.windows = append(a.windows, stretch{from: a.sim.now, to: -1})
}

// comeBack closes the window some time after the return.
func (a *account) comeBack(d int) {
	if !a.away[d] {
		return
	}
	a.away[d] = false
	a.windowTo = max(a.windowTo, a.sim.now+afterChange)
	for i := range a.windows {
		if a.windows[i].to < 0 {
			a.windows[i].to = a.sim.now + afterChange
			return
		}
	}
}

// close ends what is still open at the end of the replay.
func (a *account) close() {
	for i := range a.windows {
		if a.windows[i].to < 0 || a.windows[i].to > a.sim.now {
			a.windows[i].to = a.sim.now
		}
	}
	a.windows = union(a.windows)
	for _, j := range a.sim.order {
		if r := j.run; r != nil {
			until := a.sim.now
			if r.stopping {
				until = r.paused
			}
			a.segment(r, until, until-r.began)
		}
	}
}

// union merges stretches that overlap; they are in order of their beginning.
func union(list []stretch) []stretch {
	var merged []stretch
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
func (a *account) work() (useful, wasted float64) {
	for _, g := range a.segments {
		weight := float64(g.accelerators)
		switch g.job.outcome {
		case queue.Cancelled:
			continue
		case queue.Failed, queue.Interrupted:
			wasted += weight * (g.ended - g.began).Seconds()
		default:
			useful += weight * g.kept.Seconds()
			wasted += weight * (g.ended - g.began - g.kept).Seconds()
		}
	}
	return useful, wasted
}

// change sums up kept accelerator-seconds inside the windows of change.
func (a *account) change() float64 {
	useful := 0.0
	for _, g := range a.segments {
		switch g.job.outcome {
		case queue.Cancelled, queue.Failed, queue.Interrupted:
			continue
		}
		for _, w := range a.windows {
			from, to := max(g.began, w.from), min(g.began+g.kept, w.to)
			useful += float64(g.accelerators) * max(0, (to-from).Seconds())
		}
	}
	return useful
}
