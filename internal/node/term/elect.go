package term

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/agent"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/kern/pause"
	"github.com/lentildeck/lentildeck/internal/node/meter"
	"github.com/lentildeck/lentildeck/internal/peer/renew"
	"github.com/lentildeck/lentildeck/internal/peer/tell"
	"github.com/lentildeck/lentildeck/internal/place/sets"
	"github.com/lentildeck/lentildeck/internal/state/policy"
	"github.com/lentildeck/lentildeck/internal/state/store"
	"github.com/lentildeck/lentildeck/internal/state/work"
)

const (
	// leaseTTL is how long the owner's lease lives without renewal: nobody decides for that long when an owner is lost. A
	// store that is slow by a hundred times still answers a renewal in a third of it.
	leaseTTL = 1200 * time.Millisecond
	// renewEvery leaves four tries in a TTL.
	renewEvery = leaseTTL / 5
	// leaseMargin is how much earlier than the service the owner believes its lease has lapsed: two answers of a calm store and a late timer.
	leaseMargin = 200 * time.Millisecond
	// storeTimeout bounds one call; it is 250 times the usual answer.
	storeTimeout = time.Second
	// watchWait is how long a successor waits for the owner's key to change before it asks again.
	watchWait = time.Second
	// watchesPerRead is how many watches in a row may stay quiet before the key is read again, as a watch can miss a change.
	watchesPerRead = 4
	// retryPause is the mean wait after a failed call to the key-value service.
	retryPause = 100 * time.Millisecond
	// yieldFor is how long an instance with a small processor leaves a free key to larger ones: these need three answers of
	// the store, which take half of it when the store is slow by ten times.
	yieldFor = 300 * time.Millisecond
	// handOverAfter is how long a term lasts before it is handed to a larger instance, and handOverEvery how long an
	// instance keeps what it was given back; the first covers the time in which all instances come up.
	handOverAfter = 3 * time.Second
	handOverEvery = time.Minute
	// sitOut is how long an instance that could not reach the workers leaves ownership to others.
	sitOut = 6 * time.Second
)

// Bounds are the installation's limits that the owner keeps.
type Bounds struct {
	// MaxHold is the longest lease of what runs on a worker.
	MaxHold time.Duration
	// StopTimeout is how long a worker may take to stop a task.
	StopTimeout time.Duration
	// PolicyAge and ListAge are the oldest proofs under which tasks are started.
	PolicyAge time.Duration
	ListAge   time.Duration
	// Retention is how long ended jobs are kept.
	Retention time.Duration
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
}

// Lister lists the workers; an answer is never older than the call.
type Lister interface {
	Workers(ctx context.Context) ([]sets.WorkerInfo, error)
}

// Peers compares this instance with the others.
type Peers interface {
	// Outclassed reports whether another instance has far more of a processor.
	Outclassed() bool
	// In returns the addresses of the other instances in the data centre.
	In(dataCentre string) []string
}

// Substitutes are instances that prolong workers' leases while the owner can't.
type Substitutes interface {
	// Allow tells the instance at the address what it may prolong; ctx must have a deadline.
	Allow(ctx context.Context, address string, request *renew.Request) (*renew.Reply, error)
}

// Elector competes for ownership and runs a term whenever it has it.
type Elector struct {
	Instance string
	Store    store.Transactor
	Agent    agent.Client
	Lister   Lister
	Policy   *policy.Holder
	Bounds   Bounds
	// DataCentre is where this instance is. Peers is nil where all instances are alike, Substitutes where none acts for others.
	DataCentre  string
	Peers       Peers
	Substitutes Substitutes
	Log         *event.Log
	Meter       *meter.Set
	// Now is the steady clock, WallNow the time of day.
	Now     func() time.Time
	WallNow func() time.Time

	// yielded is true once the key, free as it still is, was left to larger instances; handedOver is when a term was last given to one.
	yielded    bool
	handedOver time.Time

	mu      sync.Mutex
	current *term
	// known is the instance that decides, as the owner's key last said, or empty.
	known string
}

// owner is the stored form of who decides.
type owner struct {
	Instance string `json:"instance"`
}

// Run competes until ctx ends, then hands the lease back; done is closed at the very end.
func (e *Elector) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		lease, token, sent, err := e.take(ctx)
		if err != nil {
			pause.For(ctx, jitter(retryPause))
			continue
		}
		if token == 0 {
			continue
		}
		t := newTerm(e, lease, token, sent)
		e.mu.Lock()
		e.current = t
		e.mu.Unlock()
		cause := t.run(ctx)
		e.mu.Lock()
		e.current = nil
		e.mu.Unlock()
		e.Log.Emit(event.TermEnded, event.Fields{"token": token, "why": cause.Error()})
		var cut *cutOffError
		var outclassed outclassedError
		switch {
		case errors.As(cause, &cut):
			pause.For(ctx, sitOut)
		case errors.As(cause, &outclassed):
			e.handedOver, e.yielded = e.Now(), false
		}
	}
}

// resign lets the next owner start at once; if it fails the lease lapses by itself.
func (e *Elector) resign(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout/2)
	defer cancel()
	if err := e.Store.Revoke(ctx, lease); err != nil {
		e.Log.Emit(event.StoreLost, event.Fields{"call": "revoke", "error": err.Error()})
	}
}

// take waits until the owner's key is free and creates it; token is zero if another instance was faster.
func (e *Elector) take(ctx context.Context) (lease, token int64, sent time.Time, err error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	items, asOf, err := e.Store.Range(call, work.OwnerKey)
	if err != nil {
		return 0, 0, sent, err
	}
	e.note(items)
	if len(items) > 0 {
		e.yielded = false
		return 0, 0, sent, e.await(ctx, asOf)
	}
	if e.yield(ctx) {
		return 0, 0, sent, nil
	}
	data, err := json.Marshal(owner{Instance: e.Instance})
	if err != nil {
		return 0, 0, sent, err
	}
	sent = e.Now()
	if lease, err = e.Store.Grant(call, leaseTTL); err != nil {
		return 0, 0, sent, err
	}
	token, err = e.Store.Commit(call, store.Transaction{
		Expected: []store.Expectation{{Key: work.OwnerKey}},
		Writes:   []store.Write{{Key: work.OwnerKey, Data: data, Lease: lease}},
	})
	var refused *store.RefusedError
	switch {
	case errors.As(err, &refused):
		return 0, 0, sent, nil
	case err != nil:
		// The key may come to exist under this lease; it lapses with it and blocks nobody for longer.
		return 0, 0, sent, err
	}
	return lease, token, sent, nil
}

// note keeps who decides.
func (e *Elector) note(items []store.Item) {
	var who owner
	if len(items) > 0 {
		if err := json.Unmarshal(items[0].Data, &who); err != nil {
			e.Log.Emit(event.RecordBad, event.Fields{"key": work.OwnerKey, "error": err.Error()})
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.known = who.Instance
}

// Known returns the name of the instance that decides, as far as this one knows, or nothing.
func (e *Elector) Known() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known
}

// Accepted takes in a job that an instance has accepted, if this one decides.
func (e *Elector) Accepted(_ context.Context, job *tell.Job) (*tell.Reply, error) {
	e.mu.Lock()
	t := e.current
	e.mu.Unlock()
	return &tell.Reply{Taken: t != nil && t.told(job)}, nil
}

// yield leaves a free key to larger instances once, and reports whether it did.
func (e *Elector) yield(ctx context.Context) bool {
	e.yielded = !e.yielded && e.outclassed()
	if e.yielded {
		pause.For(ctx, yieldFor)
	}
	return e.yielded
}

func (e *Elector) outclassed() bool { return e.Peers != nil && e.Peers.Outclassed() }

// handsOver reports whether a term that began at began should go to a larger instance.
func (e *Elector) handsOver(began, now time.Time) bool {
	rested := e.handedOver.IsZero() || now.Sub(e.handedOver) > handOverEvery
	return rested && now.Sub(began) > handOverAfter && e.outclassed()
}

// await returns once the owner's key may have gone, and after a few quiet watches in any case.
//
// It goes on from the revision of the read or of the last watch: the key's own revision is soon older than the history.
func (e *Elector) await(ctx context.Context, after int64) error {
	for range watchesPerRead {
		call, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
		changes, upTo, err := e.Store.Changes(call, work.OwnerKey, after, watchWait)
		cancel()
		var gone *store.HistoryError
		if errors.As(err, &gone) {
			pause.For(ctx, jitter(retryPause))
			return nil
		}
		if err != nil || len(changes) > 0 {
			return err
		}
		after = upTo
	}
	return nil
}

// jitter spreads a wait evenly from nothing to twice its mean.
func jitter(mean time.Duration) time.Duration {
	return time.Duration(rand.Int64N(int64(2 * mean)))
}

// Owns reports whether this instance decides at the moment.
func (e *Elector) Owns() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current != nil
}
