package limit

import (
	"net"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
)

// Guard bounds what the clients of all listeners of a process make it hold.
type Guard struct {
	limits Limits
	budget *Budget
	counts *counter
	now    func() time.Time
}

// NewGuard returns a guard that logs refusals.
func NewGuard(limits Limits, log *event.Log, now func() time.Time) *Guard {
	return &Guard{limits: limits, budget: NewBudget(limits), counts: &counter{log: log, counts: make(map[counterKey]*count)}, now: now}
}

// Refusals returns the numbers of refusals by listener and reason, for metrics.
func (g *Guard) Refusals() any { return g.counts.snapshot() }

// BodyBytes returns the bytes of bodies in flight, for metrics.
func (g *Guard) BodyBytes() any { return g.budget.Taken() }

// Callers returns a bounded listener for callers.
func (g *Guard) Callers(l net.Listener) net.Listener {
	return g.listener("callers", l, g.limits.Callers, false)
}

// Others returns a function that bounds a listener that no callers use; the name is used in logs and metrics.
func (g *Guard) Others(name string) func(net.Listener) net.Listener {
	return func(l net.Listener) net.Listener { return g.listener(name, l, g.limits.Others, false) }
}

// Streams returns a bounded listener for other instances, whose connections carry any number of calls: a connection counts as quiet
// since it was last read.
func (g *Guard) Streams(l net.Listener) net.Listener {
	return g.listener("peers", l, g.limits.Streams, true)
}

func (g *Guard) listener(name string, l net.Listener, limit int, touch bool) net.Listener {
	return &listener{Listener: l, guard: g, name: name, touch: touch, table: &table{limit: limit}}
}

// listener accepts connections into its table.
type listener struct {
	net.Listener
	guard *Guard
	name  string
	touch bool
	table *table
}

// Accept returns the next connection for which there is room, if need be in place of another one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		now := l.guard.now()
		c := &Conn{Conn: raw, table: l.table, now: l.guard.now, touch: l.touch}
		displaced, ok := l.table.add(c, now)
		if displaced != nil {
			l.guard.counts.add(l.name, ConnectionDisplaced, now)
			// The error of closing a connection that no one needs any more changes nothing.
			_ = displaced.drop()
		}
		if ok {
			return c, nil
		}
		l.guard.counts.add(l.name, ConnectionRefused, now)
		_ = raw.Close()
	}
}
