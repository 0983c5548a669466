package engine

import (
	"fmt"
	"time"

	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// RefusedError reports why a job was not accepted; the job never ran.
type RefusedError struct {
	Job     string
	Problem string
}

// Error returns the job and the problem in one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("job %q not run: %s", e.Job, e.Problem)
}

// Check returns a RefusedError if the job could never run; it does not accept the job.
func (e *Engine) Check(spec *queue.Spec) error {
	centres, known := e.centres[spec.Workspace]
	switch {
	case !known:
		return &RefusedError{Job: spec.Job, Problem: fmt.Sprintf("workspace %q does not exist", spec.Workspace)}
	case spec.Members < 1:
		return &RefusedError{Job: spec.Job, Problem: "a job needs at least one member"}
	case spec.Resources.IsZero() || negative(spec.Resources):
		return &RefusedError{Job: spec.Job, Problem: "a member needs some accelerators, cores or memory, and none may be negative"}
	case !e.fitsEmpty(spec.Shape, centres):
		return &RefusedError{Job: spec.Job, Problem: fmt.Sprintf("no data centre of workspace %q can ever hold %s", spec.Workspace, spec.Shape)}
	}
	return nil
}

func negative(r shape.Resources) bool { return r.Accelerators < 0 || r.Cores < 0 || r.MemoryGB < 0 }

// Submit adds a job to the queue or returns a RefusedError.
func (e *Engine) Submit(spec queue.Spec, now time.Time) error {
	if err := e.Check(&spec); err != nil {
		return err
	}
	return e.add(spec, now)
}

// add adds a job to the queue without a check whether it fits.
func (e *Engine) add(spec queue.Spec, now time.Time) error {
	if e.jobs[spec.Job] != nil {
		return &RefusedError{Job: spec.Job, Problem: "a job of this name exists already"}
	}
	j := &queue.Job{Spec: spec, Submitted: now, WaitingSince: now, Slot: -1, Centres: e.centres[spec.Workspace]}
	e.jobs[spec.Job] = j
	e.openJobs[spec.Workspace] = append(e.openJobs[spec.Workspace], j)
	e.waiting = append(e.waiting, j)
	e.assignSlot(j)
	return nil
}

// Resume adds a job that already runs, as a new owner does for the jobs that it takes over. One with fewer workers than members is
// stopped, as the others are no longer configured; it may be one that would not fit any more.
func (e *Engine) Resume(spec queue.Spec, submitted, started time.Time, attempt int, progress time.Duration, workers []int) error {
	if err := e.add(spec, submitted); err != nil {
		return err
	}
	j := e.jobs[spec.Job]
	e.waiting = remove(e.waiting, j)
	j.Phase, j.Started, j.Attempt, j.Progress = queue.Running, started, attempt, progress
	e.occupy(j, workers)
	if len(workers) < j.Members {
		e.stopIncomplete(j)
		return nil
	}
	e.moveHomeToJob(j)
	return nil
}

// Restore sets the attempt number and the saved progress that an earlier owner recorded for a waiting job.
func (e *Engine) Restore(id string, attempt int, progress time.Duration) {
	if j := e.jobs[id]; j != nil {
		j.Attempt, j.Progress = attempt, progress
	}
}

// assignSlot assigns an unused guarantee slot of its workspace to the job, if there is one that covers its shape.
func (e *Engine) assignSlot(j *queue.Job) {
	j.Slot = e.Guard.AssignSlot(j.Workspace, j.Job, j.Shape)
}

// reassignSlot assigns an unused slot to the workspace's oldest open job that it covers.
func (e *Engine) reassignSlot(workspace string) {
	for _, j := range e.openJobs[workspace] {
		if j.Slot >= 0 || j.Phase == queue.Ended {
			continue
		}
		if e.assignSlot(j); j.Slot < 0 {
			continue
		}
		if j.Phase == queue.Running {
			e.moveHomeToJob(j)
		}
		return
	}
}

// moveHomeToJob moves the slot's home to the workers on which its job runs, if that takes no home away from another slot.
func (e *Engine) moveHomeToJob(j *queue.Job) {
	if j.Slot < 0 {
		return
	}
	slot := &e.Guard.Slots[j.Slot]
	if slot.Shape != j.Shape {
		return
	}
	e.uncountPin(j)
	allowance := e.Guard.AllowedView(j.Slot)
	if fitsOn(j, allowance) {
		e.Guard.SetHome(j.Slot, append([]int(nil), j.Workers...))
		slot.InHome = true
	}
	e.countPin(j)
}

// fitsOn reports whether the job's members fit on their workers within the view.
func fitsOn(j *queue.Job, view func(int) (shape.Resources, bool)) bool {
	for i, w := range j.Workers {
		if firstIndex(j.Workers, w) != i {
			continue
		}
		members := 0
		for _, x := range j.Workers {
			if x == w {
				members++
			}
		}
		avail, ok := view(w)
		if !ok || !j.Resources.Times(members).Fits(avail) {
			return false
		}
	}
	return true
}
