package term

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/abort"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// tickEvery bounds how late a decision is that only time brings about.
	tickEvery = 100 * time.Millisecond
	// gather is how long changes are collected before a decision, gatherMost the same while decisions are slow: decisions
	// may fill a third of the processor, and a quick job waits a quarter of its objective at most.
	gather     = 2 * time.Millisecond
	gatherMost = 60 * time.Millisecond
	// listEvery is how often the list of workers is read: three times within its oldest allowed age.
	listEvery = 400 * time.Millisecond
	// holdPast is how long a term keeps renewing workers' leases after its own lease may have lapsed. What runs then lives
	// for MaxHold more, so an outage of eight seconds costs nothing; a successor must wait for as long before it starts
	// anew what ran on workers that it can't reach.
	holdPast = 2 * time.Second
	// cutOffAfter is how long most workers must be silent before the owner leaves its place to another instance.
	cutOffAfter = 1500 * time.Millisecond
	// slowAfter is the length of a decision that is logged: a quarter of the shortest objective of the users' quick jobs.
	slowAfter = 60 * time.Millisecond
	// slowLogEvery bounds the volume of that line.
	slowLogEvery = 500 * time.Millisecond
	// clockSlack is how much slower than ours a worker's clock may run.
	clockSlack = 1.02
	// leaseSlack is added to the time after which a worker's lease has surely ended.
	leaseSlack = 100 * time.Millisecond
)

// cutOffError says that most workers can't be reached from here.
type cutOffError struct{ silent, all int }

// Error counts the workers.
func (e *cutOffError) Error() string {
	return fmt.Sprintf("%d of %d workers do not answer this instance", e.silent, e.all)
}

// fencedError says that another instance has taken over.
type fencedError struct{ by string }

// Error says how it is known.
func (e *fencedError) Error() string { return "another owner has taken over, as seen " + e.by }

// outclassedError says that a larger instance should decide.
type outclassedError struct{}

// Error says so.
func (outclassedError) Error() string { return "an instance with far more of a processor is up" }

// stopError says that the instance stops.
type stopError struct{}

// Error says so.
func (stopError) Error() string { return "the instance stops" }

// term is one time of ownership.
type term struct {
	*Elector
	lease int64
	token int64
	// began is when the term started.
	began time.Time

	state      sync.Mutex
	engine     *sets.Engine
	validUntil time.Time
	listed     time.Time
	sessions   map[string]*session
	stops      map[stopKey]bool
	orphans    map[string]bool
	revisions  map[string]int64
	// loadedAsOf is the revision up to which all jobs were loaded when the term began, zero before.
	loadedAsOf int64
	// commits counts the transactions on their way, commitFailed is true after one that failed.
	commits      int
	commitFailed bool
	// decided is when the last decision began and took how long it was, slowLogged when a slow one was last logged.
	decided    time.Time
	took       time.Duration
	slowLogged time.Time
	cause      error

	kick   chan struct{}
	cancel context.CancelFunc
	parts  abort.Parts
}

type stopKey struct {
	worker string
	task   string
	run    int
}

func newTerm(e *Elector, lease, token int64, sent time.Time) *term {
	cfg := sets.DefaultConfig()
	cfg.StopTimeout = e.Bounds.StopTimeout
	cfg.Retention = e.Bounds.Retention
	cfg.RemoteFactor = e.Bounds.RemoteFactor
	// An earlier owner may have renewed until holdPast after its lease lapsed, and that lasts MaxHold.
	cfg.InheritedLease = holdPast + stretch(e.Bounds.MaxHold)
	return &term{
		Elector: e, lease: lease, token: token, began: e.Now(), engine: sets.New(cfg), validUntil: sent.Add(leaseTTL - leaseMargin),
		sessions: make(map[string]*session), stops: make(map[stopKey]bool), orphans: make(map[string]bool),
		revisions: make(map[string]int64), kick: make(chan struct{}, 1), parts: abort.Parts{Log: e.Log},
	}
}

// stretch is the longest that a lease can last by our clock.
func stretch(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockSlack) + leaseSlack
}

// run decides until the term is over and returns why it ended.
func (t *term) run(ctx context.Context) error {
	ctx, t.cancel = context.WithCancel(ctx)
	defer t.cancel()
	t.Log.Emit(event.TermBegan, event.Fields{"token": t.token, "lease": t.lease})
	t.parts.Go("renewal", func() { t.renew(ctx) })
	if t.load(ctx) {
		t.parts.Go("workers", func() { t.list(ctx) })
		t.parts.Go("watch", func() { t.watch(ctx) })
		t.parts.Go("pending", func() { t.pending(ctx) })
		t.parts.Go("substitutes", func() { t.substitute(ctx) })
		t.loop(ctx)
	}
	t.cancel()
	// The lease goes back before calls on their way have come to an end: their token fences them off.
	t.resign(t.lease)
	t.parts.Wait()
	t.state.Lock()
	defer t.state.Unlock()
	if t.cause == nil {
		t.cause = stopError{}
	}
	return t.cause
}

// end gives the term up for the first cause that is named.
func (t *term) end(cause error) {
	t.state.Lock()
	if t.cause == nil {
		t.cause = cause
	}
	t.state.Unlock()
	t.cancel()
}

// renew keeps the lease.
func (t *term) renew(ctx context.Context) {
	for pause.For(ctx, renewEvery) {
		sent := t.Now()
		call, done := context.WithTimeout(ctx, storeTimeout)
		err := t.Store.Renew(call, t.lease)
		done()
		var lapsed *store.LapsedError
		switch {
		case err == nil:
			t.state.Lock()
			t.validUntil = sent.Add(leaseTTL - leaseMargin)
			t.state.Unlock()
			if t.handsOver(t.began, sent) {
				t.end(outclassedError{})
				return
			}
		case errors.As(err, &lapsed):
			t.end(err)
			return
		default:
			t.Log.Emit(event.StoreLost, event.Fields{"call": "renew", "error": err.Error()})
		}
	}
}

// valid reports whether the lease has certainly not lapsed. The caller holds the state.
func (t *term) valid(now time.Time) bool { return now.Before(t.validUntil) }

// mayStart reports whether tasks may be started. The caller holds the state.
func (t *term) mayStart(now time.Time) bool {
	_, proved := t.Policy.Current()
	return t.valid(now) && now.Sub(proved) < t.Bounds.PolicyAge && now.Sub(t.listed) < t.Bounds.ListAge
}

// wake asks for a decision soon.
func (t *term) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// loop decides at each change and at each tick.
func (t *term) loop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.kick:
			pause.For(ctx, t.gathering())
		case <-ticker.C:
		}
		t.step(ctx)
	}
}

// gathering is how long to wait for further changes: twice as long as the last decision took, within bounds.
func (t *term) gathering() time.Duration {
	t.state.Lock()
	defer t.state.Unlock()
	return min(max(gather, 2*t.took), gatherMost)
}

// step takes one decision and sends it on its way.
func (t *term) step(ctx context.Context) {
	now := t.Now()
	snapshot, _ := t.Policy.Current()
	t.state.Lock()
	if snapshot.Policy != nil {
		t.engine.SetPolicy(snapshot.Policy.SetQueues(), snapshot.Policy.Promised(), snapshot.Evacuated)
	}
	t.engine.Decide(t.mayStart(now), now)
	t.timeDecision(now)
	var groups [][]sets.Update
	for updates := t.takeUpdates(now); len(updates) > 0; updates = t.takeUpdates(now) {
		groups = append(groups, updates)
	}
	t.acknowledge()
	actions := t.engine.Actions()
	silent, all := t.silent(now)
	t.state.Unlock()
	t.dispatch(ctx, actions)
	for _, updates := range groups {
		t.parts.Go("commit", func() { t.commit(ctx, updates) })
	}
	if 2*silent > all && now.Sub(t.began) > cutOffAfter {
		t.end(&cutOffError{silent: silent, all: all})
	}
}

// timeDecision records how long the decision that began at now took, and logs one that makes orders late. The caller holds
// the state.
func (t *term) timeDecision(now time.Time) {
	took, waited := t.Now().Sub(now), now.Sub(t.decided)
	late := !t.decided.IsZero() && waited > slowAfter+tickEvery
	t.decided, t.took = now, took
	t.Meter.Decisions.Add(took)
	if took < slowAfter && !late || now.Sub(t.slowLogged) < slowLogEvery {
		return
	}
	t.slowLogged = now
	t.Log.Emit(event.DecisionSlow, event.Fields{"took": took.String(), "waited": waited.String(), "workers": len(t.engine.Workers()), "open": t.engine.Open(), "waiting": t.engine.Waiting(), "visited": t.engine.Visited(), "commits": t.commits, "token": t.token})
}

// dispatch sends orders on their way and logs decisions.
func (t *term) dispatch(ctx context.Context, actions []sets.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case sets.StartOrder:
			t.parts.Go("start", func() { t.start(ctx, a) })
		case sets.StopOrder:
			t.stop(ctx, a)
		case sets.Note:
			t.Log.Emit(event.RunChanged, event.Fields{"what": a.What.String(), "job": a.Job, "worker": a.Worker, "task": a.Task, "run": a.Run, "why": a.Text, "token": t.token})
			t.Meter.Count("run." + a.What.String())
		}
	}
}
