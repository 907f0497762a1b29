package integration

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// direction is a way through a relay.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// relay passes TCP connections on to a target. What a cut holds back is passed
// on when the cut ends, as TCP sends lost segments again; the end of a
// connection is held back in the same way. A new connection is accepted during
// a cut too and then gets no byte through.
type relay struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// changed is closed and replaced at every change.
	changed chan struct{}
	closed  bool
	cut     [fromTarget + 1]bool
	delay   time.Duration
	open    map[*relayed]struct{}
}

// relayed is one connection through a relay. The relay's mu guards silent.
type relayed struct {
	near, far net.Conn
	// silent connections never pass anything on again.
	silent bool
}

func startRelay(t testing.TB, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, listener: l, changed: make(chan struct{}), open: map[*relayed]struct{}{}}
	go r.serve()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setCut holds back the given directions of all connections.
func (r *relay) setCut(cut ...direction) {
	r.change(func() {
		for d := range r.cut {
			r.cut[d] = slices.Contains(cut, direction(d))
		}
	})
}

// setDelay adds d to the time of every chunk.
func (r *relay) setDelay(d time.Duration) { r.change(func() { r.delay = d }) }

// silence makes the connections that are open now silent for good. The target
// finds out after its TCP keepalive.
func (r *relay) silence() {
	r.change(func() {
		for c := range r.open {
			c.silent = true
			time.AfterFunc(targetKeepalive, func() { _ = c.far.Close() })
		}
	})
}

// reset ends the connections that are open now without an orderly close.
func (r *relay) reset() {
	r.change(func() {
		for c := range r.open {
			for _, conn := range []net.Conn{c.near, c.far} {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
			c.end()
		}
	})
}

func (r *relay) change(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.change(func() {
		r.closed = true
		for c := range r.open {
			c.end()
		}
	})
}

func (c *relayed) end() {
	_ = c.near.Close()
	_ = c.far.Close()
}

func (r *relay) serve() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target := r.target
		r.mu.Unlock()
		far, err := net.Dial("tcp", target)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &relayed{near: near, far: far}
		r.change(func() { r.open[c] = struct{}{} })
		go r.pump(c, toTarget, far, near)
		go r.pump(c, fromTarget, near, far)
	}
}

// pump passes one direction of a connection on until either end closes.
func (r *relay) pump(c *relayed, d direction, dst, src net.Conn) {
	defer r.change(func() {
		c.end()
		delete(r.open, c)
	})
	buf := make([]byte, 32<<10)
	for {
		n, readErr := src.Read(buf)
		if !r.await(c, d) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil || readErr != nil {
			return
		}
	}
}

// await waits until a direction passes. It reports false when the relay closes.
func (r *relay) await(c *relayed, d direction) bool {
	for {
		r.mu.Lock()
		held, closed, changed, delay := r.cut[d] || c.silent, r.closed, r.changed, r.delay
		r.mu.Unlock()
		if closed || !held {
			time.Sleep(delay)
			return !closed
		}
		<-changed
	}
}
