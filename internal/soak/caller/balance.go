package caller

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Target is an instance as the platform's balancer knows it.
type Target struct {
	Name, DataCentre, Front, Readiness string
}

const (
	readyEvery   = time.Second
	readyTimeout = 700 * time.Millisecond
	missesToOut  = 2
)

// Balancer asks all instances whether they are ready.
type Balancer struct {
	targets []Target
	client  *http.Client

	mu     sync.Mutex
	misses []int
	rand   *rand.Rand
}

// NewBalancer returns a balancer that has not asked yet.
func NewBalancer(targets []Target, random *rand.Rand) *Balancer {
	b := &Balancer{targets: targets, client: &http.Client{Timeout: readyTimeout}, rand: random, misses: make([]int, len(targets))}
	for i := range b.misses {
		b.misses[i] = missesToOut
	}
	return b
}

// Run asks until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var parts sync.WaitGroup
	for i := range b.targets {
		parts.Add(1)
		go func() {
			defer parts.Done()
			for tick := time.NewTicker(readyEvery); ; {
				b.ask(ctx, i)
				select {
				case <-ctx.Done():
					tick.Stop()
					return
				case <-tick.C:
				}
			}
		}()
	}
	parts.Wait()
	b.client.CloseIdleConnections()
}

func (b *Balancer) ask(ctx context.Context, i int) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.targets[i].Readiness+"/ready", nil)
	if err != nil {
		return
	}
	ok := false
	if answer, err := b.client.Do(r); err == nil {
		ok = answer.StatusCode == http.StatusOK
		_ = answer.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.misses[i] = 0
	} else {
		b.misses[i]++
	}
}

// Ready returns how many instances are in rotation.
func (b *Balancer) Ready() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, n := range b.misses {
		if n < missesToOut {
			count++
		}
	}
	return count
}

// Pick returns the instance for a new connection of a caller in the data centre.
func (b *Balancer) Pick(dataCentre string) Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var near, nearReady, ready []Target
	for i, t := range b.targets {
		in := b.misses[i] < missesToOut
		if in {
			ready = append(ready, t)
		}
		if t.DataCentre == dataCentre {
			near = append(near, t)
			if in {
				nearReady = append(nearReady, t)
			}
		}
	}
	from := nearReady
	switch {
	case len(nearReady) == 0 && len(ready) > 0:
		from = ready
	case 2*len(nearReady) < len(near) || len(nearReady) == 0:
		from = near
	}
	return from[b.rand.IntN(len(from))]
}
