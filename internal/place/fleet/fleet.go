package fleet

import (
	"fmt"

	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// RackSpec declares one rack of equal workers.
type RackSpec struct {
	Name    string `json:"name"`
	Workers int    `json:"workers"`
	shape.Resources
}

// DataCentreSpec declares a data centre and its racks.
type DataCentreSpec struct {
	Name      string     `json:"name"`
	Region    string     `json:"region"`
	Instances int        `json:"instances"`
	Racks     []RackSpec `json:"racks"`
}

// Worker is a worker with its allocated and reserved capacity.
type Worker struct {
	Name       string
	DataCentre int
	Rack       int
	Capacity   shape.Resources
	// Free is negative while a reservation waits for its victims to stop.
	Free shape.Resources
	// Guaranteed is the capacity reserved for guarantees, whether in use, idle or lent to other jobs.
	Guaranteed shape.Resources
	// Pinned is the capacity used by tasks outside homes that can neither save their progress nor be run again.
	Pinned      shape.Resources
	Up          bool
	Quarantined bool
}

// Rack is a group of adjacent workers.
type Rack struct {
	Name       string
	DataCentre int
	Workers    []int
}

// DataCentre is the unit that is drained, lost and restored as a whole.
type DataCentre struct {
	Name    string
	Region  string
	Racks   []int
	Workers []int
	Drained bool
	Down    bool
	// Unowned is true while no instance owns the data centre, so that nothing may start in it.
	Unowned bool
	// NoPermit is true while there is no freshness proof that the data centre is not drained.
	NoPermit bool
}

// Available reports whether the data centre is neither drained nor down.
func (d DataCentre) Available() bool { return !d.Drained && !d.Down }

// Startable reports whether a task may start in the data centre now.
func (d DataCentre) Startable() bool { return d.Available() && !d.Unowned && !d.NoPermit }

// Fleet holds the data centres, racks and workers of one engine; they refer to each other by index.
type Fleet struct {
	DataCentres []DataCentre
	Racks       []Rack
	Workers     []Worker
	workerIndex map[string]int
	centreIndex map[string]int
}

// New returns a fleet with every worker up and free, or a SpecError.
func New(specs []DataCentreSpec) (*Fleet, error) {
	f := &Fleet{workerIndex: make(map[string]int), centreIndex: make(map[string]int)}
	for _, spec := range specs {
		if _, ok := f.centreIndex[spec.Name]; ok || spec.Name == "" {
			return nil, &SpecError{Name: spec.Name, Problem: "data centre names must be unique and not empty"}
		}
		f.centreIndex[spec.Name] = len(f.DataCentres)
		f.DataCentres = append(f.DataCentres, DataCentre{Name: spec.Name, Region: spec.Region})
		for _, rack := range spec.Racks {
			if err := f.addRack(len(f.DataCentres)-1, rack); err != nil {
				return nil, err
			}
		}
	}
	return f, nil
}

func (f *Fleet) addRack(centre int, spec RackSpec) error {
	if spec.Workers < 0 || spec.Accelerators < 0 || spec.Cores < 0 || spec.MemoryGB < 0 || spec.Name == "" {
		return &SpecError{Name: spec.Name, Problem: "a rack needs a name, and no size may be negative"}
	}
	rack := Rack{Name: spec.Name, DataCentre: centre}
	for n := range spec.Workers {
		name := fmt.Sprintf("%s/%d", spec.Name, n)
		if _, ok := f.workerIndex[name]; ok {
			return &SpecError{Name: spec.Name, Problem: "rack names must be unique"}
		}
		w := len(f.Workers)
		f.workerIndex[name] = w
		f.Workers = append(f.Workers, Worker{
			Name: name, DataCentre: centre, Rack: len(f.Racks),
			Capacity: spec.Resources, Free: spec.Resources, Up: true,
		})
		rack.Workers = append(rack.Workers, w)
	}
	d := &f.DataCentres[centre]
	d.Racks = append(d.Racks, len(f.Racks))
	d.Workers = append(d.Workers, rack.Workers...)
	f.Racks = append(f.Racks, rack)
	return nil
}

// Worker returns the index of the named worker.
func (f *Fleet) Worker(name string) (int, bool) {
	w, ok := f.workerIndex[name]
	return w, ok
}

// DataCentre returns the index of the named data centre.
func (f *Fleet) DataCentre(name string) (int, bool) {
	d, ok := f.centreIndex[name]
	return d, ok
}

// Names returns the names of the workers, in the given order.
func (f *Fleet) Names(workers []int) []string {
	names := make([]string, len(workers))
	for i, w := range workers {
		names[i] = f.Workers[w].Name
	}
	return names
}

// Usable reports whether new tasks may be placed on the worker, regardless of drains.
func (w *Worker) Usable() bool { return w.Up && !w.Quarantined }

// SpecError reports a problem in a declared fleet.
type SpecError struct {
	Name    string
	Problem string
}

// Error returns the name and the problem in one line.
func (e *SpecError) Error() string { return fmt.Sprintf("fleet: %q: %s", e.Name, e.Problem) }
