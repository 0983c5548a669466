package replay

import (
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/proof/check"
	"github.com/lentildeck/lentildeck/internal/proof/trace"
)

// happen carries out one event of the trace.
func (s *sim) happen(event trace.Event) {
	switch e := event.(type) {
	case trace.Submit:
		j := &jobState{submit: &e}
		s.jobs[e.Job] = j
		s.order = append(s.order, j)
		s.submit(j)
	case trace.Cancel:
		s.cancel(s.jobs[e.Job])
	case trace.Drain:
		d, _ := s.engine.Fleet.DataCentre(e.DataCentre)
		s.note(check.Entry{Kind: check.Drained, Centre: e.DataCentre})
		s.engine.Drain(d, s.at().Add(e.Deadline.Duration), s.at())
		s.account.leave(d)
	case trace.Centre:
		s.centre(e)
	case trace.Worker:
		s.worker(e)
	case trace.End:
		s.ended = true
	}
}

// submit hands a job in; while the key-value service is down it can't be recorded, and the submitter repeats it.
func (s *sim) submit(j *jobState) {
	if j.outcome != queue.OutcomeNone {
		return
	}
	if !s.store {
		s.agenda.add(s.now+resubmitEvery, func() { s.submit(j) })
		return
	}
	spec := j.submit.Spec()
	if err := s.engine.Submit(spec, s.at()); err != nil {
		j.refused, j.outcome = true, queue.Refused
		s.note(check.Entry{Kind: check.Submitted, Job: spec.Job})
		s.note(check.Entry{Kind: check.Refused, Job: spec.Job, Why: err.Error()})
		return
	}
	s.note(check.Entry{Kind: check.Submitted, Job: spec.Job})
}

func (s *sim) cancel(j *jobState) {
	if j.outcome != queue.OutcomeNone {
		return
	}
	j.outcome, j.done = queue.Cancelled, s.now
	if r := j.run; r != nil {
		s.account.segment(r, s.now, 0)
		j.run = nil
	}
	if s.engine.Cancel(j.submit.Job) {
		s.note(check.Entry{Kind: check.Ended, Job: j.submit.Job, Why: "cancelled"})
	}
}

func (s *sim) centre(e trace.Centre) {
	if e.Kind == trace.KindStoreDown || e.Kind == trace.KindStoreUp {
		s.storeChanged(e)
		return
	}
	d, _ := s.engine.Fleet.DataCentre(e.DataCentre)
	switch e.Kind {
	case trace.KindRestore:
		s.note(check.Entry{Kind: check.Restored, Centre: e.DataCentre})
		s.engine.Reopen(d)
		s.account.comeBack(d)
	case trace.KindDataCentreDown:
		s.note(check.Entry{Kind: check.CentreDown, Centre: e.DataCentre})
		s.engine.CentreLost(d, s.at())
		s.account.leave(d)
		// What ran there ends now, before anything else that is due at the same time.
		s.decide()
	case trace.KindDataCentreUp:
		s.note(check.Entry{Kind: check.CentreUp, Centre: e.DataCentre})
		s.engine.CentreBack(d)
		s.account.comeBack(d)
	case trace.KindOwnerLost:
		s.loseOwner(d)
	}
}

// loseOwner leaves a data centre without decisions until another instance has taken over, which needs the service.
func (s *sim) loseOwner(d int) {
	if s.centres[d].ownerGone {
		return
	}
	s.centres[d].ownerGone = true
	s.refreshClosed(d)
	s.agenda.add(s.now+takeover, func() { s.takeOver(d) })
}

func (s *sim) takeOver(d int) {
	c := &s.centres[d]
	if !s.store || c.cut {
		s.agenda.add(s.now+resubmitEvery, func() { s.takeOver(d) })
		return
	}
	c.ownerGone = false
	reports := c.reports
	c.reports = nil
	s.refreshClosed(d)
	for _, report := range reports {
		report()
	}
}

// storeChanged follows an outage: of the service for all, or of one data centre's sight of it.
//
// While the service is down for all, the instances' word that none has accepted a command permits starts.
func (s *sim) storeChanged(e trace.Centre) {
	down := e.Kind == trace.KindStoreDown
	if e.DataCentre == "" {
		s.store = !down
		return
	}
	d, _ := s.engine.Fleet.DataCentre(e.DataCentre)
	s.centres[d].cut = down
	s.refreshClosed(d)
}

// refreshClosed tells the engine and the log whether tasks may start in the data centre.
func (s *sim) refreshClosed(d int) {
	c := &s.centres[d]
	s.engine.SetOwned(d, !c.ownerGone)
	s.engine.SetPermit(d, !c.cut)
	closed := c.ownerGone || c.cut
	if closed == c.closed {
		return
	}
	c.closed = closed
	kind := check.Opened
	if closed {
		kind = check.Closed
	}
	s.note(check.Entry{Kind: kind, Centre: s.engine.Fleet.DataCentres[d].Name})
}

func (s *sim) worker(e trace.Worker) {
	w, _ := s.engine.Fleet.Worker(e.Worker)
	switch e.Kind {
	case trace.KindWorkerDown:
		s.dead[w] = true
		s.note(check.Entry{Kind: check.WorkerDown, Worker: e.Worker})
		s.killOn(w)
		s.agenda.add(s.now+leaseLapse, func() {
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
		s.note(check.Entry{Kind: check.WorkerUp, Worker: e.Worker})
		s.engine.WorkerBack(w)
	case trace.KindWorkerBad:
		s.bad[w] = true
	case trace.KindWorkerGood:
		delete(s.bad, w)
	}
}

// killOn ends the work of every run that has a member on the worker; nobody hears of it before the leases lapse.
func (s *sim) killOn(w int) {
	for _, j := range s.order {
		if j.run == nil || j.run.died > 0 {
			continue
		}
		for _, on := range j.run.workers {
			if on == w {
				j.run.died = s.now
			}
		}
	}
}
