package edge

import (
	"net"
	"testing"
	"time"
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
