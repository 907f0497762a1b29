package home

import (
	"testing"

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
