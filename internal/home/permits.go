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
// reserved for more urgent ranks. Within a rank the next permit goes to the organisation
// that holds the fewest for its weight.
type transactionPermits struct {
	mu      sync.Mutex
	limits  [cluster.RankCount]int
	inUse   int
	held    map[string]int
	waiters [cluster.RankCount][]*permitWaiter
}

// permitHolder is an organisation, empty where there are none, and its weight.
type permitHolder struct {
	organisation string
	weight       float64
}

type permitWaiter struct {
	permitHolder
	ready chan struct{}
	// refused is set when the waiter gives way to one of another organisation.
	refused bool
}

// newTransactionPermits returns n permits, of which transactions of normal rank may
// take three quarters and those of background rank half.
func newTransactionPermits(n int) *transactionPermits {
	n = max(n, 1)
	return &transactionPermits{limits: [cluster.RankCount]int{n, max(n*3/4, 1), max(n/2, 1)}, held: make(map[string]int)}
}

// acquire waits for a permit; the most urgent rank is served first. It returns the
// error of ctx if that ends before, or errTooManyTransactions if too many transactions of
// the rank are waiting, of which the organisation has the most.
func (t *transactionPermits) acquire(ctx context.Context, r cluster.Rank, h permitHolder) error {
	t.mu.Lock()
	if t.inUse < t.limits[r] && len(t.waiters[r]) == 0 {
		t.take(h)
		t.mu.Unlock()
		return nil
	}
	if len(t.waiters[r]) >= maxPermitWaiters && !t.makeRoom(r, h) {
		t.mu.Unlock()
		return errTooManyTransactions
	}
	w := &permitWaiter{permitHolder: h, ready: make(chan struct{})}
	t.waiters[r] = append(t.waiters[r], w)
	t.mu.Unlock()
	select {
	case <-w.ready:
		return w.outcome()
	case <-ctx.Done():
		t.cancelWait(r, w)
		return ctx.Err()
	}
}

// outcome returns the error of a waiter that is ready.
func (w *permitWaiter) outcome() error {
	if w.refused {
		return errTooManyTransactions
	}
	return nil
}

func (t *transactionPermits) take(h permitHolder) {
	t.inUse++
	t.held[h.organisation]++
}

func (t *transactionPermits) cancelWait(r cluster.Rank, w *permitWaiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, queued := range t.waiters[r] {
		if queued == w {
			t.waiters[r] = append(t.waiters[r][:i], t.waiters[r][i+1:]...)
			return
		}
	}
	if !w.refused {
		t.giveBack(w.organisation)
	}
}

func (t *transactionPermits) release(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.giveBack(organisation)
}

func (t *transactionPermits) giveBack(organisation string) {
	t.inUse--
	t.held[organisation]--
	if t.held[organisation] == 0 {
		delete(t.held, organisation)
	}
	t.grantWaiters()
}

// grantWaiters grants free permits to waiters, the most urgent rank first.
func (t *transactionPermits) grantWaiters() {
	for r := range t.waiters {
		for len(t.waiters[r]) > 0 && t.inUse < t.limits[r] {
			w := t.removeWaiter(cluster.Rank(r), t.next(cluster.Rank(r)))
			t.take(w.permitHolder)
			close(w.ready)
		}
	}
}

// next returns the index of the waiter whose organisation holds the fewest permits for its
// weight; the first of several.
func (t *transactionPermits) next(r cluster.Rank) int {
	best, least := 0, 0.0
	for i, w := range t.waiters[r] {
		if held := float64(t.held[w.organisation]) / w.weight; i == 0 || held < least {
			best, least = i, held
		}
	}
	return best
}

func (t *transactionPermits) removeWaiter(r cluster.Rank, i int) *permitWaiter {
	w := t.waiters[r][i]
	t.waiters[r] = append(t.waiters[r][:i], t.waiters[r][i+1:]...)
	return w
}

// makeRoom refuses the newest waiter of the organisation that has the most for its weight,
// and reports whether it did. It does not if that is the organisation of h.
func (t *transactionPermits) makeRoom(r cluster.Rank, h permitHolder) bool {
	waiting := make(map[permitHolder]int)
	for _, w := range t.waiters[r] {
		waiting[w.permitHolder]++
	}
	own := float64(waiting[h]+1) / h.weight
	most, found := own, -1
	for i, w := range t.waiters[r] {
		n := float64(waiting[w.permitHolder]) / w.weight
		if w.organisation != h.organisation && n > own && n >= most {
			most, found = n, i
		}
	}
	if found < 0 {
		return false
	}
	w := t.removeWaiter(r, found)
	w.refused = true
	close(w.ready)
	return true
}
