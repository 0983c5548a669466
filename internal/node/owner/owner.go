package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lentildeck/lentildeck/internal/edge/worker"
	"github.com/lentildeck/lentildeck/internal/kern/event"
	"github.com/lentildeck/lentildeck/internal/place/engine"
	"github.com/lentildeck/lentildeck/internal/state/config"
	"github.com/lentildeck/lentildeck/internal/state/lease"
	"github.com/lentildeck/lentildeck/internal/state/ledger"
	"github.com/sourcegraph/conc"
)

const (
	// campaignEvery is how often the lease is looked at.
	campaignInterval = 400 * time.Millisecond
	// stepEvery is how often the owner looks for something to do.
	stepInterval = 50 * time.Millisecond
	// syncTimeout bounds one call to a worker.
	workerCallTimeout = 800 * time.Millisecond
	// leaseMargin is how much longer than a worker's lease the owner waits before it calls the worker lost.
	workerLostMargin = 500 * time.Millisecond
)

// Permitter says whether there is fresh proof that the data centre is not drained.
type Permitter interface {
	// Permit reports whether a task may start now.
	Permit(now time.Time) bool
}

// Config is what an owner is made from.
type Config struct {
	Instance string
	Centre   string
	Policy   engine.Policy
	// Lease is how long a worker's tasks run on without a call.
	Lease time.Duration
	// Every is how often each worker is called.
	Every   time.Duration
	Holder  *lease.Holder
	Ledger  *ledger.Ledger
	Conf    *config.Holder
	Link    worker.Link
	Permits Permitter
	Log     *event.Log
	Now     func() time.Time
	// Pause waits before a retry; it reports false if ctx ended first.
	Pause func(ctx context.Context, wait time.Duration) bool
}

// Owner is the part that decides for a data centre.
type Owner struct {
	cfg         Config
	mu          sync.Mutex
	term        *term
	wg          conc.WaitGroup
	callCtx     context.Context
	cancelCalls context.CancelFunc
	done        chan struct{}
	// active is how many background calls are at work, those that wait before a retry aside.
	activeCalls atomic.Int64
}

// spawn runs a call in the background.
func (o *Owner) spawn(call func()) {
	o.activeCalls.Add(1)
	o.wg.Go(func() {
		defer o.activeCalls.Add(-1)
		call()
	})
}

// New returns an owner that does nothing until Run.
func New(cfg Config) *Owner {
	work, quit := context.WithCancel(context.Background())
	return &Owner{cfg: cfg, callCtx: work, cancelCalls: quit, done: make(chan struct{})}
}

// Done is closed when Run has returned and nothing of the owner is left running.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Run campaigns for the lease and decides while it is held, until ctx ends; then it hands the lease back.
func (o *Owner) Run(ctx context.Context) {
	defer close(o.done)
	var loops conc.WaitGroup
	loops.Go(func() { o.every(ctx, campaignInterval, o.campaign) })
	loops.Go(func() { o.every(ctx, stepInterval, o.Step) })
	loops.Wait()
	o.cancelCalls()
	o.wg.Wait()
	release, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := o.cfg.Holder.Release(release); err != nil {
		o.cfg.Log.Emit(event.PartFailed, event.Fields{"part": "owner", "error": err.Error()})
	}
}

func (o *Owner) every(ctx context.Context, interval time.Duration, step func(context.Context, time.Time)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		step(ctx, o.cfg.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (o *Owner) campaign(ctx context.Context, now time.Time) {
	// A failed step is no event of its own: the store's state is logged by its watcher, and the lease speaks for itself.
	_ = o.cfg.Holder.Step(ctx, now)
}

// Step does what is due now: begin or end a term, call workers, take in records, decide.
func (o *Owner) Step(ctx context.Context, now time.Time) {
	epoch, held := o.cfg.Holder.Epoch(now)
	if !o.syncTerm(ctx, epoch, held, now) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.term
	o.reconfigure(t, now)
	o.pollWorkers(t, now)
	if !o.ready(t, now) {
		return
	}
	o.applyLedger(t)
	t.engine.SetOwned(0, held)
	o.setPermit(t, now)
	o.decide(t, now)
}

// follow makes the term fit the lease; it reports whether there is a term to work for.
func (o *Owner) syncTerm(ctx context.Context, epoch int64, held bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != nil && o.cfg.Holder.Last() != o.term.epoch {
		o.cfg.Log.Emit(event.OwnerLost, event.Fields{"dataCentre": o.cfg.Centre, "epoch": o.term.epoch})
		o.term = nil
	}
	if o.term != nil {
		return true
	}
	if !held {
		return false
	}
	next, err := o.newTerm(ctx, epoch, now)
	if err != nil {
		o.cfg.Log.Emit(event.ConfigBad, event.Fields{"dataCentre": o.cfg.Centre, "error": err.Error()})
		return false
	}
	if next == nil {
		return false
	}
	o.term = next
	o.cfg.Log.Emit(event.OwnerTaken, event.Fields{"dataCentre": o.cfg.Centre, "epoch": epoch})
	return true
}

func (o *Owner) setPermit(t *term, now time.Time) {
	permitted := o.cfg.Permits.Permit(now)
	if permitted == t.permitted {
		return
	}
	t.permitted = permitted
	t.engine.SetPermit(0, permitted)
	t.pendingDecision = true
	kind := event.PermitLost
	if permitted {
		kind = event.PermitBack
	}
	o.cfg.Log.Emit(kind, event.Fields{"dataCentre": o.cfg.Centre})
}

// Epoch returns the epoch of the term, or zero.
func (o *Owner) Epoch() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0
	}
	return o.term.epoch
}
