package integration

import (
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// direction is one of the two directions of a relayed connection.
type direction int

const (
	toTarget direction = iota
	fromTarget
)

// relay forwards TCP connections to a target. Data that is held back is forwarded
// when the hold ends, as TCP retransmits lost segments; the close of a connection
// is held back in the same way. New connections are accepted during a hold, but
// none of their data is forwarded.
type relay struct {
	target   string
	listener net.Listener

	mu sync.Mutex
	// changed is closed and replaced at every update.
	changed chan struct{}
	closed  bool
	held    [fromTarget + 1]bool
	delay   time.Duration
	conns   map[*relayedConn]struct{}
}

// relayedConn is one connection through a relay. The relay's mu guards blackholed.
type relayedConn struct {
	client, target net.Conn
	// blackholed connections stay open and forward no more data.
	blackholed bool
}

func startRelay(t testing.TB, target string) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{target: target, listener: l, changed: make(chan struct{}), conns: map[*relayedConn]struct{}{}}
	go r.serve()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// hold holds back the data of all connections in the given directions and releases
// the other directions.
func (r *relay) hold(directions ...direction) {
	r.update(func() {
		for d := range r.held {
			r.held[d] = slices.Contains(directions, direction(d))
		}
	})
}

// setDelay delays every chunk of data by d.
func (r *relay) setDelay(d time.Duration) { r.update(func() { r.delay = d }) }

// blackhole stops forwarding on the connections that are open now, for good. The
// target's side is closed after targetKeepalive, as by its TCP keepalive.
func (r *relay) blackhole() {
	r.update(func() {
		for c := range r.conns {
			c.blackholed = true
			time.AfterFunc(targetKeepalive, func() { _ = c.target.Close() })
		}
	})
}

// reset resets the connections that are open now (RST instead of FIN).
func (r *relay) reset() {
	r.update(func() {
		for c := range r.conns {
			for _, conn := range []net.Conn{c.client, c.target} {
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
			}
			c.closeBoth()
		}
	})
}

func (r *relay) update(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.update(func() {
		r.closed = true
		for c := range r.conns {
			c.closeBoth()
		}
	})
}

func (c *relayedConn) closeBoth() {
	_ = c.client.Close()
	_ = c.target.Close()
}

func (r *relay) serve() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		target := r.target
		r.mu.Unlock()
		targetConn, err := net.Dial("tcp", target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &relayedConn{client: client, target: targetConn}
		r.update(func() { r.conns[c] = struct{}{} })
		go r.forward(c, toTarget, targetConn, client)
		go r.forward(c, fromTarget, client, targetConn)
	}
}

// forward copies one direction of a connection until either end closes.
func (r *relay) forward(c *relayedConn, d direction, dst, src net.Conn) {
	defer r.update(func() {
		c.closeBoth()
		delete(r.conns, c)
	})
	buf := make([]byte, 32<<10)
	for {
		n, readErr := src.Read(buf)
		if !r.awaitForwarding(c, d) {
			return
		}
		if _, err := dst.Write(buf[:n]); err != nil || readErr != nil {
			return
		}
	}
}

// awaitForwarding waits until a direction is not held back. It returns false when
// the relay closes.
func (r *relay) awaitForwarding(c *relayedConn, d direction) bool {
	for {
		r.mu.Lock()
		blocked, closed, changed, delay := r.held[d] || c.blackholed, r.closed, r.changed, r.delay
		r.mu.Unlock()
		if closed || !blocked {
			time.Sleep(delay)
			return !closed
		}
		<-changed
	}
}
