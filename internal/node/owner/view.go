package owner

import (
	"sort"

	"github.com/lentildeck/lentildeck/internal/oper/view"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
)

// Snapshot returns the owner's state for operators; ok is false if this instance owns no data centre.
func (o *Owner) Snapshot() (snapshot view.Snapshot, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return snapshot, false
	}
	e := o.term.engine
	snapshot.Workers = workerRows(e)
	snapshot.Jobs = o.jobRows(e)
	snapshot.Guarantees = guaranteeRows(e)
	snapshot.DataCentres = []view.DataCentre{o.centreRow(e, snapshot)}
	return snapshot, true
}

func (o *Owner) jobRows(e *engine.Engine) []view.Job {
	var rows []view.Job
	e.EachJob(func(j *queue.Job) { rows = append(rows, o.jobRow(e, j)) })
	sort.Slice(rows, func(a, b int) bool { return rows[a].Job < rows[b].Job })
	return rows
}

func (o *Owner) jobRow(e *engine.Engine, j *queue.Job) view.Job {
	why := j.Reason
	if j.Phase == queue.Waiting && why.Code == reason.None {
		why.Code = reason.NotConsidered
	}
	if !(j.Phase == queue.Waiting || j.Phase == queue.Claiming) {
		why = reason.Reason{}
	}
	return view.Job{
		Job: j.Job, Workspace: j.Workspace, Class: j.Class.String(), Phase: j.Phase.String(), Outcome: view.OutcomeText(j.Outcome),
		DataCentre: o.cfg.Centre, Members: j.Members, Accelerators: j.Total().Accelerators, Within: j.Within.String(),
		Attempt: j.Attempt, Guaranteed: j.Slot >= 0, Workers: e.Fleet.Names(j.Workers), Submitted: j.Submitted,
		Reason: why, Why: why.String(),
	}
}

func workerRows(e *engine.Engine) []view.Worker {
	rows := make([]view.Worker, 0, len(e.Fleet.Workers))
	for i := range e.Fleet.Workers {
		w := &e.Fleet.Workers[i]
		state := "up"
		switch {
		case !w.Up:
			state = "lost"
		case w.Quarantined:
			state = "quarantined"
		}
		rows = append(rows, view.Worker{
			Worker: w.Name, DataCentre: e.Fleet.DataCentres[w.DataCentre].Name, Rack: e.Fleet.Racks[w.Rack].Name, State: state,
			Accelerators: w.Capacity.Accelerators, Free: max(w.Free.Accelerators, 0), Guaranteed: w.Guaranteed.Accelerators, Jobs: e.JobsOn(i),
		})
	}
	return rows
}

func guaranteeRows(e *engine.Engine) []view.Guarantee {
	rows := make([]view.Guarantee, 0, len(e.Guard.Slots))
	for _, slot := range e.Guard.Slots {
		state := "idle, can be reclaimed"
		switch {
		case slot.InHome:
			state = "in use"
		case slot.Home == nil:
			state = "no live place is left"
		case slot.Job != "":
			state = "asked for"
		}
		centre := ""
		if len(slot.Home) > 0 {
			centre = e.Fleet.DataCentres[e.Fleet.Workers[slot.Home[0]].DataCentre].Name
		}
		rows = append(rows, view.Guarantee{
			Workspace: slot.Workspace, DataCentre: centre, Shape: slot.Shape.String(), Job: slot.Job, State: state, Home: e.Fleet.Names(slot.Home),
		})
	}
	return rows
}

func (o *Owner) centreRow(e *engine.Engine, snapshot view.Snapshot) view.DataCentre {
	d := &e.Fleet.DataCentres[0]
	state := "in service"
	switch {
	case d.Drained:
		state = "drained"
	case !o.term.workersKnown:
		state = "taken over; its workers are heard first"
	case d.Unowned:
		state = "lease not confirmed; nothing starts"
	case d.NoPermit:
		state = "no permit; nothing starts"
	}
	row := view.DataCentre{DataCentre: o.cfg.Centre, State: state, Owner: o.cfg.Instance, Epoch: o.term.epoch, Workers: len(snapshot.Workers)}
	for _, w := range snapshot.Workers {
		row.Accelerators += w.Accelerators
		row.Free += w.Free
		row.Guaranteed += w.Guaranteed
	}
	for _, j := range snapshot.Jobs {
		switch j.Phase {
		case queue.Running.String(), queue.Stopping.String():
			row.Running++
		case queue.Waiting.String(), queue.Claiming.String():
			row.Waiting++
		}
	}
	return row
}
