package limit

import (
	"sync"
	"time"

	"github.com/lentildeck/lentildeck/internal/kern/event"
)

// counterKey is what refusals are counted by.
type counterKey struct {
	listener string
	reason   Reason
}

// count is the number of refusals in all and since the last log line.
type count struct {
	total, since int64
	logged       time.Time
}

// counter counts refusals and logs them at a bounded rate.
type counter struct {
	log *event.Log

	mu     sync.Mutex
	counts map[counterKey]*count
}

func (c *counter) add(listener string, reason Reason, now time.Time) {
	key := counterKey{listener, reason}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.counts[key]
	if n == nil {
		n = &count{}
		c.counts[key] = n
	}
	n.total++
	n.since++
	if !n.logged.IsZero() && now.Sub(n.logged) < logInterval {
		return
	}
	c.log.Emit(event.ClientsRefused, event.Fields{"listener": listener, "reason": reason.String(), "count": n.since, "total": n.total})
	n.since, n.logged = 0, now
}

// snapshot returns the totals by listener and reason.
func (c *counter) snapshot() map[string]map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	totals := make(map[string]map[string]int64)
	for key, n := range c.counts {
		if totals[key.listener] == nil {
			totals[key.listener] = make(map[string]int64)
		}
		totals[key.listener][key.reason.String()] = n.total
	}
	return totals
}
