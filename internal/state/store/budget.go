package store

import (
	"fmt"
	"sync"
	"time"
)

//go:generate go run github.com/dmarkham/enumer@v1.5.11 -type=Class -transform=title-lower

// Class is the priority of a call; when the budget runs low, calls of lower priority are refused first.
type Class int

// The classes, in order of descending priority.
const (
	Leases Class = iota
	Commands
	Claims
	Jobs
	Other
)

// reserveShare is the fraction of the burst that each class must leave to the classes of higher priority.
var reserveShare = [...]float64{Leases: 0, Commands: 0.05, Claims: 0.15, Jobs: 0.3, Other: 0.5}

// Budget limits one instance's calls to the key-value store by a token bucket with priorities.
type Budget struct {
	mu         sync.Mutex
	rate       float64
	burst      float64
	tokens     float64
	lastRefill time.Time
	taken      [Other + 1]int64
	denied     [Other + 1]int64
}

// NewBudget returns a full budget of rate calls per second and at most burst calls at once.
func NewBudget(rate, burst float64) *Budget {
	return &Budget{rate: rate, burst: burst, tokens: burst}
}

// Take takes one call of the class from the budget; if ok is false, the call is not permitted for at least wait.
func (b *Budget) Take(class Class, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	need := 1 + reserveShare[class]*b.burst
	if b.tokens >= need {
		b.tokens--
		b.taken[class]++
		return 0, true
	}
	b.denied[class]++
	return time.Duration((need - b.tokens) / b.rate * float64(time.Second)), false
}

func (b *Budget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.tokens = min(b.burst, b.tokens+now.Sub(b.lastRefill).Seconds()*b.rate)
	}
	if now.After(b.lastRefill) {
		b.lastRefill = now
	}
}

// Taken returns the number of calls of the class that Take has permitted.
func (b *Budget) Taken(class Class) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken[class]
}

// BudgetError means that the call was not made because the budget is exhausted.
type BudgetError struct {
	Class Class
	Wait  time.Duration
}

// Error names the class and how long to wait before a retry.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("store: call budget of class %s is spent; try again in %s", e.Class, e.Wait)
}
