package home

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// slowCaller takes 1 s to accept a response.
type slowCaller struct{ caller }

func (c *slowCaller) SendResponse(ctx context.Context, data []byte) error {
	time.Sleep(time.Second)
	return c.caller.SendResponse(ctx, data)
}

// slotsInUse returns the number of slots in use.
func (b *testBench) slotsInUse(h *Home) int {
	n := 0
	for _, r := range h.Status().Groups[0].Ranks {
		n += r.Running
	}
	return n
}

// A slot is held while the server executes, and not while the response waits for
// the proof of the term or for the caller.
func TestSlotIsReleasedWhenServerHasCompletedBatch(t *testing.T) {
	classes := map[string]statement.Class{
		"get k": statement.ClassRead, "get k ": statement.ClassPrimaryRead, "put k v2": statement.ClassWrite,
	}
	for text, class := range classes {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			h := b.home("p1")
			b.mustWrite(h, "s", "put k v1")
			for _, id := range []cluster.ServerID{"s2", "s3"} {
				b.group.DropTraffic(string(id), "p1") // drops their status reports
			}
			done := make(chan error, 1)
			go func() {
				r := b.request(class, "work 100ms "+text)
				r.Freshness.Mode = statement.FreshnessLatest
				_, err := h.Run(context.Background(), r, &slowCaller{})
				done <- err
			}()
			time.Sleep(90 * time.Millisecond)
			if n := b.slotsInUse(h); n != 1 {
				t.Errorf("%s: %d slots in use while the server executes", text, n)
			}
			time.Sleep(200 * time.Millisecond)
			synctest.Wait()
			if n := b.slotsInUse(h); n != 0 {
				t.Errorf("%s: %d slots in use while the response waits for its proof", text, n)
			}
			for _, id := range []cluster.ServerID{"s2", "s3"} {
				b.group.RestoreTraffic(string(id), "p1")
			}
			if err := <-done; err != nil {
				t.Errorf("%s: %v", text, err)
			}
		})
	}
}

// The time for which a response waits is not charged as slot time.
func TestSlotTimeExcludesForwarding(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "s", "put k v1")
		before := h.Status().Groups[0].Ranks[cluster.RankNormal].SlotSeconds
		r := b.request(statement.ClassPrimaryRead, "work 20ms get k")
		if _, err := h.Run(context.Background(), r, &slowCaller{}); err != nil {
			t.Fatal(err)
		}
		used := h.Status().Groups[0].Ranks[cluster.RankNormal].SlotSeconds - before
		if used < 0.020 || used > 0.025 {
			t.Errorf("%.3f s charged for 20 ms of work", used)
		}
	})
}
