package group

import (
	"slices"
	"time"
)

// allowsProbation reports whether a suspected group may be placed on the worker: no start is under way there, as the worker could execute it
// after that of the suspect, and it would begin beside a suspect on probation.
func (w *Worker) allowsProbation() bool {
	for _, m := range w.members {
		if m.State != Started && m.State != Ended {
			return false
		}
	}
	return true
}

// suspectsLast moves the steps of which only suspected groups wait behind all others, if another group has waited for longer than a probation
// though most of its service is free: suspects that take turns on all workers would keep it off each.
func (e *Engine) suspectsLast(ready []waitingStep, now time.Time) []waitingStep {
	if !slices.ContainsFunc(ready, waitingStep.onlySuspects) || !slices.ContainsFunc(ready, func(ws waitingStep) bool { return e.keptOffBySuspects(ws, now) }) {
		return ready
	}
	slices.SortStableFunc(ready, func(a, b waitingStep) int {
		switch aLast, bLast := a.onlySuspects(), b.onlySuspects(); {
		case aLast == bLast:
			return 0
		case aLast:
			return 1
		default:
			return -1
		}
	})
	return ready
}

// onlySuspects reports whether all groups of the step that wait are suspected of a crash.
func (ws waitingStep) onlySuspects() bool {
	return !slices.ContainsFunc(ws.groups(), func(g *Group) bool { return g.waits() && !g.suspected() })
}

// keptOffBySuspects reports whether a group of the step, which is not suspected itself, has waited for longer than a probation while most of
// its service is free.
func (e *Engine) keptOffBySuspects(ws waitingStep, now time.Time) bool {
	return slices.ContainsFunc(ws.groups(), func(g *Group) bool {
		return g.waits() && !g.suspected() && now.Sub(g.readyAt) > crashWindow && e.mostlyFree(g)
	})
}

// waits reports whether the group has neither a run nor a reservation and is not done.
func (g *Group) waits() bool { return g.Run == nil && g.reservation == nil && !g.record().Done }
