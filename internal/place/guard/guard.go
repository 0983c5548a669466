package guard

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// maxPackingOrders limits the packing orders that are tried before a set of guarantees is refused as impossible.
const maxPackingOrders = 64

// Guarantee promises a workspace Count shapes at the same time.
type Guarantee struct {
	Count int `json:"count"`
	shape.Shape
}

// Workspace is a group of users with the data centres that it may use and its guarantees.
type Workspace struct {
	Name        string      `json:"name"`
	DataCentres []string    `json:"dataCentres"`
	Guarantees  []Guarantee `json:"guarantees"`
}

// Slot is one guaranteed shape of one workspace.
type Slot struct {
	Workspace string
	Shape     shape.Shape
	Centres   []int
	// Home holds one worker per member: the reservation of the slot; it is nil while no usable workers fit the shape.
	Home []int
	// Job is the waiting or running job to which the slot is assigned; it is empty while the slot is unused.
	Job string
	// InHome is true while the assigned job runs in the home itself.
	InHome bool
}

// Guard holds the slots and keeps fleet.Worker.Guaranteed up to date.
type Guard struct {
	Slots       []Slot
	fleet       *fleet.Fleet
	byWorkspace map[string][]int
}

// New finds a home for every guaranteed shape, or returns a FitError for one that does not fit.
func New(f *fleet.Fleet, workspaces []Workspace, seed uint64) (*Guard, error) {
	g := &Guard{fleet: f, byWorkspace: make(map[string][]int)}
	for _, ws := range workspaces {
		centres, err := Centres(f, ws)
		if err != nil {
			return nil, err
		}
		for _, guarantee := range ws.Guarantees {
			for range guarantee.Count {
				g.byWorkspace[ws.Name] = append(g.byWorkspace[ws.Name], len(g.Slots))
				g.Slots = append(g.Slots, Slot{Workspace: ws.Name, Shape: guarantee.Shape, Centres: centres})
			}
		}
	}
	return g, g.pack(seed)
}

// Centres returns the indexes of the data centres that a workspace may use; an empty list in ws means all of them.
func Centres(f *fleet.Fleet, ws Workspace) ([]int, error) {
	if len(ws.DataCentres) == 0 {
		all := make([]int, len(f.DataCentres))
		for i := range all {
			all[i] = i
		}
		return all, nil
	}
	centres := make([]int, 0, len(ws.DataCentres))
	for _, name := range ws.DataCentres {
		d, ok := f.DataCentre(name)
		if !ok {
			return nil, &UnknownError{Workspace: ws.Name, DataCentre: name}
		}
		centres = append(centres, d)
	}
	return centres, nil
}

// pack finds homes for all slots, with the largest shapes first and then in random orders from the seed.
func (g *Guard) pack(seed uint64) error {
	order := g.largestFirst()
	rng := rand.New(rand.NewPCG(seed, 1))
	var missing int
	for attempt := range maxPackingOrders {
		if attempt > 0 {
			g.clearHomes(order)
			rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
		}
		missing = g.assignHomes(order)
		if missing < 0 {
			return nil
		}
	}
	slot := g.Slots[missing]
	return &FitError{Workspace: slot.Workspace, Shape: slot.Shape}
}

func (g *Guard) largestFirst() []int {
	order := make([]int, len(g.Slots))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool {
		a, b := &g.Slots[order[i]], &g.Slots[order[j]]
		if len(a.Centres) != len(b.Centres) {
			return len(a.Centres) < len(b.Centres)
		}
		if a.Shape.MemberWeight() != b.Shape.MemberWeight() {
			return a.Shape.MemberWeight() > b.Shape.MemberWeight()
		}
		return a.Shape.Total().Accelerators > b.Shape.Total().Accelerators
	})
	return order
}

// assignHomes finds a home for each listed slot without one and returns the first slot that still has none, or -1.
func (g *Guard) assignHomes(slots []int) int {
	missing := -1
	for _, s := range slots {
		if g.Slots[s].Home == nil && !g.FindHome(s) && missing < 0 {
			missing = s
		}
	}
	return missing
}

func (g *Guard) clearHomes(slots []int) {
	for _, s := range slots {
		g.SetHome(s, nil)
	}
}

// SetHome replaces a slot's home and updates the guaranteed capacity of the workers.
func (g *Guard) SetHome(slot int, home []int) {
	s := &g.Slots[slot]
	for _, w := range s.Home {
		g.fleet.Workers[w].Guaranteed = g.fleet.Workers[w].Guaranteed.Sub(s.Shape.Resources)
	}
	s.Home = home
	s.InHome = false
	for _, w := range home {
		g.fleet.Workers[w].Guaranteed = g.fleet.Workers[w].Guaranteed.Add(s.Shape.Resources)
	}
}

// AllowedView returns the capacity that the slot may use: everything except the homes of other slots and pinned tasks.
func (g *Guard) AllowedView(slot int) fleet.View {
	s := &g.Slots[slot]
	return func(w int) (shape.Resources, bool) {
		worker := &g.fleet.Workers[w]
		avail := worker.Capacity.Sub(worker.Guaranteed).Sub(worker.Pinned)
		for _, own := range s.Home {
			if own == w {
				avail = avail.Add(s.Shape.Resources)
			}
		}
		return avail, worker.Usable()
	}
}

// HomeView returns the capacity of the slot's own home.
func (g *Guard) HomeView(slot int) fleet.View {
	s := &g.Slots[slot]
	return func(w int) (shape.Resources, bool) {
		var own shape.Resources
		for _, h := range s.Home {
			if h == w {
				own = own.Add(s.Shape.Resources)
			}
		}
		return own, !own.IsZero() && g.fleet.Workers[w].Usable()
	}
}

// FindHome finds a home for the slot in its data centres and reports whether there is one.
func (g *Guard) FindHome(slot int) bool {
	s := &g.Slots[slot]
	centres := make([]int, 0, len(s.Centres))
	for _, centre := range s.Centres {
		if g.fleet.DataCentres[centre].Available() {
			centres = append(centres, centre)
		}
	}
	home := g.fleet.Find(centres, s.Shape, g.AllowedView(slot), true)
	if home != nil {
		g.SetHome(slot, home)
	}
	return home != nil
}

// Repair finds a new home for each slot whose home is no longer usable and returns the slots without one.
func (g *Guard) Repair() []int {
	var invalid []int
	for _, s := range g.largestFirst() {
		if !g.homeUsable(s) {
			invalid = append(invalid, s)
		}
	}
	if len(invalid) == 0 {
		return nil
	}
	g.clearHomes(invalid)
	if g.assignHomes(invalid) < 0 {
		return nil
	}
	return g.moveUnusedHomes()
}

func (g *Guard) homeUsable(slot int) bool {
	s := &g.Slots[slot]
	if s.Home == nil {
		return false
	}
	for _, w := range s.Home {
		worker := &g.fleet.Workers[w]
		if !worker.Usable() || !g.fleet.DataCentres[worker.DataCentre].Available() {
			return false
		}
		if !s.InHome && !worker.Guaranteed.Add(worker.Pinned).Fits(worker.Capacity) {
			return false
		}
	}
	return true
}

// ReclaimHome finds a home for a slot whose job waits, if necessary by taking homes from slots without a job.
func (g *Guard) ReclaimHome(slot int) bool {
	if g.FindHome(slot) {
		return true
	}
	var unused []int
	for _, s := range g.largestFirst() {
		if g.Slots[s].Job == "" && g.Slots[s].Home != nil {
			unused = append(unused, s)
		}
	}
	before := make([][]int, len(g.Slots))
	for _, s := range unused {
		before[s] = g.Slots[s].Home
	}
	g.clearHomes(unused)
	if !g.FindHome(slot) {
		for _, s := range unused {
			g.SetHome(s, before[s])
		}
		return false
	}
	g.assignHomes(unused)
	return true
}

// moveUnusedHomes moves homes in which no job runs, so that a slot without a home may get one, and returns the slots
// without one.
func (g *Guard) moveUnusedHomes() []int {
	before := make([][]int, len(g.Slots))
	var unused []int
	withoutHome := 0
	for _, s := range g.largestFirst() {
		slot := &g.Slots[s]
		before[s] = slot.Home
		if slot.Home == nil {
			withoutHome++
		}
		if !slot.InHome {
			unused = append(unused, s)
		}
	}
	g.clearHomes(unused)
	g.assignHomes(unused)
	left := g.slotsWithoutHome()
	if len(left) <= withoutHome {
		return left
	}
	g.clearHomes(unused)
	for _, s := range unused {
		g.SetHome(s, before[s])
	}
	return g.slotsWithoutHome()
}

func (g *Guard) slotsWithoutHome() []int {
	var slots []int
	for s := range g.Slots {
		if g.Slots[s].Home == nil {
			slots = append(slots, s)
		}
	}
	return slots
}

// CountWithoutHome returns the number of slots without a home.
func (g *Guard) CountWithoutHome() int { return len(g.slotsWithoutHome()) }

// AssignSlot assigns the job to the smallest unused slot of its workspace that covers the shape and returns it, or -1.
func (g *Guard) AssignSlot(workspace, job string, need shape.Shape) int {
	best := -1
	for _, s := range g.byWorkspace[workspace] {
		slot := &g.Slots[s]
		if slot.Job != "" || !slot.Shape.Covers(need) {
			continue
		}
		if best < 0 || slot.Shape.Total().Accelerators < g.Slots[best].Shape.Total().Accelerators {
			best = s
		}
	}
	if best >= 0 {
		g.Slots[best].Job = job
	}
	return best
}

// ReleaseSlot makes the slot unused.
func (g *Guard) ReleaseSlot(slot int) {
	g.Slots[slot].Job = ""
	g.Slots[slot].InHome = false
}

// FitError reports that the guarantees can't all be met at the same time.
type FitError struct {
	Workspace string
	Shape     shape.Shape
}

// Error names the shape that does not fit and what can be done about it.
func (e *FitError) Error() string {
	return fmt.Sprintf("guarantees do not fit at once: no place is left for %s of workspace %q; lower a count or shape, or add workers",
		e.Shape, e.Workspace)
}

// UnknownError reports a data centre that the fleet does not have.
type UnknownError struct {
	Workspace  string
	DataCentre string
}

// Error names the workspace and the unknown data centre.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("workspace %q names data centre %q, which does not exist", e.Workspace, e.DataCentre)
}
