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
	// campaignInterval is how often the owner tries to acquire or renew the lease.
	campaignInterval = 400 * time.Millisecond
	// stepInterval is how often Step runs.
	stepInterval = 50 * time.Millisecond
	// workerCallTimeout limits one call to a worker.
	workerCallTimeout = 800 * time.Millisecond
	// workerLostMargin is how long after a worker's lease has expired the owner treats the silent worker as lost.
	workerLostMargin = 500 * time.Millisecond
)

// Permitter provides the freshness proof that the data centre is not drained.
type Permitter interface {
	// Permit reports whether a task may start at the given time.
	Permit(now time.Time) bool
}

// Config holds the settings and dependencies of an owner.
type Config struct {
	Instance string
	Centre   string
	Policy   engine.Policy
	// WorkerLease is how long a worker's tasks continue to run without a call from the owner.
	WorkerLease time.Duration
	// PollInterval is how often each worker is polled.
	PollInterval  time.Duration
	Holder        *lease.Holder
	Ledger        *ledger.Ledger
	Configuration *config.Holder
	Link          worker.Link
	Permits       Permitter
	Log           *event.Log
	Now           func() time.Time
	// Pause waits before a retry; it returns false if ctx ended first.
	Pause func(ctx context.Context, wait time.Duration) bool
}

// Owner schedules the jobs of a data centre while its instance holds the lease.
type Owner struct {
	cfg         Config
	mu          sync.Mutex
	term        *term
	wg          conc.WaitGroup
	callCtx     context.Context
	cancelCalls context.CancelFunc
	done        chan struct{}
	// activeCalls is the number of background calls, except those that wait before a retry.
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

// Done returns a channel that is closed when Run has returned and all background calls have ended.
func (o *Owner) Done() <-chan struct{} { return o.done }

// Run campaigns for the lease and decides while it is held, until ctx ends; then it releases the lease.
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
	// The error is not logged here: the store's watcher logs the state of the store, and syncTerm logs changes of ownership.
	_ = o.cfg.Holder.Step(ctx, now)
}

// Step does what is due at the given time: it begins or ends a term, polls workers, applies ledger records and decides.
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

// syncTerm ends or begins the term after a change of the lease; it reports whether there is a term.
func (o *Owner) syncTerm(ctx context.Context, epoch int64, held bool, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term != nil && o.cfg.Holder.LastEpoch() != o.term.epoch {
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

// Epoch returns the epoch (fencing token) of the term, or zero if there is no term.
func (o *Owner) Epoch() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.term == nil {
		return 0
	}
	return o.term.epoch
}
