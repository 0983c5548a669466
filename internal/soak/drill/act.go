package drill

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

// actor carries out the faults of a day.
type actor struct {
	*fleet
	mu        sync.Mutex
	rand      *rand.Rand
	next      int
	away      int
	version   int
	disrupted []span
	// storeBack is when the store last came back.
	storeBack time.Time
}

type span struct{ from, to time.Time }

// calm reports whether nothing was disrupted from contact before one time to another.
func (a *actor) calm(from, to time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	from = from.Add(-a.plan.Site.Contact)
	for _, s := range a.disrupted {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// play carries out all faults and returns when their effects are over.
func (a *actor) play(ctx context.Context, start time.Time, entries []fault.Entry) {
	var parts sync.WaitGroup
	for _, e := range entries {
		parts.Add(1)
		go func() {
			defer parts.Done()
			if !wait(ctx, time.Until(start.Add(e.At))) {
				return
			}
			a.mu.Lock()
			n := len(a.disrupted)
			a.disrupted = append(a.disrupted, span{from: time.Now()})
			a.mu.Unlock()
			a.trail.Logf(time.Now(), "fault %T%+v", e.Fault, e.Fault)
			a.do(ctx, e.Fault)
			a.mu.Lock()
			a.disrupted[n].to = time.Now()
			a.mu.Unlock()
			a.trail.Logf(time.Now(), "over: fault %T", e.Fault)
		}()
	}
	parts.Wait()
}

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (a *actor) do(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.OwnerKilled, fault.OwnerFrozen, fault.OwnerStopped:
		a.doOwner(ctx, x)
	case fault.InstancesKilled, fault.InstancesRolled, fault.Reloaded, fault.PowerLost:
		a.doInstances(ctx, x)
	case fault.StoreAway, fault.StoreSlow, fault.StoreLost, fault.HistoryDropped:
		a.doStore(ctx, x)
	case fault.WorkersCrashed, fault.WorkersDrained, fault.WorkersCut, fault.WorkersMoody:
		a.doWorkers(ctx, x)
	case fault.CentreCut:
		a.cutCentre(ctx, x)
	case fault.ChannelsReset:
		a.reset(x)
	case fault.Configured:
		a.mu.Lock()
		a.version += 3
		version := a.version
		a.mu.Unlock()
		a.must(a.store.Put(time.Now(), "op/config", a.plan.Site.Config(version)))
	case fault.Evacuated:
		key := "op/evacuate/" + a.plan.Site.DataCentres[x.Centre]
		a.must(a.store.Put(time.Now(), key, map[string]any{}))
		wait(ctx, x.For)
		a.store.Delete(time.Now(), key)
	}
}

func (a *actor) must(err error) {
	if err != nil {
		a.trail.Logf(time.Now(), "the soak itself failed: %v", err)
	}
}

func (a *actor) doOwner(ctx context.Context, f fault.Fault) {
	b := a.owner()
	if b == nil {
		a.trail.Logf(time.Now(), "there is no owner")
		return
	}
	switch x := f.(type) {
	case fault.OwnerKilled:
		b.Kill(time.Now())
		wait(ctx, x.Pause)
		a.must(b.Start(time.Now()))
	case fault.OwnerFrozen:
		b.Freeze(time.Now())
		wait(ctx, x.For)
		b.Thaw(time.Now())
	case fault.OwnerStopped:
		b.Term(time.Now(), a.plan.Site.Grace)
		wait(ctx, x.Pause)
		a.must(b.Start(time.Now()))
	}
}

func (a *actor) doInstances(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.InstancesKilled:
		a.restart(ctx, a.some(x.Share), x.Pause)
	case fault.PowerLost:
		a.restart(ctx, a.some(1), x.Pause)
	case fault.InstancesRolled:
		for _, b := range a.some(x.Share) {
			b.Term(time.Now(), a.plan.Site.Grace)
			wait(ctx, x.Gap)
			a.must(b.Start(time.Now()))
		}
	case fault.Reloaded:
		for _, b := range a.some(x.Share) {
			b.Reload(time.Now())
		}
	}
}

func (a *actor) restart(ctx context.Context, boxes []*box, pause time.Duration) {
	each(boxes, func(b *box) { b.Kill(time.Now()) })
	wait(ctx, pause)
	each(boxes, func(b *box) { a.must(b.Start(time.Now())) })
}

func each[T any](list []T, do func(T)) {
	var parts sync.WaitGroup
	for _, one := range list {
		parts.Add(1)
		go func() {
			defer parts.Done()
			do(one)
		}()
	}
	parts.Wait()
}

// pick returns a share of the list in random order, at least one.
func pick[T any](random *rand.Rand, list []T, share float64) []T {
	list = append([]T(nil), list...)
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(max(int(share*float64(len(list))+0.5), 1), len(list))]
}

func (a *actor) some(share float64) []*box {
	a.mu.Lock()
	defer a.mu.Unlock()
	return pick(a.rand, a.boxes, share)
}

func (a *actor) someWorkers(share float64) []*worker.Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return pick(a.rand, a.workers, share)
}

// settle starts all instances that are down.
func (a *actor) settle() {
	for _, b := range a.boxes {
		a.must(b.Start(time.Now()))
	}
}
