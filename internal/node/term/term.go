package term

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/abort"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/store"
)

const (
	// tickInterval limits the delay of decisions that are due to elapsed time alone.
	tickInterval = 100 * time.Millisecond
	// minBatchDelay is how long changes are collected before a decision. The delay grows up to maxBatchDelay while decisions
	// are slow: decisions use at most a third of the processor, and a quick job waits at most a quarter of its objective.
	minBatchDelay = 2 * time.Millisecond
	maxBatchDelay = 60 * time.Millisecond
	// listInterval is how often the list of workers is read: three times within its maximum age.
	listInterval = 400 * time.Millisecond
	// longestLease limits the leases that an owner grants, as tasks on a worker that is lost for good wait for its lease to
	// expire.
	longestLease = 6 * time.Second
	// extendPastLapse is how long a term keeps renewing workers' leases after its own lease may have lapsed. Running tasks
	// then live for their lease more, so a store outage of eight seconds stops none. A successor must wait as long before it
	// restarts tasks that ran on workers that it can't reach.
	extendPastLapse = 2 * time.Second
	// cutOffAfter is how long most workers must be silent before the owner resigns so that another instance can take over.
	cutOffAfter = 1500 * time.Millisecond
	// slowDecision is the duration from which a decision is logged as slow: a quarter of the shortest objective of quick
	// jobs.
	slowDecision = 60 * time.Millisecond
	// slowLogInterval is the minimum time between two log entries about slow decisions.
	slowLogInterval = 500 * time.Millisecond
	// clockDriftFactor is how much slower a worker's clock may run than the clock of this instance.
	clockDriftFactor = 1.02
	// expiryMargin is added to the time after which a worker's lease counts as expired.
	expiryMargin = 100 * time.Millisecond
)

// cutOffError means that this instance can't reach most workers.
type cutOffError struct{ silent, all int }

// Error names the numbers of silent workers and of all workers.
func (e *cutOffError) Error() string {
	return fmt.Sprintf("%d of %d workers do not answer this instance", e.silent, e.all)
}

// fencedError means that another instance has acquired ownership.
type fencedError struct{ by string }

// Error names who reported the other owner.
func (e *fencedError) Error() string {
	return "another instance has acquired ownership, as reported " + e.by
}

// largerPeerError means that the term is handed over to a larger instance.
type largerPeerError struct{}

// Error returns a fixed text.
func (largerPeerError) Error() string { return "an instance with far more processor capacity is up" }

// shutdownError means that the instance stops.
type shutdownError struct{}

// Error returns a fixed text.
func (shutdownError) Error() string { return "the instance stops" }

// term is one leadership term, from acquiring ownership until it is lost or given up.
type term struct {
	*Elector
	lease     int64
	token     int64
	startedAt time.Time
	// requestedAt is when the acquisition of the key was requested.
	requestedAt time.Time
	// predecessor is the last owner before this term as far as known, or empty.
	predecessor string
	// inheritedLease is the longest time for which leases of any earlier owner may last, sightings what this instance has seen before.
	inheritedLease time.Duration
	sightings      []sighting

	state        sync.Mutex
	engine       *group.Engine
	validUntil   time.Time
	listedAt     time.Time
	sessions     map[string]*session
	pendingStops map[stopKey]bool
	// earlyCancels has the jobs whose cancel was read before their spec.
	earlyCancels map[string]bool
	// revisions are those of the records and their parts, by key, as far as known.
	revisions map[string]int64
	// partKeys are the keys of parts that may exist, by job, partLimits the sizes above which records are divided, by job, after the
	// store has rejected larger ones.
	partKeys   map[string]map[string]bool
	partLimits map[string]int
	// leftovers are keys of deleted jobs that an earlier owner was lost before it deleted.
	leftovers []string
	// loadedRevision is the store revision as of which all jobs were last loaded, zero until they are.
	loadedRevision int64
	// scannedRevision is the store revision as of which the pending keys were last read.
	scannedRevision int64
	cancels         cancelProof
	// failedLoads is the number of terms in a row before this one that ended before the jobs were loaded.
	failedLoads int
	// commitsInFlight counts the commits in progress; commitFailed is true if the last one that ended has failed.
	commitsInFlight int
	commitFailed    bool
	// lastDecisionAt is when the last decision began, slowLoggedAt when a slow decision was last logged.
	lastDecisionAt   time.Time
	lastDecisionTook time.Duration
	slowLoggedAt     time.Time
	cause            error
	// closed is true once the term grants no more leases. ownedAt is a revision at which this instance was certainly the owner.
	closed   bool
	ownedAt  int64
	withheld withheld
	// heardExits are exits that the last owner has heard of, until they are applied.
	heardExits []group.WorkerExit
	// keptEnds are the jobs that may be shown as completed though their ends may not be on record.
	keptEnds map[string]bool
	// renewalsInFlight counts the renewals of the owner's lease without an answer.
	renewalsInFlight int

	pendingDecision chan struct{}
	// relistDue asks for a list of all jobs at once.
	relistDue  chan struct{}
	cancel     context.CancelFunc
	components abort.Group
}

type stopKey struct {
	worker string
	task   string
	run    int
}

func newTerm(e *Elector, lease, token int64, sent time.Time) *term {
	cfg := group.DefaultConfig()
	cfg.StopTimeout = e.Limits.StopTimeout
	cfg.Retention = e.Limits.Retention
	cfg.RemoteFactor = e.Limits.RemoteFactor
	// An earlier owner, possibly of a release that knows no longestLease, may have renewed leases until extendPastLapse after
	// its own lease lapsed, each for MaxLease.
	cfg.InheritedLease = extendPastLapse + worstCaseLease(e.Limits.MaxLease)
	now := e.Now()
	engine := group.New(cfg)
	engine.InheritLeases(group.InheritedLeases{Others: now.Add(cfg.InheritedLease)})
	return &term{
		Elector: e, lease: lease, token: token, startedAt: now, requestedAt: sent, inheritedLease: cfg.InheritedLease, ownedAt: token, engine: engine, failedLoads: e.turns.count(sent), validUntil: sent.Add(leaseTTL - leaseMargin),
		sessions: make(map[string]*session), pendingStops: make(map[stopKey]bool), earlyCancels: make(map[string]bool),
		revisions: make(map[string]int64), partKeys: make(map[string]map[string]bool), partLimits: make(map[string]int), keptEnds: make(map[string]bool), pendingDecision: make(chan struct{}, 1), relistDue: make(chan struct{}, 1),
		withheld:   withheld{workers: make(map[string]bool), forgottenAt: make(map[string]time.Time), changed: make(chan struct{}, 1)},
		components: abort.Group{Log: e.Log},
	}
}

// leaseDuration returns the duration of the leases that this owner grants.
func (t *term) leaseDuration() time.Duration { return min(t.Limits.MaxLease, longestLease) }

// worstCaseLease returns the longest time on this instance's clock that a lease of a worker can last.
func worstCaseLease(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDriftFactor) + expiryMargin
}

// run loads the state, makes decisions until the term is over, and returns why it ended.
func (t *term) run(ctx context.Context) error {
	ctx, t.cancel = context.WithCancel(store.From(ctx, store.Term))
	defer t.cancel()
	t.Log.Emit(event.TermBegan, event.Fields{"token": t.token, "lease": t.lease})
	t.engine.AwaitReports()
	t.Meter.Publish("workspaces", func() any { return t.usages() })
	t.components.Go("renewal", func() { t.renewLease(store.From(ctx, store.Renewal)) })
	t.components.Go("standing", func() { t.watchStanding(ctx) })
	asked := make(chan struct{})
	t.components.Go("predecessor", func() { t.inheritLeases(ctx, asked) })
	t.components.Go("history", func() { t.inheritBound(ctx) })
	t.components.Go("speeds", func() { t.keepSpeeds(ctx) })
	if t.load(ctx) {
		t.components.Go("reports", func() { t.collectReports(ctx, asked) })
		t.components.Go("leases", func() {
			t.inheritRecord(ctx)
			t.withholdLeases(ctx)
		})
		t.components.Go("exits", func() { t.leaveExits(ctx) })
		t.components.Go("workers", func() { t.listWorkers(store.From(ctx, store.Workers)) })
		t.components.Go("list", func() { t.relistJobs(store.From(ctx, store.Relist)) })
		t.components.Go("watch", func() { t.watchJobs(store.From(ctx, store.Watch)) })
		t.components.Go("pending", func() { t.scanWaiting(store.From(ctx, store.Pending)) })
		t.components.Go("staleness", func() { t.watchStaleness(ctx) })
		t.components.Go("leftovers", func() { t.deleteLeftovers(ctx) })
		t.components.Go("substitutes", func() { t.runProxies(ctx) })
		t.decisionLoop(ctx)
	}
	t.cancel()
	// The lease is revoked before pending calls have ended, as their fencing token makes late ones harmless.
	t.resign(t.lease)
	t.components.Wait()
	t.state.Lock()
	defer t.state.Unlock()
	if t.cause == nil {
		t.cause = shutdownError{}
	}
	return t.cause
}

// end ends the term; the cause of the first call is kept.
func (t *term) end(cause error) {
	t.state.Lock()
	if t.cause == nil {
		t.cause = cause
	}
	t.state.Unlock()
	t.cancel()
}

// leaseValid reports whether the owner's lease has certainly not lapsed. The caller holds t.state.
func (t *term) leaseValid(now time.Time) bool { return now.Before(t.validUntil) }

// mayStart reports whether the lease is valid and configuration and worker list are fresh enough to start tasks. The caller
// holds t.state.
func (t *term) mayStart(now time.Time) bool {
	_, confirmedAt := t.Policy.Current()
	return t.leaseValid(now) && now.Sub(confirmedAt) < t.policyAge() && now.Sub(t.listedAt) < t.Limits.ListAge
}

// usages returns what the workspaces have running, nil if this is no longer the owner.
func (t *term) usages() []group.Usage {
	t.state.Lock()
	defer t.state.Unlock()
	if !t.leaseValid(t.Now()) {
		return nil
	}
	return t.engine.Usages()
}

// policyAge returns the maximum age of the configuration for tasks to be started. The caller holds t.state.
func (t *term) policyAge() time.Duration {
	if t.Limits.CapAge > 0 && t.engine.Capped() {
		return min(t.Limits.PolicyAge, t.Limits.CapAge)
	}
	return t.Limits.PolicyAge
}

// notify requests a decision soon; it never blocks.
func (t *term) notify() {
	select {
	case t.pendingDecision <- struct{}{}:
	default:
	}
}

// decisionLoop makes a decision after each notification and at each tick.
func (t *term) decisionLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.pendingDecision:
			pause.For(ctx, t.batchDelay())
		case <-ticker.C:
		}
		// One decision serves all that is due, whichever came first.
		takeIfDue(t.pendingDecision)
		takeIfDue(ticker.C)
		if ctx.Err() != nil {
			return
		}
		t.decide(ctx)
	}
}

// takeIfDue takes a value from the channel if there is one.
func takeIfDue[T any](c <-chan T) {
	select {
	case <-c:
	default:
	}
}

// batchDelay returns how long to wait for further changes: twice the duration of the last decision, within limits.
func (t *term) batchDelay() time.Duration {
	t.state.Lock()
	defer t.state.Unlock()
	return min(max(minBatchDelay, 2*t.lastDecisionTook), maxBatchDelay)
}

// decide makes one decision and starts its orders and commits.
func (t *term) decide(ctx context.Context) {
	now := t.Now()
	snapshot, _ := t.Policy.Current()
	t.state.Lock()
	if snapshot.Policy != nil {
		t.engine.SetPolicy(snapshot.Placement())
	}
	t.engine.Decide(t.mayStart(now), now)
	t.timeDecision(now)
	var batches [][]group.Update
	for updates := t.nextUpdates(now); len(updates) > 0; updates = t.nextUpdates(now) {
		batches = append(batches, updates)
	}
	t.wakeSessions()
	actions := t.engine.Actions()
	silent, all := t.countSilent(now)
	t.state.Unlock()
	t.dispatch(ctx, actions)
	for _, updates := range batches {
		t.components.Go("commit", func() { t.commit(store.From(ctx, store.Records), updates) })
	}
	if 2*silent > all && now.Sub(t.startedAt) > cutOffAfter {
		t.end(&cutOffError{silent: silent, all: all})
	}
}

// timeDecision records the duration of the decision that began at now, and logs it if it was slow or began late. The caller
// holds t.state.
func (t *term) timeDecision(now time.Time) {
	took, waited := t.Now().Sub(now), now.Sub(t.lastDecisionAt)
	late := !t.lastDecisionAt.IsZero() && waited > slowDecision+tickInterval
	t.lastDecisionAt, t.lastDecisionTook = now, took
	t.Meter.Decisions.Record(took)
	if took < slowDecision && !late || now.Sub(t.slowLoggedAt) < slowLogInterval {
		return
	}
	t.slowLoggedAt = now
	t.Log.Emit(event.DecisionSlow, event.Fields{"took": took.String(), "waited": waited.String(), "workers": len(t.engine.Workers()), "open": t.engine.OpenJobs(), "waiting": t.engine.WaitingGroups(), "visited": t.engine.Examined(), "commits": t.commitsInFlight, "token": t.token})
}

// dispatch starts sending the orders among the actions, and logs the decisions among them.
func (t *term) dispatch(ctx context.Context, actions []group.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case group.StartOrder:
			t.components.Go("start", func() { t.sendStart(ctx, a) })
		case group.StopOrder:
			t.requestStop(ctx, a)
		case group.Decision:
			t.logDecision(a)
		}
	}
}
