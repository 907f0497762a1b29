package edge

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/provider/providertest"
)

// TestBacklogIsBounded guards against a queue of connections that are accepted only after
// their owners have given up.
func TestBacklogIsBounded(t *testing.T) {
	const backlog = 8
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	if err := boundBacklog(l, backlog); err != nil {
		t.Fatal(err)
	}
	const dials = 4 * backlog
	opened := make(chan bool, dials)
	for range dials {
		go func() {
			conn, err := net.DialTimeout("tcp", l.Addr().String(), 300*time.Millisecond)
			if err == nil {
				defer func() { _ = conn.Close() }()
			}
			opened <- err == nil
		}()
	}
	n := 0
	for range dials {
		if <-opened {
			n++
		}
	}
	if n == 0 || n > 2*backlog {
		t.Errorf("%d of %d connections opened that no one accepts, want at most %d", n, dials, 2*backlog)
	}
}

// TestAbandonedPingIsNotHandled guards against work for pings whose senders have given up,
// which leaves no time for others while a large fleet starts.
func TestAbandonedPingIsNotHandled(t *testing.T) {
	e, err := New(Config{ID: "p1"}, Adapters{Table: providertest.NewTable()}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ping := &peerpb.PingRequest{From: &peerpb.Member{Id: "p2", Role: "proxy", State: "alive", Incarnation: 1}}
	cancel()
	if _, err := e.handlePing(ctx, ping); err == nil || len(e.members.Snapshot().Entries()) != 1 {
		t.Errorf("an abandoned ping was handled: %v", err)
	}
	if _, err := e.handlePing(t.Context(), ping); err != nil || len(e.members.Snapshot().Entries()) != 2 {
		t.Errorf("a ping was not handled: %v", err)
	}
}
