package delay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
)

// TestSleepOfNoTimeSetsNoTimer sleeps for zero time in many goroutines. With a timer
// that has expired before the select, the race detector of Go 1.26 crashes in a
// synctest bubble.
func TestSleepOfNoTimeSetsNoTimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				for range 2000 {
					Sleep(ctx, 0)
				}
			})
		}
		wg.Wait()
	})
}
