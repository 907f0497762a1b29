package edge

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// TestOldestStartIsDisplaced guards against connections that begin no session and keep
// others from it.
func TestOldestStartIsDisplaced(t *testing.T) {
	var s startingConns
	var clients []net.Conn
	var removes []func()
	for range 4 {
		client, server := net.Pipe()
		clients = append(clients, client)
		removes = append(removes, s.add(server, 2))
		if len(removes) == 3 {
			removes[2]() // a session now
		}
	}
	for i, want := range []bool{false, true, true, true} {
		_ = clients[i].SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := clients[i].Read(make([]byte, 1))
		if open := errors.Is(err, os.ErrDeadlineExceeded); open != want {
			t.Errorf("connection %d: open %v, want %v", i, open, want)
		}
	}
	for _, remove := range removes {
		remove()
	}
	if s.conns.Len() != 0 {
		t.Errorf("%d connections are left", s.conns.Len())
	}
}
