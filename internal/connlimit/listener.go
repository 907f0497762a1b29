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

// Listener closes connections over a limit. First are the unproven ones, on which no whole
// request was received and nothing was answered, the oldest first, then the least recently
// used.
type Listener struct {
	net.Listener
	limit func() int
	// unprovenOnly is set if proven connections do not count towards the limit.
	unprovenOnly bool
	displaced    *metrics.Counter

	// clock counts the uses of all connections.
	clock atomic.Uint64
	mu    sync.Mutex
	conns map[*Conn]struct{}
	// ending counts the displaced connections that their owners have not closed.
	ending int
	// ended receives a token when one of them has been closed.
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

// NewUnproven returns a Listener whose limit is one of unproven connections only.
func NewUnproven(l net.Listener, name string, limit int) *Listener {
	u := New(l, name, func() int { return limit })
	u.unprovenOnly = true
	return u
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

// awaitDisplaced waits for up to endWait while too many displaced connections are still open.
func (l *Listener) awaitDisplaced() {
	if !l.tooManyDisplaced() {
		return
	}
	timeout := time.NewTimer(endWait)
	defer timeout.Stop()
	for l.tooManyDisplaced() {
		select {
		case <-l.ended:
		case <-timeout.C:
			return
		}
	}
}

// tooManyDisplaced reports whether more displaced connections than a quarter of the limit are
// still open.
func (l *Listener) tooManyDisplaced() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending > l.limit()/4
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
		first.displaced = true
		l.ending++
		displaced = append(displaced, first)
	}
	l.conns[c] = struct{}{}
	return displaced
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	if !c.displaced {
		return
	}
	l.ending--
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
	used   atomic.Uint64
	proven atomic.Bool
	closed sync.Once
	// displaced is guarded by the mutex of the listener.
	displaced bool
}

// before reports whether c is closed before other.
func (c *Conn) before(other *Conn) bool {
	if c.proven.Load() != other.proven.Load() {
		return !c.proven.Load()
	}
	return cmp.Less(c.used.Load(), other.used.Load())
}

// Prove records that a whole request was received on the connection.
func (c *Conn) Prove() {
	if c.proven.Swap(true) || !c.listener.unprovenOnly {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.proven.Load() {
		c.used.Store(c.listener.clock.Add(1))
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.Prove()
	c.used.Store(c.listener.clock.Add(1))
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(func() { c.listener.remove(c) })
	return err
}
