package home

import (
	"fmt"
	"testing"
	"time"
)

// TestServerFullOfSilentConnectionsIsFreed silences the connections to every
// server again and again. A server does not notice and keeps their places.
func TestServerFullOfSilentConnectionsIsFreed(t *testing.T) {
	const limit = 12 * time.Second
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "", "k=0")
		for n := range 40 {
			for _, s := range b.document.Groups[0].Servers {
				b.group.Silence("p1", s.ID)
			}
			begun := time.Now()
			for {
				if _, err := b.write(h, "", fmt.Sprintf("k=%d", n)); err == nil {
					break
				} else if time.Since(begun) > limit {
					t.Fatalf("no write for %v after silence %d: %v, server %+v", limit, n+1, err, b.group.Usage("s1"))
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
}
