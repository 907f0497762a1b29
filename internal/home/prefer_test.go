package home

import (
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// TestReadsPreferTheirFailureDomain guards against reads that cross to another failure domain
// while a server of the home's own is as free, and against a preference that outweighs free
// slots or an idle connection of the organisation, or that applies without a failure domain.
func TestReadsPreferTheirFailureDomain(t *testing.T) {
	for _, tt := range []struct {
		domain string
		// equal is set where the VMs are of equal capacity.
		equal bool
		// busy is set while another read runs at the near server, idle while it has no idle
		// connection of the organisation and another one has.
		busy, idle bool
		near       bool
	}{
		{domain: "ds3", near: true},
		{domain: "ds3", busy: true},
		{domain: "ds3", idle: true},
		{domain: "ds2", near: true},
		{domain: "ds2", busy: true},
		{domain: "ds2", idle: true},
		{domain: "elsewhere"},
		{domain: ""},
		{domain: "ds3", equal: true},
	} {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			h := New(Config{ID: "p1", FailureDomain: tt.domain}, b.group.Dialer("p1"))
			h.SetUnequalVMs(!tt.equal)
			b.own(h)
			b.mustWrite(h, "", "put k v")
			time.Sleep(time.Second)
			read := func(organisation, text string) cluster.ServerID {
				r := b.request(statement.ClassRead, text)
				r.Organisation = organisation
				_, result, err := run(h, r)
				if err != nil || result.Primary {
					t.Fatalf("%+v, %v", result, err)
				}
				return result.Server
			}
			var other sync.WaitGroup
			defer other.Wait()
			if tt.busy || tt.idle {
				other.Go(func() { read("b", "work 100ms get k") })
				time.Sleep(10 * time.Millisecond)
			}
			if tt.idle { // a runs on the other replica, as the near one is less free
				read("a", "get k")
				other.Wait()
			}
			for range 3 {
				if got := read("a", "get k"); ("d"+string(got) == tt.domain) != tt.near {
					t.Errorf("%+v: ran on %s", tt, got)
				}
				if tt.busy {
					return
				}
			}
		})
	}
}
