package replay

import (
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// wanted is a shape that waits or is guaranteed, and where it may be.
type demand struct {
	shape   shape.Shape
	centres string
}

// stuckShare is the share of free accelerators that no whole placement of a waiting or guaranteed shape could use.
// ok is false while no job waits.
func (a *metrics) unusableShare() (share float64, ok bool) {
	e := a.sim.engine
	if len(e.Waiting()) == 0 {
		return 0, false
	}
	usable := make([]int, len(e.Fleet.Workers))
	for want, centres := range a.demands() {
		for _, d := range centres {
			if e.Fleet.DataCentres[d].Available() {
				a.markUsable(want.shape, d, usable)
			}
		}
	}
	free, usableFree := 0, 0
	for w := range e.Fleet.Workers {
		n, live := a.freeAccelerators(w)
		if live {
			free += n
			usableFree += min(n, usable[w])
		}
	}
	if free == 0 {
		return 0, true
	}
	return float64(free-usableFree) / float64(free), true
}

// idleShare is the share of live accelerators that are free.
func (a *metrics) idleShare() float64 {
	free, all := 0, 0
	for w := range a.sim.engine.Fleet.Workers {
		if n, live := a.freeAccelerators(w); live {
			free += n
			all += a.sim.engine.Fleet.Workers[w].Capacity.Accelerators
		}
	}
	return float64(free) / float64(max(all, 1))
}

// free is how many accelerators of a live worker are free.
func (a *metrics) freeAccelerators(w int) (int, bool) {
	f := a.sim.engine.Fleet
	worker := &f.Workers[w]
	if !worker.Up || !f.DataCentres[worker.DataCentre].Available() {
		return 0, false
	}
	return max(worker.Free.Accelerators, 0), true
}

func (a *metrics) demands() map[demand][]int {
	e := a.sim.engine
	all := make(map[demand][]int)
	for _, j := range e.Waiting() {
		if j.Accelerators > 0 {
			all[demand{shape: j.Shape, centres: centresKey(j.Centres)}] = j.Centres
		}
	}
	for _, ws := range a.sim.trace.Header.Workspaces {
		centres := e.CentresOf(ws.Name)
		for _, guarantee := range ws.Guarantees {
			if guarantee.Count > 0 && guarantee.Accelerators > 0 {
				all[demand{shape: guarantee.Shape, centres: centresKey(centres)}] = centres
			}
		}
	}
	return all
}

func centresKey(centres []int) string {
	text := make([]byte, len(centres))
	for i, d := range centres {
		text[i] = byte(d)
	}
	return string(text)
}

// mark raises what is usable on each worker of every unit that holds the whole shape.
func (a *metrics) markUsable(s shape.Shape, centre int, usable []int) {
	f := a.sim.engine.Fleet
	f.Units(centre, s.Within, func(u fleet.Unit) bool {
		total := 0
		for _, w := range u.Workers {
			total += a.fitCount(s, w)
		}
		if total < s.Members {
			return true
		}
		for _, w := range u.Workers {
			usable[w] = max(usable[w], a.fitCount(s, w)*s.Accelerators)
		}
		return true
	})
}

func (a *metrics) fitCount(s shape.Shape, w int) int {
	if _, live := a.freeAccelerators(w); !live {
		return 0
	}
	return s.Resources.Count(a.sim.engine.Fleet.Workers[w].Free, s.Members)
}
