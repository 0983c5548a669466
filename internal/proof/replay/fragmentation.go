package replay

import (
	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// demand is a shape that a job waits for or that is guaranteed, with the data centres that may hold it.
type demand struct {
	shape   shape.Shape
	centres string
}

// unusableShare returns the share of free accelerators that no complete placement of a waiting or guaranteed shape could
// use; ok is false while no job waits.
func (m *metrics) unusableShare() (share float64, ok bool) {
	e := m.sim.engine
	if len(e.Waiting()) == 0 {
		return 0, false
	}
	usable := make([]int, len(e.Fleet.Workers))
	for want, centres := range m.demands() {
		for _, d := range centres {
			if e.Fleet.DataCentres[d].Available() {
				m.markUsable(want.shape, d, usable)
			}
		}
	}
	free, usableFree := 0, 0
	for w := range e.Fleet.Workers {
		n, live := m.freeAccelerators(w)
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

// idleShare returns the share of live accelerators that are free.
func (m *metrics) idleShare() float64 {
	free, all := 0, 0
	for w := range m.sim.engine.Fleet.Workers {
		if n, live := m.freeAccelerators(w); live {
			free += n
			all += m.sim.engine.Fleet.Workers[w].Capacity.Accelerators
		}
	}
	return float64(free) / float64(max(all, 1))
}

// freeAccelerators returns how many accelerators of the worker are free, and whether the worker is live.
func (m *metrics) freeAccelerators(w int) (int, bool) {
	f := m.sim.engine.Fleet
	worker := &f.Workers[w]
	if !worker.Up || !f.DataCentres[worker.DataCentre].Available() {
		return 0, false
	}
	return max(worker.Free.Accelerators, 0), true
}

func (m *metrics) demands() map[demand][]int {
	e := m.sim.engine
	all := make(map[demand][]int)
	for _, j := range e.Waiting() {
		if j.Accelerators > 0 {
			all[demand{shape: j.Shape, centres: centresKey(j.Centres)}] = j.Centres
		}
	}
	for _, ws := range m.sim.trace.Header.Workspaces {
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

// markUsable raises the usable accelerators of each worker in every unit of the data centre that can hold the complete
// shape.
func (m *metrics) markUsable(s shape.Shape, centre int, usable []int) {
	f := m.sim.engine.Fleet
	f.Units(centre, s.Within, func(u fleet.Unit) bool {
		total := 0
		for _, w := range u.Workers {
			total += m.fitCount(s, w)
		}
		if total < s.Members {
			return true
		}
		for _, w := range u.Workers {
			usable[w] = max(usable[w], m.fitCount(s, w)*s.Accelerators)
		}
		return true
	})
}

func (m *metrics) fitCount(s shape.Shape, w int) int {
	if _, live := m.freeAccelerators(w); !live {
		return 0
	}
	return s.Resources.Count(m.sim.engine.Fleet.Workers[w].Free, s.Members)
}
