package term

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/peer/extend"
	"github.com/lentildeck/lentildeck/internal/peer/grants"
	"github.com/lentildeck/lentildeck/internal/peer/notify"
	"github.com/lentildeck/lentildeck/internal/place/group"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// leaseTTL is how long the owner's lease lives without renewal: no instance decides for that long when an owner is lost.
	// A store that is slower by a factor of 100 still answers a renewal in a third of it.
	leaseTTL = 1200 * time.Millisecond
	// renewInterval leaves four attempts to renew within a TTL; after one without an answer, the next comes in half of it.
	renewInterval = leaseTTL / 5
	// leaseMargin is how much earlier than the store the owner considers its lease lapsed: two calls to a store without load
	// and a late timer.
	leaseMargin = 200 * time.Millisecond
	// storeTimeout limits one call to the store; it is 250 times the usual response time.
	storeTimeout = time.Second
	// acquireTimeout limits the creation of the owner's key, so that time is left to read it if there is no answer.
	acquireTimeout = leaseTTL / 3
	// watchWait is how long one watch waits for the owner's key to change.
	watchWait = time.Second
	// watchesPerRead is how many watches in a row may return no change before the key is read again: a watch can miss one.
	watchesPerRead = 4
	// storeRetryDelay is the mean delay after a failed call to the key-value store.
	storeRetryDelay = 100 * time.Millisecond
	// deferDelay is how long an instance leaves a free key to larger instances. They need three calls to the store, which
	// take half of it if the store is slower by a factor of ten.
	deferDelay = 300 * time.Millisecond
	// handOverAfter is how long a term lasts before it is handed over to a larger instance; it covers the time in which all
	// instances start. handOverInterval is the minimum time between two such handovers by one instance.
	handOverAfter    = 3 * time.Second
	handOverInterval = time.Minute
	// cutOffCooldown is how long an instance that could not reach most workers does not compete for ownership.
	cutOffCooldown = 6 * time.Second
)

// Limits are the timeouts and limits that the site sets for the owner.
type Limits struct {
	// MaxLease is the longest lease of the tasks on a worker.
	MaxLease time.Duration
	// StopTimeout is how long a worker may take to stop a task.
	StopTimeout time.Duration
	// PolicyAge and ListAge are the maximum ages of the configuration and of the list of workers for tasks to be started.
	PolicyAge time.Duration
	ListAge   time.Duration
	// CapAge is the maximum age of the configuration for tasks to be started while any workspace has a cap, as the cap may have been
	// lowered since; zero sets none beside PolicyAge.
	CapAge time.Duration
	// EndKeepers is how many other instances must keep the end of a task that is not on record before its job is shown as completed; zero
	// shows none.
	EndKeepers int
	// CancelAge is how long the owner may not know of cancels before it resigns if another instance can read; zero if it need not.
	CancelAge time.Duration
	// Retention is how long the records of ended jobs are kept.
	Retention time.Duration
	// RemoteFactor is the ratio of a task's duration away from its data to that next to it.
	RemoteFactor float64
	// MaxValueBytes is the size of the largest value that the store accepts, MaxEntries the maximum number of entries of a
	// transaction; zero stands for the defaults of the package store.
	MaxValueBytes int
	MaxEntries    int
}

// Lister lists the workers as they are at or after the time of the call.
type Lister interface {
	Workers(ctx context.Context) ([]group.WorkerInfo, error)
}

// Peers gives access to the other instances.
type Peers interface {
	// HasLargerPeer reports whether another instance has far more processor capacity.
	HasLargerPeer() bool
	// AddressesIn returns the addresses of the other instances in the data centre.
	AddressesIn(dataCentre string) []string
}

// Proxies are the instances that extend workers' leases in their data centre while the owner is silent.
type Proxies interface {
	// Allow sends the instance at the address the leases that it may extend; ctx must have a deadline.
	Allow(ctx context.Context, address string, request *extend.Request) (*extend.Reply, error)
}

// Elector competes for ownership and runs a term each time it acquires it.
type Elector struct {
	Instance string
	Store    store.Transactor
	Agent    agent.Client
	Lister   Lister
	Policy   *policy.Holder
	Limits   Limits
	// DataCentre is that of this instance. Peers is nil where all instances are alike, Proxies where there are none.
	DataCentre string
	Peers      Peers
	Proxies    Proxies
	// Predecessors is nil where instances can't ask each other.
	Predecessors Predecessors
	// Readers is nil where instances can't ask each other; an owner that can't read then stays.
	Readers Readers
	Log     *event.Log
	Meter   *meter.Metrics
	// Now is the monotonic clock, WallNow the time of day.
	Now     func() time.Time
	WallNow func() time.Time
	// Jitter returns a delay with the given mean before something is tried again; if it is nil, the delays are random.
	Jitter func(mean time.Duration) time.Duration

	// deferred is true after the free key was left to other instances once. handedOverAt is when a term was last handed
	// over to one.
	deferred     bool
	handedOverAt time.Time
	// sightings are the last ones, the oldest first.
	sightings []sighting
	turns     turns

	mu      sync.Mutex
	current *term
	// past is the last term of this instance that has ended.
	past *pastTerm
	// kept are the exits that an owner has left with this instance.
	kept grants.Exits
	// askedBy is the highest token of an owner that has asked for kept exits.
	askedBy int64
	// knownOwner is the owner's name as last read from its key, or empty; lastOwner is the last name that was not.
	knownOwner string
	lastOwner  string
}

// ownerRecord is the stored value of the owner's key.
type ownerRecord struct {
	Instance string `json:"instance"`
	// Withholds is true if the owner grants no leases to the workers that the LeaseRecord lists, and none longer than longestLease.
	Withholds bool `json:"withholds,omitempty"`
	// FailedLoads is the number of terms in a row before this one that ended before the jobs were loaded.
	FailedLoads int `json:"failedLoads,omitempty"`
}

// Run competes for ownership until ctx ends, then revokes the lease if it holds one, and closes done.
func (e *Elector) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		lease, token, sent, err := e.acquire(ctx)
		if err != nil {
			pause.For(ctx, e.jitter(storeRetryDelay))
			continue
		}
		if token == 0 {
			continue
		}
		t := newTerm(e, lease, token, sent)
		e.mu.Lock()
		t.predecessor, e.lastOwner = e.lastOwner, e.Instance
		t.sightings = slices.Clone(e.sightings)
		e.current = t
		e.mu.Unlock()
		cause := t.run(ctx)
		past := t.close()
		if ctx.Err() == nil {
			e.turns.ended(t.loadedRevision != 0, t.failedLoads, e.Now())
		}
		e.mu.Lock()
		e.current, e.past = nil, past
		e.mu.Unlock()
		e.Log.Emit(event.TermEnded, event.Fields{"token": token, "why": cause.Error()})
		var cut *cutOffError
		var larger largerPeerError
		var stale *staleError
		switch {
		case errors.As(cause, &cut):
			pause.For(ctx, cutOffCooldown)
		case errors.As(cause, &larger):
			e.handedOverAt, e.deferred = e.Now(), false
		case errors.As(cause, &stale):
			e.turns.yield(e.Now())
		}
	}
}

// resign revokes the lease, so that another instance can acquire ownership at once; if this fails, the lease lapses
// automatically.
func (e *Elector) resign(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout/2)
	defer cancel()
	if err := e.Store.Revoke(ctx, lease); err != nil {
		e.Log.Emit(event.StoreLost, event.Fields{"call": "revoke", "error": err.Error()})
	}
}

// acquire creates the owner's key if it is free and returns the key's revision as token; otherwise it waits for a change.
// The token is zero if this instance has not become the owner.
func (e *Elector) acquire(ctx context.Context) (lease, token int64, sent time.Time, err error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, asOf, err := e.Store.Range(call, work.OwnerKey)
	if err != nil {
		return 0, 0, sent, err
	}
	e.noteOwner(items)
	limits := e.limitsLeases(items)
	e.sighted(asOf, limits)
	if len(items) > 0 {
		e.deferred = false
		return 0, 0, sent, e.awaitRelease(ctx, asOf, limits)
	}
	if e.deferToOthers(ctx) {
		return 0, 0, sent, nil
	}
	sent = e.Now()
	data, err := json.Marshal(ownerRecord{Instance: e.Instance, Withholds: true, FailedLoads: e.turns.count(sent)})
	if err != nil {
		return 0, 0, sent, err
	}
	if lease, err = e.Store.Grant(call, leaseTTL); err != nil {
		return 0, 0, sent, err
	}
	token, err = e.createKey(call, lease, data)
	var refused *store.RefusedError
	switch {
	case errors.As(err, &refused):
		return 0, 0, sent, nil
	case err != nil:
		// The key may be created under this lease; it lapses with the lease and blocks no instance for longer.
		return 0, 0, sent, err
	}
	return lease, token, sent, nil
}

// createKey creates the owner's key under the lease, and returns its revision. The answer may be lost: the key then shows whether it was
// created.
func (e *Elector) createKey(ctx context.Context, lease int64, data []byte) (int64, error) {
	call, cancel := context.WithTimeout(ctx, acquireTimeout)
	token, err := e.Store.Commit(call, store.Transaction{
		Expected: []store.Expectation{{Key: work.OwnerKey}},
		Writes:   []store.Write{{Key: work.OwnerKey, Data: data, Lease: lease}},
	})
	cancel()
	var lost *store.LostError
	if !errors.As(err, &lost) {
		return token, err
	}
	item, readErr := e.Store.Item(ctx, work.OwnerKey)
	if readErr != nil || item.Revision == 0 || item.Lease != lease {
		return 0, errors.Join(err, readErr)
	}
	return item.Revision, nil
}

// noteOwner stores the name of the owner, or an empty one if there is no key.
func (e *Elector) noteOwner(items []store.Item) {
	name := ""
	if len(items) > 0 {
		record := e.decodeOwner(items[0])
		name = record.Instance
		e.turns.ownerSeen(items[0].Created, record.FailedLoads, e.Now())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knownOwner = name
	if name != "" {
		e.lastOwner = name
	}
}

// decodeOwner returns the stored value of the owner's key, or an empty one if it can't be read.
func (e *Elector) decodeOwner(item store.Item) ownerRecord {
	var record ownerRecord
	if err := json.Unmarshal(item.Data, &record); err != nil {
		e.Log.Emit(event.RecordBad, event.Fields{"key": work.OwnerKey, "error": err.Error()})
	}
	return record
}

// KnownOwner returns the name of the owner as last read from the store, or an empty string.
func (e *Elector) KnownOwner() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knownOwner
}

// Accepted loads a job that an instance has accepted, if this instance is the owner.
func (e *Elector) Accepted(_ context.Context, job *notify.Job) (*notify.Reply, error) {
	e.mu.Lock()
	t := e.current
	e.mu.Unlock()
	return &notify.Reply{Taken: t != nil && t.loadAccepted(job)}, nil
}

func (e *Elector) largerPeerUp() bool { return e.Peers != nil && e.Peers.HasLargerPeer() }

// shouldHandOver reports whether a term that began at startedAt should be handed over to a larger instance.
func (e *Elector) shouldHandOver(startedAt, now time.Time) bool {
	cooledDown := e.handedOverAt.IsZero() || now.Sub(e.handedOverAt) > handOverInterval
	return cooledDown && now.Sub(startedAt) > handOverAfter && e.largerPeerUp()
}

// awaitRelease returns once the owner's key has changed or may have, and after watchesPerRead watches in any case.
//
// The owner limits leases, or not, as its record in the key says. Each watch starts from the revision of the read or of the watch before:
// the key's own revision is soon older than the history that the store keeps.
func (e *Elector) awaitRelease(ctx context.Context, after int64, limits bool) error {
	for range watchesPerRead {
		call, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
		changes, upTo, err := e.Store.Changes(call, work.OwnerKey, after, watchWait)
		cancel()
		var historyGone *store.HistoryError
		if errors.As(err, &historyGone) {
			pause.For(ctx, e.jitter(storeRetryDelay))
			return nil
		}
		if err != nil || len(changes) > 0 {
			return err
		}
		after = upTo
		e.sighted(upTo, limits)
	}
	return nil
}

// jitter returns a random delay, uniform between zero and twice the mean, or what Jitter returns.
func (e *Elector) jitter(mean time.Duration) time.Duration {
	if e.Jitter != nil {
		return e.Jitter(mean)
	}
	return time.Duration(rand.Int64N(int64(2 * mean)))
}

// Owns reports whether this instance is in a term as owner.
func (e *Elector) Owns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current != nil
}
