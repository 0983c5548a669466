package quick

import "sync"

const (
	// retryShare is how many retries each first attempt earns.
	retryShare = 0.2
	// retryBurst is how many retries may be saved up.
	retryBurst = 20
)

// RetryBudget keeps retries to a share of the first attempts, so that an outage does not multiply the load.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryShare, retryBurst)
}

// Spend takes one retry if there is one.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
