// Package delay waits for a time or for the end of a context.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and reports whether ctx still holds. It returns early when
// ctx ends. It sets no timer for no time: a select on a timer that has expired
// crashes the race detector of Go 1.26 in a synctest bubble.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Jitter returns a random duration from half of d to one and a half of d, so
// that processes that began at the same time do not act at the same time.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

// JitterWith returns d plus or minus a fifth, by a number from 0 to 1.
func JitterWith(d time.Duration, fraction float64) time.Duration {
	return d + time.Duration((fraction-0.5)*0.4*float64(d))
}
