package home

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// TestPermitsOfOrganisations guards against an organisation whose transactions take all
// permits and all places in the queue, so that others wait behind it or are refused.
func TestPermitsOfOrganisations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := newTransactionPermits(8) // of which normal rank may take 6
		flood, small := permitHolder{"flood", 2}, permitHolder{"small", 2}
		var refused atomic.Int64
		for range maxPermitWaiters + 20 {
			go func() {
				err := permits.acquire(t.Context(), cluster.RankNormal, flood)
				if err != nil {
					refused.Add(1)
					return
				}
				time.Sleep(100 * time.Millisecond)
				permits.release("flood")
			}()
			synctest.Wait()
		}
		if refused.Load() != 20-6 {
			t.Errorf("%d of the flood refused, want %d", refused.Load(), 20-6)
		}
		begun := time.Now()
		var waiting sync.WaitGroup
		for range 3 {
			waiting.Go(func() {
				if err := permits.acquire(t.Context(), cluster.RankNormal, small); err != nil {
					t.Error(err)
				}
			})
		}
		waiting.Wait()
		if waited := time.Since(begun); waited > 100*time.Millisecond {
			t.Errorf("three permits after %v, the flood holds each for 100ms", waited)
		}
		synctest.Wait()
		if refused.Load() != 20-6+3 {
			t.Errorf("%d of the flood refused after the queue was full, want three more", refused.Load())
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if err := permits.acquire(ctx, cluster.RankNormal, permitHolder{"other", 2}); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("error %v", err)
		}
		time.Sleep(time.Minute)
		for range 3 {
			permits.release("small")
		}
		if permits.inUse != 0 || len(permits.held) != 0 {
			t.Errorf("%d permits in use, held %v", permits.inUse, permits.held)
		}
	})
}
