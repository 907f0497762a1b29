package edge

import (
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestOldestStartIsDisplaced guards against connections that begin no session and keep
// others from it.
func TestOldestStartIsDisplaced(t *testing.T) {
	s := newStartingConns()
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
	for _, remove := range removes {
		remove()
	}
	if s.conns.Len() != 0 || s.displaced != 0 {
		t.Errorf("%d connections and %d displaced ones are left", s.conns.Len(), s.displaced)
	}
}

// TestStartsWaitForDisplacedOnes guards against descriptors of displaced connections that add
// up, and against a wait without an end.
func TestStartsWaitForDisplacedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartingConns()
		var removes []func()
		for range 9 {
			_, server := net.Pipe()
			removes = append(removes, s.add(server, 8)) // the limit, and one displaced
		}
		add := func() time.Duration {
			_, server := net.Pipe()
			started := time.Now()
			removes = append(removes, s.add(server, 8))
			return time.Since(started)
		}
		if waited := add(); waited != 0 {
			t.Errorf("waited for %v with two displaced", waited)
		}
		time.AfterFunc(time.Millisecond, removes[0])
		if waited := add(); waited != time.Millisecond {
			t.Errorf("waited for %v with three displaced, of which one ends", waited)
		}
		if waited := add(); waited != displacedWait {
			t.Errorf("waited for %v with three displaced, of which none ends", waited)
		}
	})
}
