package group

import (
	"cmp"
	"math"
	"slices"
)

const (
	// estimateMargin is the factor by which a task may take longer than estimated for it still to be placed on a slow worker. Estimates
	// are off by up to a factor of two; with that as the margin, an objective of three times the estimate would allow no worker below 0.67.
	estimateMargin = 1.5
	// minLikeSpeed is the least speed of a gang's slowest worker relative to its fastest one for their speeds to be alike.
	minLikeSpeed = 0.85
)

// choicesBySpeed lists the subsets of slots to choose from, the best first. A gang is as fast as its slowest member, so it should not mix
// fast and slow workers. Quick jobs get the fast ones; others use slow ones first, as long as they meet their objective there. The last
// subsets leave out no room that the task group needs, so nothing waits for a fast worker.
func choicesBySpeed(g *Group, slots []slot, sameRack bool) [][]slot {
	if !slices.ContainsFunc(slots, isSlow) {
		return [][]slot{slots}
	}
	quick := g.Job.queue.Priority == 0
	preference := g.speedPreference()
	if g.Count == 1 {
		return [][]slot{selectSlots(slots, preference.prefers), slots}
	}
	var choices [][]slot
	if !quick {
		choices = append(choices, alikeSlots(g, selectSlots(slots, preference.usesSlow), sameRack))
	}
	choices = append(choices, selectSlots(slots, (*Worker).fast))
	return append(choices, fastestSlots(g, slots, sameRack)...)
}

// speedPreference says which workers a task group prefers.
type speedPreference struct {
	// required is the speed from which a worker that is not fast will do.
	required float64
}

// speedPreference returns the preference of the group in this decision, as its occurrence was ranked in it. Quick jobs and groups that
// were moved from a slow worker prefer fast workers, as do those that are late. Long-running services and what is worth nothing any
// more may use any.
func (g *Group) speedPreference() speedPreference {
	switch {
	case g.Job.queue.Priority == 0 || g.slowWorkerMoves > 0:
		return speedPreference{required: math.Inf(1)}
	case g.Job.longRunning || g.occ.lateness == expired:
		return speedPreference{}
	}
	estimate := g.step().Estimate
	left := g.occ.rank - (g.occ.remaining() - estimate).Seconds()
	if left <= 0 {
		return speedPreference{required: math.Inf(1)}
	}
	return speedPreference{required: estimateMargin * estimate.Seconds() / left}
}

// prefers reports whether the worker is fast or fast enough.
func (p speedPreference) prefers(w *Worker) bool { return w.fast() || w.speed.value >= p.required }

// usesSlow reports whether the worker is slow but fast enough.
func (p speedPreference) usesSlow(w *Worker) bool { return !w.fast() && w.speed.value >= p.required }

// compareBySpeed orders the slots for single tasks: those on preferred workers come first, each in the filter's order.
func (g *Group) compareBySpeed(slots []slot, f filter) func(a, b slot) int {
	if !slices.ContainsFunc(slots, isSlow) {
		return f.compare
	}
	preference := g.speedPreference()
	return func(a, b slot) int {
		switch preferA, preferB := preference.prefers(a.worker), preference.prefers(b.worker); {
		case preferA && !preferB:
			return -1
		case preferB && !preferA:
			return 1
		default:
			return f.compare(a, b)
		}
	}
}

func isSlow(sl slot) bool { return !sl.worker.fast() }

func selectSlots(slots []slot, selects func(*Worker) bool) []slot {
	var selected []slot
	for _, sl := range slots {
		if selects(sl.worker) {
			selected = append(selected, sl)
		}
	}
	return selected
}

// alikeSlots returns the slots of the slowest workers of like speed that hold the whole gang, in each rack if it must share one.
func alikeSlots(g *Group, slots []slot, sameRack bool) []slot {
	var alike []slot
	for _, sorted := range sortedBySpeed(slots, sameRack) {
		alike = append(alike, slowestAlike(sorted, g.Count)...)
	}
	return alike
}

// slowestAlike returns the slowest slots of like speed that hold as many tasks; sorted has the fastest first.
func slowestAlike(sorted []slot, count int) []slot {
	from, fits := len(sorted), 0
	for to := len(sorted) - 1; to >= 0; to-- {
		for from > 0 && sorted[from-1].worker.speed.value*minLikeSpeed <= sorted[to].worker.speed.value {
			from--
			fits += sorted[from].fits
		}
		if fits >= count {
			return sorted[from : to+1]
		}
		fits -= sorted[to].fits
	}
	return nil
}

// fastestSlots returns the slots of the fastest workers that hold the whole gang, in each rack if it must share one, the fastest first.
func fastestSlots(g *Group, slots []slot, sameRack bool) [][]slot {
	var choices [][]slot
	for _, sorted := range sortedBySpeed(slots, sameRack) {
		fits := 0
		for i, sl := range sorted {
			if fits += sl.fits; fits >= g.Count {
				choices = append(choices, sorted[:i+1])
				break
			}
		}
	}
	slices.SortStableFunc(choices, func(a, b []slot) int {
		return cmp.Compare(b[len(b)-1].worker.speed.value, a[len(a)-1].worker.speed.value)
	})
	return choices
}

// sortedBySpeed returns copies of the slots, the fastest first; one for each rack if the gang must share one.
func sortedBySpeed(slots []slot, sameRack bool) [][]slot {
	lists := [][]slot{slots}
	if sameRack {
		lists = splitByRack(slots)
	}
	for i := range lists {
		lists[i] = slices.Clone(lists[i])
		slices.SortStableFunc(lists[i], func(a, b slot) int { return cmp.Compare(b.worker.speed.value, a.worker.speed.value) })
	}
	return lists
}
