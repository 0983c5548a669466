package engine

import (
	"time"

	"github.com/lentildeck/lentildeck/internal/place/fleet"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/place/reason"
	"github.com/lentildeck/lentildeck/internal/place/shape"
)

// searchKey identifies searches with the same outcome for jobs that hold no guarantee.
type searchKey struct {
	shape       shape.Shape
	firstCentre int
	centreCount int
	pinned      bool
}

// pass is the state of one decision, shared by the jobs that it considers.
type pass struct {
	now            time.Time
	failedSearches map[searchKey]reason.Reason
	// searches counts the searches for victims, compactions the searches for jobs to move.
	searches    int
	compactions int
	blocker     string
	// scanned is true once maxVictimScore and freeAccelerators are set; both can only decrease during a pass.
	scanned bool
	// maxVictimScore is the highest score of a running job that may be preempted.
	maxVictimScore float64
	// freeAccelerators is the number of free accelerators on usable workers.
	freeAccelerators int
}

// maxSearchesPerPass limits the searches for victims in one decision.
const maxSearchesPerPass = 6

// Decide considers every waiting job in order and returns the actions that the caller must carry out.
func (e *Engine) Decide(now time.Time) []Action {
	e.stopDrained(now)
	e.releaseQuarantined(now)
	e.startReserved(now)
	p := &pass{now: now, failedSearches: make(map[searchKey]reason.Reason)}
	for _, j := range e.sorted(now) {
		if now.Before(j.NotBefore) {
			j.Reason = reason.Reason{Code: reason.Backoff, Until: j.NotBefore}
			continue
		}
		if p.blocker != "" && !e.policy.Backfill {
			j.Reason = reason.Reason{Code: reason.BehindOthers, BlockedBy: p.blocker}
			continue
		}
		if !e.place(j, p) && p.blocker == "" {
			p.blocker = j.Job
		}
	}
	e.pruneWaiting()
	return e.takeActions()
}

// place starts the job, or reserves capacity for it, or records why it waits.
func (e *Engine) place(j *queue.Job, p *pass) bool {
	centres := e.startableCentres(j)
	if len(centres) == 0 {
		j.Reason = e.unavailableReason(j)
		return false
	}
	if len(j.FailedOn) > 0 && !e.fitsElsewhere(j) {
		j.FailedOn = nil
	}
	if j.Slot >= 0 && (e.placeGuaranteed(j, centres, p.now) || e.placeOnFailedWorkers(j, centres, p.now)) {
		return true
	}
	return e.placeOpportunistic(j, centres, p)
}

// startableCentres returns the data centres in which the job may start now.
func (e *Engine) startableCentres(j *queue.Job) []int {
	open := make([]int, 0, len(j.Centres))
	for _, d := range j.Centres {
		if e.Fleet.DataCentres[d].Startable() {
			open = append(open, d)
		}
	}
	return open
}

func (e *Engine) unavailableReason(j *queue.Job) reason.Reason {
	code := reason.Drained
	for _, d := range j.Centres {
		centre := e.Fleet.DataCentres[d]
		switch {
		case centre.Available() && centre.NoPermit:
			return reason.Reason{Code: reason.NoPermit, Shape: j.Shape}
		case centre.Available():
			code = reason.NoOwner
		case centre.Down && code == reason.Drained:
			code = reason.DataCentreLost
		}
	}
	return reason.Reason{Code: code, Shape: j.Shape}
}

// placeOpportunistic places the job on free capacity, or preempts other jobs for it if the policy allows it.
func (e *Engine) placeOpportunistic(j *queue.Job, centres []int, p *pass) bool {
	key := searchKey{shape: j.Shape, firstCentre: centres[0], centreCount: len(centres), pinned: j.Pinned()}
	miss, missed := p.failedSearches[key]
	if !missed {
		if workers := e.Fleet.Find(centres, j.Shape, e.viewFor(j), e.policy.BestFit); workers != nil {
			e.start(j, workers, "free capacity", p.now)
			return true
		}
		miss = e.explain(j, centres)
		if len(j.FailedOn) == 0 {
			p.failedSearches[key] = miss
		}
	}
	j.Reason = miss
	if p.now.Sub(j.SearchedAt) < reviewInterval || p.searches >= maxSearchesPerPass {
		return false
	}
	p.searches++
	if e.preempt(j, centres, p) || e.compact(j, centres, p) {
		return true
	}
	j.SearchedAt = p.now
	return false
}

// viewFor returns the capacity that the job may use without stopping other jobs.
func (e *Engine) viewFor(j *queue.Job) fleet.View {
	view := e.Fleet.FreeView()
	if j.Pinned() {
		view = e.Fleet.UnguaranteedView()
	}
	if len(j.FailedOn) == 0 {
		return view
	}
	return excluding(view, j.FailedOn)
}

// excluding returns the view without the given workers.
func excluding(view fleet.View, workers []int) fleet.View {
	return func(w int) (shape.Resources, bool) {
		avail, ok := view(w)
		return avail, ok && firstIndex(workers, w) < 0
	}
}

// intersect returns the capacity that both views offer.
func intersect(a, b fleet.View) fleet.View {
	return func(w int) (shape.Resources, bool) {
		left, okLeft := a(w)
		right, okRight := b(w)
		return left.Min(right), okLeft && okRight
	}
}

// pruneWaiting removes jobs that hold capacity from the list of waiting jobs.
func (e *Engine) pruneWaiting() {
	kept := e.waiting[:0]
	for _, j := range e.waiting {
		if j.Phase == queue.Waiting {
			kept = append(kept, j)
		}
	}
	clear(e.waiting[len(kept):])
	e.waiting = kept
}

// explain returns why no placement was found, with the unit that can hold the most members now.
func (e *Engine) explain(j *queue.Job, centres []int) reason.Reason {
	r := reason.Reason{Code: reason.NoCapacity, Shape: j.Shape}
	total := 0
	for _, d := range centres {
		members, where := e.Fleet.LargestFree(d, j.Shape)
		if members >= r.Found {
			r.Found, r.Where = members, where
		}
		wide := j.Shape
		wide.Within = shape.DataCentre
		free, _ := e.Fleet.LargestFree(d, wide)
		total = max(total, free)
	}
	switch {
	case r.Found >= j.Members && j.Pinned():
		r.Code = reason.Promised
	case total >= j.Members:
		r.Code = reason.Fragmented
	}
	r.BlockedBy = e.largestAt(r.Where, centres)
	return r
}

// largestAt returns the name of the largest job on the rack or worker, or in all the data centres if where is empty.
func (e *Engine) largestAt(where string, centres []int) string {
	var largest *queue.Job
	for w := range e.Fleet.Workers {
		worker := &e.Fleet.Workers[w]
		if where == "" && firstIndex(centres, worker.DataCentre) < 0 {
			continue
		}
		if where != "" && worker.Name != where && e.Fleet.Racks[worker.Rack].Name != where {
			continue
		}
		for _, j := range e.onWorker[w] {
			if largest == nil || j.Total().Accelerators > largest.Total().Accelerators {
				largest = j
			}
		}
	}
	if largest == nil {
		return ""
	}
	return largest.Job
}
