package home

import (
	"context"
	"errors"
	"sync"

	"github.com/rattancove/rattancove/internal/cluster"
)

// maxPermitWaiters bounds the transactions of one rank that wait for a permit at one server.
const maxPermitWaiters = 500

var errTooManyTransactions = errors.New("too many transactions wait to be opened")

// transactionPermits limits the open transactions at one server, so that some
// connections remain available for single statements. The last permits are
// reserved for more urgent ranks.
type transactionPermits struct {
	mu      sync.Mutex
	limits  [cluster.RankCount]int
	inUse   int
	waiters [cluster.RankCount][]chan struct{}
}

// newTransactionPermits returns n permits, of which transactions of normal rank may
// take three quarters and those of background rank half.
func newTransactionPermits(n int) *transactionPermits {
	n = max(n, 1)
	return &transactionPermits{limits: [cluster.RankCount]int{n, max(n*3/4, 1), max(n/2, 1)}}
}

// acquire waits for a permit; the most urgent rank is served first. It returns the
// error of ctx if that ends before, or errTooManyTransactions immediately if too
// many transactions of the rank are waiting.
func (t *transactionPermits) acquire(ctx context.Context, r cluster.Rank) error {
	t.mu.Lock()
	if t.inUse < t.limits[r] && len(t.waiters[r]) == 0 {
		t.inUse++
		t.mu.Unlock()
		return nil
	}
	if len(t.waiters[r]) >= maxPermitWaiters {
		t.mu.Unlock()
		return errTooManyTransactions
	}
	ready := make(chan struct{})
	t.waiters[r] = append(t.waiters[r], ready)
	t.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		t.cancelWait(r, ready)
		return ctx.Err()
	}
}

func (t *transactionPermits) cancelWait(r cluster.Rank, ready chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, w := range t.waiters[r] {
		if w == ready {
			t.waiters[r] = append(t.waiters[r][:i], t.waiters[r][i+1:]...)
			return
		}
	}
	t.inUse--
	t.grantWaiters()
}

func (t *transactionPermits) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inUse--
	t.grantWaiters()
}

// grantWaiters grants free permits to waiters, the most urgent rank first.
func (t *transactionPermits) grantWaiters() {
	for r := range t.waiters {
		for len(t.waiters[r]) > 0 && t.inUse < t.limits[r] {
			t.inUse++
			close(t.waiters[r][0])
			t.waiters[r] = t.waiters[r][1:]
		}
	}
}
