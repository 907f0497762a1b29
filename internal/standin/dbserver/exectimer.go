package dbserver

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// maxOverrun is the maximum overrun that a single wait carries over. Without it,
// statements after a pause of the process would take no time at all.
const maxOverrun = 5 * time.Millisecond

// executionTimer makes statements take the requested time on average, although
// the timers of the runtime fire late: the overrun of one statement is subtracted
// from the next ones.
type executionTimer struct {
	mu      sync.Mutex
	overrun time.Duration
}

// wait waits for d. It returns false if ctx is done first.
func (w *executionTimer) wait(ctx context.Context, d time.Duration) bool {
	d = w.subtractOverrun(d)
	startedAt := time.Now()
	if !delay.Sleep(ctx, d) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.overrun += min(time.Since(startedAt)-d, maxOverrun)
	return true
}

// subtractOverrun returns d less the accumulated overrun.
func (w *executionTimer) subtractOverrun(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	compensated := min(w.overrun, d)
	w.overrun -= compensated
	return d - compensated
}
