package quick

import "sync"

const (
	// retriesPerFirstAttempt is how much each first attempt adds to the budget.
	retriesPerFirstAttempt = 0.2
	// maxSavedRetries bounds the unused budget.
	maxSavedRetries = 20
)

// RetryBudget limits retries to a share of the first attempts, so that an outage does not multiply the load.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxSavedRetries} }

// Deposit adds the share of one first attempt to the budget.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retriesPerFirstAttempt, maxSavedRetries)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
