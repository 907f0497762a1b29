package home

import (
	"context"
	"errors"
	"sync"

	"github.com/rattancove/rattancove/internal/cluster"
)

// maxPermitWaiters is the most transactions of one rank that wait to be opened at one server.
const maxPermitWaiters = 500

var errTooManyTransactions = errors.New("too many transactions wait to be opened")

// transactionPermits bounds the open transactions at one server, so that some connections
// always serve single statements. Less urgent ranks may not take the last pins.
type transactionPermits struct {
	mu      sync.Mutex
	limits  [cluster.RankCount]int
	inUse   int
	waiters [cluster.RankCount][]chan struct{}
}

// newTransactionPermits returns pins of which normal work may take three quarters and
// background work half.
func newTransactionPermits(n int) *transactionPermits {
	n = max(n, 1)
	return &transactionPermits{limits: [cluster.RankCount]int{n, max(n*3/4, 1), max(n/2, 1)}}
}

// acquire waits for a pin, the most urgent rank first. It returns the error of
// ctx if that ends before, or errTooManyTransactions at once.
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

// grantWaiters gives free pins to waiters by rank.
func (t *transactionPermits) grantWaiters() {
	for r := range t.waiters {
		for len(t.waiters[r]) > 0 && t.inUse < t.limits[r] {
			t.inUse++
			close(t.waiters[r][0])
			t.waiters[r] = t.waiters[r][1:]
		}
	}
}
