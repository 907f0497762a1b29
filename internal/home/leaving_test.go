package home

import (
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// TestNewOwnerKnowsTheLeavingServers owns a group after one of its servers was
// marked as leaving. The new owner must not send reads to that server.
func TestNewOwnerKnowsTheLeavingServers(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		group := h.Status().Groups[0].Group
		h.SetLeaving("s2", true)
		h.Disown(group)
		if err := h.Own(group); err != nil {
			t.Fatal(err)
		}
		for _, s := range h.Status().Groups[0].Servers {
			if want := s.Server == cluster.ServerID("s2"); s.Leaving != want {
				t.Errorf("%s: leaving is %v, want %v", s.Server, s.Leaving, want)
			}
		}
	})
}

// A read waits for a connection to a replica, which does not accept one for a while.
// Meanwhile both replicas are marked as leaving. The read must not be sent there once
// the connection is open.
func TestReplicaThatLeavesWhileARequestConnectsGetsNoWork(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "s", "put k v1")
		time.Sleep(time.Second)
		for _, id := range []cluster.ServerID{"s2", "s3"} {
			b.group.Suspend(id)
		}
		var reads sync.WaitGroup
		for range 2 {
			reads.Go(func() {
				if _, r, err := b.read(h, "s", "k"); err != nil || !r.Primary {
					t.Errorf("read at %s, %v; want it at the primary", r.Server, err)
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		for _, id := range []cluster.ServerID{"s2", "s3"} {
			h.SetLeaving(id, true)
			b.group.Resume(id)
		}
		reads.Wait()
	})
}
