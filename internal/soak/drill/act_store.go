package drill

import (
	"context"
	"net/http"
	"time"

	"github.com/lentildeck/lentildeck/internal/soak/fault"
	"github.com/lentildeck/lentildeck/internal/soak/store"
)

func (a *actor) doStore(ctx context.Context, f fault.Fault) {
	switch x := f.(type) {
	case fault.StoreAway:
		t := store.Trouble{Refuse: http.StatusServiceUnavailable}
		if x.Silent {
			t = store.Trouble{Silent: true}
		}
		if x.Share >= 1 {
			a.setDown(1, x.Pauses)
			defer a.setDown(-1, x.Pauses)
		}
		a.trouble(ctx, a.some(x.Share), t, x.For)
	case fault.StoreSlow:
		a.trouble(ctx, a.some(1), store.Trouble{Slow: x.By}, x.For)
	case fault.StoreLost:
		a.trouble(ctx, a.some(1), store.Trouble{Lost: x.Share}, x.For)
	case fault.HistoryDropped:
		a.store.Compact()
	}
}

// setDown counts the faults that keep the store away from workers.
func (a *actor) setDown(change int, pauses bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.away += change
	a.store.SetDown(a.away > 0, pauses)
	if a.away == 0 {
		a.storeBack = time.Now()
	}
}

// trouble treats the calls of some instances badly for a time.
func (a *actor) trouble(ctx context.Context, boxes []*box, t store.Trouble, d time.Duration) {
	a.mu.Lock()
	a.next++
	id := a.next
	a.mu.Unlock()
	for _, b := range boxes {
		b.add(id, t)
	}
	wait(ctx, d)
	for _, b := range boxes {
		b.remove(id)
	}
}

// expire removes the entries of silent workers until the context ends.
func (a *actor) expire(ctx context.Context) {
	for wait(ctx, 200*time.Millisecond) {
		a.mu.Lock()
		away, back := a.away > 0, a.storeBack
		a.mu.Unlock()
		if now := time.Now(); !away && now.Sub(back) > grace {
			a.store.ExpireEntries(now, now.Add(-3*a.plan.Site.Heartbeat))
		}
	}
}
