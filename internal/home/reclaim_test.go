package home

import (
	"fmt"
	"testing"
	"time"
)

// TestServerFullOfSilentConnectionsIsFreed repeatedly makes the network drop the
// packets of all connections. The servers do not notice and count the dead
// connections towards their limit, until the group is claimed again.
func TestServerFullOfSilentConnectionsIsFreed(t *testing.T) {
	const limit = 12 * time.Second
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "", "k=0")
		for n := range 40 {
			for _, s := range b.document.Groups[0].Servers {
				b.group.BlackholeConns("p1", s.ID)
			}
			begun := time.Now()
			for {
				if _, err := b.write(h, "", fmt.Sprintf("k=%d", n)); err == nil {
					break
				} else if time.Since(begun) > limit {
					t.Fatalf("no write for %v after connections were blackholed %d times: %v, server %+v", limit, n+1, err, b.group.Usage("s1"))
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}
