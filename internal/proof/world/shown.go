package world

import (
	"context"
	"time"
)

// shownSlack is how long after a job was shown as completed a start may still be on its way.
const shownSlack = time.Second

// Show records that the process has told a caller that the job is completed, and checks that all its tasks have ended so.
func (p *Process) Show(ctx context.Context, id string) error {
	_, err := CallPeer(ctx, p, p.name, "show "+id+" at", func() (bool, error) {
		p.world.show(p, id)
		return true, nil
	})
	return err
}

func (w *World) show(p *Process, id string) {
	j := w.checks.jobs[id]
	if j == nil || !j.shownAt.IsZero() {
		return
	}
	j.shownAt = time.Now()
	w.notef("job %s is shown as completed by %s", id, p.name)
	for i := range j.job.Spec.Steps {
		for n := range j.job.Spec.Steps[i].Count {
			if name := taskName(id, i, n); !w.checks.task(name).ended {
				w.breach("MIXED", name, "its job is shown as completed, and it has not ended")
			}
		}
	}
}

// checkShown checks that the job of a run that begins was not shown as completed.
func (w *World) checkShown(r *run, now time.Time) {
	j := w.checks.jobs[w.tasks[r.task].job.Spec.Job]
	if !r.late && !j.shownAt.IsZero() && now.Sub(j.shownAt) > shownSlack {
		w.breach("TWICE", r.task, "run %d begins %s after its job was shown as completed", r.number, now.Sub(j.shownAt))
	}
}
