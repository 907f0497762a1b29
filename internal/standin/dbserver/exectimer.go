package dbserver

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// maxOverrun bounds the lateness that one timer hands on, so that a process
// that was stopped does not work for nothing afterwards.
const maxOverrun = 5 * time.Millisecond

// executionTimer makes statements take the time that they ask for on average,
// although the timers of the runtime fire late: what one statement was late is
// taken off the next ones.
type executionTimer struct {
	mu      sync.Mutex
	overrun time.Duration
}

// wait takes the given time. It reports false when ctx ended first.
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

// subtractOverrun takes the lateness off d.
func (w *executionTimer) subtractOverrun(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	compensated := min(w.overrun, d)
	w.overrun -= compensated
	return d - compensated
}
