package rank

import "sync"

const (
	// depositPerRequest is the number of retries that each request adds to the budget.
	depositPerRequest = 0.1
	// retryBudgetLimit is the maximum number of unused retries that the budget holds.
	retryBudgetLimit = 20
)

// RetryBudget limits retries to a fraction of the requests, so that a fault does
// not multiply the load. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full RetryBudget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBudgetLimit} }

// Deposit credits the budget for one request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+depositPerRequest, retryBudgetLimit)
}

// TryWithdraw takes one retry from the budget. It returns false when none is left.
func (b *RetryBudget) TryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
