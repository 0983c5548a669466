package owner

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/span"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/place/queue"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/sourcegraph/conc"
)

// maxStartTries is how many times a start order is sent to a worker that does not answer.
const maxStartTries = 2

// HeldElsewhereError reports that another data centre holds the job.
type HeldElsewhereError struct {
	Job        string
	DataCentre string
}

// Error names the job and the data centre.
func (e *HeldElsewhereError) Error() string {
	return fmt.Sprintf("job %q is held by data centre %s", e.Job, e.DataCentre)
}

// launch records the attempt, reserves all members and starts them, in the background.
func (o *Owner) launch(t *term, a engine.Start, now time.Time) {
	j := t.engine.Job(a.Job)
	g := newGang(j.Spec, j.Submitted, a.Attempt, t.engine.Fleet.Names(a.Workers), starting)
	g.stageSince = now
	t.gangs[a.Job] = g
	progress := j.Progress
	o.spawn(func() { o.startGang(t, g, progress) })
}

// startGang starts all members or none.
func (o *Owner) startGang(t *term, g *gang, progress time.Duration) {
	if err := o.recordAttempt(g, progress); err != nil {
		o.dropStart(t, g, err)
		return
	}
	if err := o.sendToAll(t, g, func(i []int) worker.Request { return reserveRequest(g, i, progress) }, 1); err != nil {
		o.abortStart(t, g, err)
		return
	}
	if err := o.checkStartAllowed(t); err != nil {
		o.abortStart(t, g, err)
		return
	}
	if err := o.sendToAll(t, g, func(i []int) worker.Request { return startRequest(g, i) }, maxStartTries); err != nil {
		o.abortStart(t, g, err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if g.stage == starting {
		g.stage = running
		g.stageSince = o.cfg.Now()
		// A cancel that was read during the start is applied now.
		t.generation = -1
		o.advance(t, g, o.cfg.Now())
	}
}

// recordAttempt records the attempt before anything is sent to a worker.
//
// While the key-value store is unavailable, an idempotent job that this data centre already holds may start
// without a new record.
func (o *Owner) recordAttempt(g *gang, progress time.Duration) error {
	err := o.update(g.spec.Job, func(r *ledger.Record, exists bool) error {
		switch {
		case !exists:
			return &ledger.MissingError{Job: g.spec.Job}
		case !r.Open() || r.CancelRequested:
			return &ledger.EndedError{Job: g.spec.Job, Outcome: r.Outcome}
		case r.DataCentre != "" && r.DataCentre != o.cfg.Centre:
			return &HeldElsewhereError{Job: g.spec.Job, DataCentre: r.DataCentre}
		}
		r.DataCentre, r.Phase, r.Attempt, r.Workers = o.cfg.Centre, queue.Running, g.attempt, g.workers
		r.Started, r.Progress = g.stageSince, span.Of(progress)
		return nil
	})
	if err == nil || !temporary(err) || !g.spec.Idempotent {
		return err
	}
	if current, ok := o.cfg.Ledger.Get(g.spec.Job); ok && current.DataCentre == o.cfg.Centre {
		return nil
	}
	return err
}

// checkStartAllowed checks the lease and the permit again, immediately before the members are started.
func (o *Owner) checkStartAllowed(t *term) error {
	now := o.cfg.Now()
	if epoch, ok := o.cfg.Holder.Epoch(now); !ok || epoch != t.epoch {
		return &NotOwnerError{Epoch: t.epoch}
	}
	_, drained := o.cfg.Configuration.Active().Document.Drained(o.cfg.Centre)
	if drained || !o.cfg.Permits.Permit(now) {
		return &NoPermitError{}
	}
	return nil
}

// dropStart ends a start of which nothing was sent to a worker.
func (o *Owner) dropStart(t *term, g *gang, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.logClaimLost(g.spec.Job, err)
	delete(t.gangs, g.spec.Job)
	t.engine.StartFailed(g.spec.Job, o.cfg.Now())
	if !temporary(err) {
		t.engine.Withdraw(g.spec.Job)
	}
	t.generation = -1
	t.pendingDecision = true
}

// abortStart stops the members that were reserved or started.
func (o *Owner) abortStart(t *term, g *gang, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cfg.Log.Emit(event.StartFailed, event.Fields{"job": g.spec.Job, "attempt": g.attempt, "error": err.Error()})
	v := haltLost
	if !g.startSent.Load() {
		v = haltStartFailed
	}
	o.halt(t, g, v, "not every member could be started")
}

// sendToAll sends one request to each distinct worker of the gang and returns the first error.
func (o *Owner) sendToAll(t *term, g *gang, build func(members []int) worker.Request, tries int) error {
	var wg conc.WaitGroup
	var mu sync.Mutex
	var first error
	for name, members := range g.byWorker() {
		request := build(members)
		request.Worker = name
		wg.Go(func() {
			if err := o.deliver(t, g, request, members, tries); err != nil {
				mu.Lock()
				defer mu.Unlock()
				if first == nil {
					first = err
				}
			}
		})
	}
	wg.Wait()
	return first
}

// byWorker groups the member indexes by worker name.
func (g *gang) byWorker() map[string][]int {
	groups := make(map[string][]int)
	for i, name := range g.workers {
		groups[name] = append(groups[name], i)
	}
	return groups
}

func reserveRequest(g *gang, members []int, progress time.Duration) worker.Request {
	var request worker.Request
	for _, i := range members {
		request.Reserve = append(request.Reserve, g.task(i, progress))
	}
	return request
}

func startRequest(g *gang, members []int) worker.Request {
	g.startSent.Store(true)
	var request worker.Request
	for _, i := range members {
		request.Start = append(request.Start, g.id(i))
	}
	return request
}

// deliver repeats the request until it is answered, at most tries times, and checks that the worker holds the members.
func (o *Owner) deliver(t *term, g *gang, request worker.Request, members []int, tries int) error {
	var last error
	for range tries {
		response, err := o.call(t, request)
		if err != nil {
			last = err
			continue
		}
		o.applyResponse(t, request.Worker, response)
		return checkMembers(g, request, response, members)
	}
	return last
}

// checkMembers checks that the worker holds every member, and that they have started if the request was to start them.
func checkMembers(g *gang, request worker.Request, response worker.Response, members []int) error {
	for _, i := range members {
		at := slices.IndexFunc(response.Tasks, func(s worker.Status) bool { return s.TaskID == g.id(i) })
		if at < 0 {
			return &MemberError{Task: g.id(i), Worker: request.Worker, Phase: "missing"}
		}
		phase := response.Tasks[at].Phase
		started := len(request.Start) > 0
		if phase == worker.Stopped || (started && phase == worker.Reserved) {
			return &MemberError{Task: g.id(i), Worker: request.Worker, Phase: phase.String()}
		}
	}
	return nil
}

// call sends one request to a worker under the term's epoch.
func (o *Owner) call(t *term, request worker.Request) (worker.Response, error) {
	ctx, cancel := context.WithTimeout(o.callCtx, workerCallTimeout)
	defer cancel()
	o.mu.Lock()
	if s := t.byName[request.Worker]; s != nil {
		s.lastCall = o.cfg.Now()
	}
	o.mu.Unlock()
	request.Epoch = t.epoch
	request.Lease = span.Of(o.cfg.WorkerLease)
	return o.cfg.Link.Sync(ctx, request)
}

// NotOwnerError reports that the lease of the term is not confirmed immediately before a start.
type NotOwnerError struct{ Epoch int64 }

// Error names the epoch of the term.
func (e *NotOwnerError) Error() string {
	return fmt.Sprintf("lease of epoch %d is not confirmed", e.Epoch)
}

// NoPermitError reports that the data centre may be drained, so that nothing may start.
type NoPermitError struct{}

// Error returns the reason.
func (e *NoPermitError) Error() string { return "no proof that the data centre is not drained" }

// MemberError reports that a worker does not hold a member in the expected phase.
type MemberError struct {
	Task   worker.TaskID
	Worker string
	Phase  string
}

// Error names the task, the worker and the phase.
func (e *MemberError) Error() string {
	return fmt.Sprintf("task %s on worker %s is %s", e.Task, e.Worker, e.Phase)
}
