// Package delay provides sleeps that end with a context, and jittered durations.
package delay

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d or until ctx is done, and reports whether ctx is still active.
// It sets no timer when d is zero or negative: a select on a timer that has expired
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

// Jitter returns a random duration between 0.5 d and 1.5 d, so that processes that
// started at the same time do not act at the same time.
func Jitter(d time.Duration) time.Duration { return d/2 + rand.N(d+1) }

// JitterWith returns a duration between 0.8 d and 1.2 d, for a fraction from 0 to 1
// from the caller's random source.
func JitterWith(d time.Duration, fraction float64) time.Duration {
	return d + time.Duration((fraction-0.5)*0.4*float64(d))
}
