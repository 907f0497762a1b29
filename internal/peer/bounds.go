package peer

import (
	"net"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/rattancove/rattancove/internal/memory"
)

// Bounds bounds the connections of a registry to all of its peers, and the memory of the
// answers on them.
type Bounds struct {
	Budget *memory.Budget
	// Connections returns the largest number of connections.
	Connections func() int
}

// boundedConns counts the connections of a registry. A nil value has no bound.
type boundedConns struct {
	bounds Bounds
	// closeIdle closes one idle connection, if there is any.
	closeIdle func() bool
	mu        sync.Mutex
	open      int
}

// reserve counts a connection that is about to be opened. It closes an idle one if there are
// too many, and returns false if there is none.
func (b *boundedConns) reserve() bool {
	if b == nil {
		return true
	}
	return b.tryReserve() || b.closeIdle() && b.tryReserve()
}

func (b *boundedConns) tryReserve() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open >= b.bounds.Connections() {
		return false
	}
	b.open++
	return true
}

func (b *boundedConns) free() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open--
}

// wrap makes a connection take memory for its answers, and counts its end.
func (b *boundedConns) wrap(conn net.Conn) net.Conn {
	if b == nil {
		return conn
	}
	return &countedConn{meteredConn: newMeteredConn(conn, b.bounds.Budget, b.bounds.Budget.Answers), conns: b}
}

// countedConn is a connection that boundedConns counts.
type countedConn struct {
	*meteredConn
	conns *boundedConns
	once  sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(c.conns.free)
	return c.meteredConn.Close()
}

// releaseAnswer returns the memory of the answers that were received on a connection.
func releaseAnswer(conn *drpcconn.Conn) {
	if c, ok := conn.Transport().(*countedConn); ok {
		c.release()
	}
}

// hasGrown reports whether a connection has buffers that are too large to be kept.
func hasGrown(conn *drpcconn.Conn) bool {
	c, ok := conn.Transport().(*countedConn)
	return ok && c.grown.Load()
}
