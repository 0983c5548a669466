package drill

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/worker"
)

// injector carries out the faults of a day.
type injector struct {
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
func (inj *injector) calm(from, to time.Time) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	from = from.Add(-inj.plan.Site.Contact)
	for _, s := range inj.disrupted {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// play carries out all faults and returns when their effects are over.
func (inj *injector) play(ctx context.Context, start time.Time, entries []fault.Entry) {
	var parts sync.WaitGroup
	for _, e := range entries {
		parts.Add(1)
		go func() {
			defer parts.Done()
			if !wait(ctx, time.Until(start.Add(e.At))) {
				return
			}
			inj.mu.Lock()
			n := len(inj.disrupted)
			inj.disrupted = append(inj.disrupted, span{from: time.Now()})
			inj.mu.Unlock()
			inj.trail.Logf(time.Now(), "fault %T%+v", e.Fault, e.Fault)
			inj.do(ctx, e.Fault)
			inj.mu.Lock()
			inj.disrupted[n].to = time.Now()
			inj.mu.Unlock()
			inj.trail.Logf(time.Now(), "over: fault %T", e.Fault)
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

func (inj *injector) do(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.OwnerKilled, fault.OwnerFrozen, fault.OwnerStopped:
		inj.doOwner(ctx, x)
	case fault.InstancesKilled, fault.InstancesRolled, fault.Reloaded, fault.PowerLost:
		inj.doInstances(ctx, x)
	case fault.StoreAway, fault.StoreSlow, fault.StoreLost, fault.HistoryDropped:
		inj.doStore(ctx, x)
	case fault.WorkersCrashed, fault.WorkersDrained, fault.WorkersCut, fault.WorkersFaulty:
		inj.doWorkers(ctx, x)
	case fault.CentreCut:
		inj.cutCentre(ctx, x)
	case fault.ChannelsReset:
		inj.reset(x)
	case fault.Configured:
		inj.mu.Lock()
		inj.version += 3
		version := inj.version
		inj.mu.Unlock()
		inj.must(inj.store.Put(time.Now(), "op/config", inj.plan.Site.Config(version)))
	case fault.Evacuated:
		key := "op/evacuate/" + inj.plan.Site.DataCentres[x.Centre]
		inj.must(inj.store.Put(time.Now(), key, map[string]any{}))
		wait(ctx, x.For)
		inj.store.Delete(time.Now(), key)
	}
}

func (inj *injector) must(err error) {
	if err != nil {
		inj.trail.Logf(time.Now(), "the soak itself failed: %v", err)
	}
}

func (inj *injector) doOwner(ctx context.Context, f fault.Fault) {
	n := inj.owner()
	if n == nil {
		inj.trail.Logf(time.Now(), "there is no owner")
		return
	}
	switch x := f.(type) {
	case fault.OwnerKilled:
		n.Kill(time.Now())
		wait(ctx, x.Pause)
		inj.must(n.Start(time.Now()))
	case fault.OwnerFrozen:
		n.Freeze(time.Now())
		wait(ctx, x.For)
		n.Thaw(time.Now())
	case fault.OwnerStopped:
		n.Term(time.Now(), inj.plan.Site.Grace)
		wait(ctx, x.Pause)
		inj.must(n.Start(time.Now()))
	}
}

func (inj *injector) doInstances(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.InstancesKilled:
		inj.restart(ctx, inj.some(x.Share), x.Pause)
	case fault.PowerLost:
		inj.restart(ctx, inj.some(1), x.Pause)
	case fault.InstancesRolled:
		for _, n := range inj.some(x.Share) {
			n.Term(time.Now(), inj.plan.Site.Grace)
			wait(ctx, x.Gap)
			inj.must(n.Start(time.Now()))
		}
	case fault.Reloaded:
		for _, n := range inj.some(x.Share) {
			n.Reload(time.Now())
		}
	}
}

func (inj *injector) restart(ctx context.Context, nodes []*node, pause time.Duration) {
	each(nodes, func(n *node) { n.Kill(time.Now()) })
	wait(ctx, pause)
	each(nodes, func(n *node) { inj.must(n.Start(time.Now())) })
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

func (inj *injector) some(share float64) []*node {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return pick(inj.rand, inj.nodes, share)
}

func (inj *injector) someWorkers(share float64) []*worker.Worker {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return pick(inj.rand, inj.workers, share)
}

// startAll starts all instances that are down.
func (inj *injector) startAll() {
	for _, n := range inj.nodes {
		inj.must(n.Start(time.Now()))
	}
}
