package home

import (
	"testing"
	"time"
)

func TestIdleGroupIsPolledRarelyAndServesImmediately(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "s", "put k v")
		time.Sleep(2 * idleThreshold)
		before := statusCallsTotal.Get()
		time.Sleep(10 * idleInterval)
		if calls := statusCallsTotal.Get() - before; calls > 3*11 {
			t.Errorf("%d status calls to 3 servers in %v", calls, 10*idleInterval)
		}
		start := time.Now()
		b.mustWrite(h, "s", "put k w")
		if took := time.Since(start); took > 100*time.Millisecond {
			t.Errorf("the first request after a pause took %v", took)
		}
	})
}
