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
func (p *transactionPermits) acquire(ctx context.Context, r cluster.Rank) error {
	p.mu.Lock()
	if p.inUse < p.limits[r] && len(p.waiters[r]) == 0 {
		p.inUse++
		p.mu.Unlock()
		return nil
	}
	if len(p.waiters[r]) >= maxPermitWaiters {
		p.mu.Unlock()
		return errTooManyTransactions
	}
	ready := make(chan struct{})
	p.waiters[r] = append(p.waiters[r], ready)
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ctx.Done():
		p.cancelWait(r, ready)
		return ctx.Err()
	}
}

func (p *transactionPermits) cancelWait(r cluster.Rank, ready chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters[r] {
		if w == ready {
			p.waiters[r] = append(p.waiters[r][:i], p.waiters[r][i+1:]...)
			return
		}
	}
	p.inUse--
	p.grantWaiters()
}

func (p *transactionPermits) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.grantWaiters()
}

// grantWaiters gives free pins to waiters by rank.
func (p *transactionPermits) grantWaiters() {
	for r := range p.waiters {
		for len(p.waiters[r]) > 0 && p.inUse < p.limits[r] {
			p.inUse++
			close(p.waiters[r][0])
			p.waiters[r] = p.waiters[r][1:]
		}
	}
}
