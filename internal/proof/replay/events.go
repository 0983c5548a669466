package replay

import (
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/check"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
)

// applyEvent applies one event of the trace.
func (s *sim) applyEvent(event trace.Event) {
	switch e := event.(type) {
	case trace.Submit:
		j := &jobState{submit: &e}
		s.jobs[e.Job] = j
		s.jobOrder = append(s.jobOrder, j)
		s.submit(j)
	case trace.Cancel:
		s.cancel(s.jobs[e.Job])
	case trace.Drain:
		d, _ := s.engine.Fleet.DataCentre(e.DataCentre)
		s.record(check.Entry{Kind: check.Drained, Centre: e.DataCentre})
		s.engine.Drain(d, s.at().Add(e.Deadline.Duration), s.at())
		s.metrics.openWindow(d)
	case trace.DataCentreChange:
		s.centre(e)
	case trace.WorkerChange:
		s.worker(e)
	case trace.End:
		s.ended = true
	}
}

// submit submits a job to the engine. While the key-value store is down, no job can be recorded, and the submitter retries.
func (s *sim) submit(j *jobState) {
	if j.outcome != queue.OutcomeNone {
		return
	}
	if !s.storeUp {
		s.queue.add(s.now+resubmitInterval, func() { s.submit(j) })
		return
	}
	spec := j.submit.Spec()
	if err := s.engine.Submit(spec, s.at()); err != nil {
		j.refused, j.outcome = true, queue.Refused
		s.record(check.Entry{Kind: check.Submitted, Job: spec.Job})
		s.record(check.Entry{Kind: check.Refused, Job: spec.Job, Why: err.Error()})
		return
	}
	s.record(check.Entry{Kind: check.Submitted, Job: spec.Job})
}

func (s *sim) cancel(j *jobState) {
	if j.outcome != queue.OutcomeNone {
		return
	}
	j.outcome, j.doneAt = queue.Cancelled, s.now
	if r := j.run; r != nil {
		s.metrics.addSegment(r, s.now, 0)
		j.run = nil
	}
	if s.engine.Cancel(j.submit.Job) {
		s.record(check.Entry{Kind: check.Ended, Job: j.submit.Job, Why: "cancelled"})
	}
}

func (s *sim) centre(e trace.DataCentreChange) {
	if e.Kind == trace.KindStoreDown || e.Kind == trace.KindStoreUp {
		s.storeChanged(e)
		return
	}
	d, _ := s.engine.Fleet.DataCentre(e.DataCentre)
	switch e.Kind {
	case trace.KindRestore:
		s.record(check.Entry{Kind: check.Restored, Centre: e.DataCentre})
		s.engine.Reopen(d)
		s.metrics.closeWindow(d)
	case trace.KindDataCentreDown:
		s.record(check.Entry{Kind: check.CentreDown, Centre: e.DataCentre})
		s.engine.CentreLost(d, s.at())
		s.metrics.openWindow(d)
		// The runs there must end before other events of the same time are applied.
		s.decide()
	case trace.KindDataCentreUp:
		s.record(check.Entry{Kind: check.CentreUp, Centre: e.DataCentre})
		s.engine.CentreBack(d)
		s.metrics.closeWindow(d)
	case trace.KindOwnerLost:
		s.loseOwner(d)
	}
}

// loseOwner stops decisions for a data centre until another instance has acquired ownership, which needs the store.
func (s *sim) loseOwner(d int) {
	if s.centres[d].ownerLost {
		return
	}
	s.centres[d].ownerLost = true
	s.updateClosed(d)
	s.queue.add(s.now+takeoverDelay, func() { s.takeOver(d) })
}

func (s *sim) takeOver(d int) {
	c := &s.centres[d]
	if !s.storeUp || c.storeCut {
		s.queue.add(s.now+resubmitInterval, func() { s.takeOver(d) })
		return
	}
	c.ownerLost = false
	reports := c.pendingReports
	c.pendingReports = nil
	s.updateClosed(d)
	for _, report := range reports {
		report()
	}
}

// storeChanged applies the start or end of a store outage, for all instances or for one data centre.
//
// While the store is down for all, starts are still permitted, as the instances confirm to each other that none has
// accepted a command.
func (s *sim) storeChanged(e trace.DataCentreChange) {
	down := e.Kind == trace.KindStoreDown
	if e.DataCentre == "" {
		s.storeUp = !down
		return
	}
	d, _ := s.engine.Fleet.DataCentre(e.DataCentre)
	s.centres[d].storeCut = down
	s.updateClosed(d)
}

// updateClosed updates the engine and the log on whether tasks may start in the data centre.
func (s *sim) updateClosed(d int) {
	c := &s.centres[d]
	s.engine.SetOwned(d, !c.ownerLost)
	s.engine.SetPermit(d, !c.storeCut)
	closed := c.ownerLost || c.storeCut
	if closed == c.closed {
		return
	}
	c.closed = closed
	kind := check.Opened
	if closed {
		kind = check.Closed
	}
	s.record(check.Entry{Kind: kind, Centre: s.engine.Fleet.DataCentres[d].Name})
}

func (s *sim) worker(e trace.WorkerChange) {
	w, _ := s.engine.Fleet.Worker(e.Worker)
	switch e.Kind {
	case trace.KindWorkerDown:
		s.dead[w] = true
		s.record(check.Entry{Kind: check.WorkerDown, Worker: e.Worker})
		s.interruptRunsOn(w)
		s.queue.add(s.now+leaseExpiryDelay, func() {
			if s.dead[w] {
				s.engine.WorkerLost(w, s.at())
			}
		})
	case trace.KindWorkerUp:
		if s.dead[w] {
			s.engine.WorkerLost(w, s.at())
			s.decide()
		}
		delete(s.dead, w)
		s.record(check.Entry{Kind: check.WorkerUp, Worker: e.Worker})
		s.engine.WorkerBack(w)
	case trace.KindWorkerBad:
		s.bad[w] = true
	case trace.KindWorkerGood:
		delete(s.bad, w)
	}
}

// interruptRunsOn ends the work of every run that has a member on the worker. The engine learns of it only when the
// worker's leases have expired.
func (s *sim) interruptRunsOn(w int) {
	for _, j := range s.jobOrder {
		if j.run == nil || j.run.diedAt > 0 {
			continue
		}
		for _, on := range j.run.workers {
			if on == w {
				j.run.diedAt = s.now
			}
		}
	}
}
