package rank

import "sync"

const (
	// budgetEarned is the part of a retry that each request earns.
	budgetEarned = 0.1
	// budgetLimit is the most retries that are saved up.
	budgetLimit = 20
)

// Budget bounds retries to a share of the requests, so that a fault does not
// multiply the load. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full Budget.
func NewBudget() *Budget { return &Budget{tokens: budgetLimit} }

// Earn records a request.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+budgetEarned, budgetLimit)
}

// Spend takes one retry. It returns false when none is left.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
