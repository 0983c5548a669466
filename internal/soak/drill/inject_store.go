package drill

import (
	"context"
	"net/http"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/store"
)

func (inj *injector) doStore(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.StoreAway:
		t := store.Trouble{Refuse: http.StatusServiceUnavailable}
		if x.Silent {
			t = store.Trouble{Silent: true}
		}
		if x.Share >= 1 {
			inj.setDown(1, x.Pauses)
			defer inj.setDown(-1, x.Pauses)
		}
		inj.trouble(ctx, inj.some(x.Share), t, x.For)
	case fault.StoreSlow:
		inj.trouble(ctx, inj.some(1), store.Trouble{Slow: x.By}, x.For)
	case fault.StoreLost:
		inj.trouble(ctx, inj.some(1), store.Trouble{Lost: x.Share}, x.For)
	case fault.HistoryDropped:
		inj.store.Compact()
	}
}

// setDown counts the faults that keep the store away from workers.
func (inj *injector) setDown(change int, pauses bool) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.away += change
	inj.store.SetDown(inj.away > 0, pauses)
	if inj.away == 0 {
		inj.storeBack = time.Now()
	}
}

// trouble treats the calls of some instances badly for a time.
func (inj *injector) trouble(ctx context.Context, nodes []*node, t store.Trouble, d time.Duration) {
	inj.mu.Lock()
	inj.next++
	id := inj.next
	inj.mu.Unlock()
	for _, n := range nodes {
		n.add(id, t)
	}
	wait(ctx, d)
	for _, n := range nodes {
		n.remove(id)
	}
}

// expire removes the entries of silent workers until the context ends.
func (inj *injector) expire(ctx context.Context) {
	for wait(ctx, 200*time.Millisecond) {
		inj.mu.Lock()
		away, back := inj.away > 0, inj.storeBack
		inj.mu.Unlock()
		if now := time.Now(); !away && now.Sub(back) > grace {
			inj.store.ExpireEntries(now, now.Add(-3*inj.plan.Site.Heartbeat))
		}
	}
}
