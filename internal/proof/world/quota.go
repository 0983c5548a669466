package world

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/group"
)

// workspace is a tenant with the cap in force, and the one before.
type workspace struct {
	group.Workspace
	previous  group.Resources
	changedAt time.Time
}

// SetCap changes the cap of the workspace.
func SetCap(at time.Duration, name string, limit group.Resources) Event {
	return Event{At: at, Apply: func(w *World, now time.Time) {
		w.notef("workspace %s may run %+v", name, limit)
		ws := w.workspaces[name]
		ws.previous, ws.Cap, ws.changedAt = ws.Cap, limit, now
	}}
}

// checkQuota checks that the run brings what its workspace has running over no cap that may be in force. The tolerance that the
// platform adds to a cap is not used.
func (w *World) checkQuota(r *run, now time.Time) {
	name := w.tasks[r.task].job.Spec.Workspace
	ws := w.workspaces[name]
	if ws == nil {
		return
	}
	total := w.tasks[r.task].need
	for _, o := range w.workers {
		for _, other := range o.runs {
			if t := w.tasks[other.task]; t.job.Spec.Workspace == name {
				total = total.Add(t.need)
			}
		}
	}
	if within(total, ws.Cap) || !ws.changedAt.IsZero() && now.Sub(later(ws.changedAt, w.calmAt)) <= w.cfg.Bounds.Config && within(total, ws.previous) {
		return
	}
	w.breach("QUOTA", r.task, "run %d brings workspace %s to %+v, and it may have %+v", r.number, name, total, ws.Cap)
}

// within reports whether r is within the cap, whose zero fields are no limits.
func within(r, limit group.Resources) bool {
	return (limit.MilliCores == 0 || r.MilliCores <= limit.MilliCores) && (limit.MemoryMB == 0 || r.MemoryMB <= limit.MemoryMB) &&
		(limit.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}
