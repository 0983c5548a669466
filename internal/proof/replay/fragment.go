package replay

import (
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// wanted is a shape that waits or is guaranteed, and where it may be.
type wanted struct {
	shape   shape.Shape
	centres string
}

// stuckShare is the share of free accelerators that no whole placement of a waiting or guaranteed shape could use.
// ok is false while no job waits.
func (a *account) stuckShare() (share float64, ok bool) {
	e := a.sim.engine
	if len(e.Waiting()) == 0 {
		return 0, false
	}
	usable := make([]int, len(e.Fleet.Workers))
	for want, centres := range a.wanted() {
		for _, d := range centres {
			if e.Fleet.DataCentres[d].Available() {
				a.mark(want.shape, d, usable)
			}
		}
	}
	free, used := 0, 0
	for w := range e.Fleet.Workers {
		n, live := a.free(w)
		if live {
			free += n
			used += min(n, usable[w])
		}
	}
	if free == 0 {
		return 0, true
	}
	return float64(free-used) / float64(free), true
}

// idleShare is the share of live accelerators that are free.
func (a *account) idleShare() float64 {
	free, all := 0, 0
	for w := range a.sim.engine.Fleet.Workers {
		if n, live := a.free(w); live {
			free += n
			all += a.sim.engine.Fleet.Workers[w].Capacity.Accelerators
		}
	}
	return float64(free) / float64(max(all, 1))
}

// free is how many accelerators of a live worker are free.
func (a *account) free(w int) (int, bool) {
	f := a.sim.engine.Fleet
	worker := &f.Workers[w]
	if !worker.Up || !f.DataCentres[worker.DataCentre].Available() {
		return 0, false
	}
	return max(worker.Free.Accelerators, 0), true
}

func (a *account) wanted() map[wanted][]int {
	e := a.sim.engine
	all := make(map[wanted][]int)
	for _, j := range e.Waiting() {
		if j.Accelerators > 0 {
			all[wanted{shape: j.Shape, centres: key(j.Centres)}] = j.Centres
		}
	}
	for _, ws := range a.sim.trace.Header.Workspaces {
		centres := e.CentresOf(ws.Name)
		for _, promise := range ws.Guarantees {
			if promise.Count > 0 && promise.Accelerators > 0 {
				all[wanted{shape: promise.Shape, centres: key(centres)}] = centres
			}
		}
	}
	return all
}

func key(centres []int) string {
	text := make([]byte, len(centres))
	for i, d := range centres {
		text[i] = byte(d)
	}
	return string(text)
}

// mark raises what is usable on each worker of every unit that holds the whole shape.
func (a *account) mark(s shape.Shape, centre int, usable []int) {
	f := a.sim.engine.Fleet
	f.Units(centre, s.Within, func(u fleet.Unit) bool {
		total := 0
		for _, w := range u.Workers {
			total += a.fits(s, w)
		}
		if total < s.Members {
			return true
		}
		for _, w := range u.Workers {
			usable[w] = max(usable[w], a.fits(s, w)*s.Accelerators)
		}
		return true
	})
}

func (a *account) fits(s shape.Shape, w int) int {
	if _, live := a.free(w); !live {
		return 0
	}
	return s.Resources.Count(a.sim.engine.Fleet.Workers[w].Free, s.Members)
}
