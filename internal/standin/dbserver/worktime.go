package dbserver

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// maxLateness bounds the lateness that one timer hands on, so that a process
// that was stopped does not work for nothing afterwards.
const maxLateness = 5 * time.Millisecond

// workTimer makes statements take the time that they ask for on average,
// although the timers of the runtime fire late: what one statement was late is
// taken off the next ones.
type workTimer struct {
	mu   sync.Mutex
	late time.Duration
}

// wait takes the given time. It reports false when ctx ended first.
func (w *workTimer) wait(ctx context.Context, d time.Duration) bool {
	d = w.shorten(d)
	begun := time.Now()
	if !delay.Sleep(ctx, d) {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late += min(time.Since(begun)-d, maxLateness)
	return true
}

// shorten takes the lateness off d.
func (w *workTimer) shorten(d time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	off := min(w.late, d)
	w.late -= off
	return d - off
}
