// Package connlimit bounds the number of connections of a listener that clients reach which
// are not controlled. A new connection is always let in: it takes the place of one that has
// said nothing useful for longest.
package connlimit

import (
	"cmp"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Listener closes connections over a limit. First are those on which nothing was answered,
// the oldest first, then the least recently used.
type Listener struct {
	net.Listener
	limit     func() int
	displaced *metrics.Counter

	// clock counts the uses of all connections.
	clock atomic.Uint64
	mu    sync.Mutex
	conns map[*Conn]struct{}
	// open counts the connections that their owners have not closed, with those displaced.
	open int
	// ended receives a token when a connection has been closed by its owner.
	ended chan struct{}
}

// endWait bounds the wait for the owners of displaced connections to close them. A
// descriptor stays open until the goroutine that reads from it has run.
const endWait = 100 * time.Millisecond

// New returns a Listener with a limit that may change. name is the label in the metrics.
func New(l net.Listener, name string, limit func() int) *Listener {
	return &Listener{
		Listener: l, limit: limit, conns: map[*Conn]struct{}{}, ended: make(chan struct{}, 1),
		displaced: metrics.GetOrCreateCounter(`rattan_connections_displaced_total{listener="` + name + `"}`),
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: conn, listener: l}
	c.used.Store(l.clock.Add(1))
	for _, displaced := range l.admit(c) {
		l.displaced.Inc()
		_ = displaced.Conn.Close()
	}
	l.awaitDisplaced()
	return c, nil
}

// awaitDisplaced waits until few displaced connections are still open.
func (l *Listener) awaitDisplaced() {
	if !l.hasDisplaced() {
		return
	}
	timeout := time.NewTimer(endWait)
	defer timeout.Stop()
	for l.hasDisplaced() {
		select {
		case <-l.ended:
		case <-timeout.C:
			return
		}
	}
}

// hasDisplaced reports whether more connections are open than the limit and a quarter.
func (l *Listener) hasDisplaced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open > len(l.conns)+l.limit()/4
}

// admit adds a connection and removes and returns those over the limit.
func (l *Listener) admit(c *Conn) []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var displaced []*Conn
	for len(l.conns) > 0 && len(l.conns) >= l.limit() {
		var first *Conn
		for other := range l.conns {
			if first == nil || other.before(first) {
				first = other
			}
		}
		delete(l.conns, first)
		displaced = append(displaced, first)
	}
	l.conns[c] = struct{}{}
	l.open++
	return displaced
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.open--
	select {
	case l.ended <- struct{}{}:
	default:
	}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// used is the listener's clock at the last read or write; until the first write, at the
	// accept.
	used     atomic.Uint64
	answered atomic.Bool
	closed   sync.Once
}

// before reports whether c is closed before other.
func (c *Conn) before(other *Conn) bool {
	if c.answered.Load() != other.answered.Load() {
		return !c.answered.Load()
	}
	return cmp.Less(c.used.Load(), other.used.Load())
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.answered.Load() {
		c.used.Store(c.listener.clock.Add(1))
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.answered.Store(true)
	c.used.Store(c.listener.clock.Add(1))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.listener.remove(c) })
	return err
}
