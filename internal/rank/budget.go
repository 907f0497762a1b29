package rank

import "sync"

const (
	// depositPerRequest is the part of a retry that each request earns.
	depositPerRequest = 0.1
	// retryBudgetLimit is the most retries that are saved up.
	retryBudgetLimit = 20
)

// RetryBudget bounds retries to a share of the requests, so that a fault does not
// multiply the load. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full Budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBudgetLimit} }

// Deposit records a request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+depositPerRequest, retryBudgetLimit)
}

// TryWithdraw takes one retry. It returns false when none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
