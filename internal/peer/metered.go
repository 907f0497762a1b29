package peer

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/connlimit"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/memory"
)

const (
	// freeBytes may be received on a connection without memory of the pool. Most requests
	// and answers are shorter.
	freeBytes = 8 << 10
	// stepBytes is what is taken at a time: enough for a statement of 1 MiB with its frame,
	// so that a request that got its memory needs no more.
	stepBytes = 1<<20 + 64<<10
	// copies is the number of copies of a message while it is received and decoded.
	copies = 3
	// meteredReadBytes is the longest read while bytes are counted.
	meteredReadBytes = 64 << 10
	// retainedBytes is the size up to which a message may have grown the buffers of a
	// connection that is kept for other calls.
	retainedBytes = 32 << 10
	// memoryWait bounds the wait for memory. Nothing is read from the connection meanwhile.
	memoryWait = 5 * time.Second
	// packetTimeout bounds the time in which the rest of a packet must arrive. Peers send
	// packets at once; 20 MiB over 20 Mbit/s take 8 s.
	packetTimeout = 10 * time.Second
	// answerTimeout bounds a write of an answer to a peer that does not read. An entry proxy
	// that waits for memory reads nothing for memoryWait.
	answerTimeout = 15 * time.Second
)

// meteredConn takes the memory of what it receives from a pool. Each side of a call sends
// once it has received, so the memory is returned with the next write, or by release.
type meteredConn struct {
	net.Conn
	pool   *memory.Pool
	budget *memory.Budget

	// packets, armed and closed belong to the goroutine that reads.
	packets packetScanner
	armed   bool
	// prove is called when the first packet is complete; nil afterwards.
	prove func()
	// received counts the bytes since the last write or release.
	received atomic.Int64

	mu     sync.Mutex
	taken  int64
	holder *memory.Holder
	closed bool
	// done is closed with the connection.
	done chan struct{}
	// writeTimeout bounds a write, if it is set, and writeDeadline is the one in force.
	writeTimeout  time.Duration
	writeDeadline time.Time
	// grown is set once the buffers of the connection, at either end, have grown above
	// retainedBytes.
	grown atomic.Bool
}

func newMeteredConn(conn net.Conn, budget *memory.Budget, pool *memory.Pool) *meteredConn {
	return &meteredConn{Conn: conn, budget: budget, pool: pool, done: make(chan struct{})}
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	if c.received.Load() >= freeBytes {
		p = p[:min(len(p), meteredReadBytes)]
		if !c.take(c.received.Load() + int64(len(p))) {
			return 0, errcode.New(errcode.Overloaded, "memory for peers", "")
		}
	} else {
		p = p[:min(len(p), freeBytes)]
	}
	if !c.armed && c.packets.partial() {
		c.armed = true
		_ = c.SetReadDeadline(time.Now().Add(packetTimeout))
	}
	n, err := c.Conn.Read(p)
	if c.armed && errors.Is(err, os.ErrDeadlineExceeded) {
		c.budget.TimedOut(memory.IncompleteFrame)
	}
	c.packets.scan(p[:n])
	if c.armed && !c.packets.partial() {
		c.armed = false
		_ = c.SetReadDeadline(time.Time{})
	}
	if c.prove != nil && n > 0 && !c.packets.partial() {
		c.prove()
		c.prove = nil
	}
	if c.received.Add(int64(n)) > freeBytes {
		c.progress(n)
	}
	return n, err
}

// take takes the memory for n received bytes.
func (c *meteredConn) take(n int64) bool {
	if n > retainedBytes+meteredReadBytes {
		c.grown.Store(true)
	}
	for {
		c.mu.Lock()
		enough, closed := copies*n <= c.taken, c.closed
		c.mu.Unlock()
		if enough || closed {
			return !closed
		}
		if !c.pool.AcquireUntil(copies*stepBytes, memoryWait, c.done) {
			return false
		}
		c.armed = false // the time of the wait is not the peer's
		c.add(copies * stepBytes)
	}
}

func (c *meteredConn) add(bytes int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		c.pool.Release(bytes)
		return
	}
	c.taken += bytes
	if c.holder == nil {
		c.holder = c.pool.Hold(func() { _ = c.Close() })
	}
}

// progress records received bytes. The connection is not slow once its packet is complete;
// what is not needed for the packet is returned.
func (c *meteredConn) progress(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder.Progress(n)
	if c.packets.partial() {
		return
	}
	c.holder.End()
	c.holder = nil
	if unused := c.taken - copies*c.received.Load(); unused > 0 {
		c.pool.Release(unused)
		c.taken -= unused
	}
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	if c.received.Load() > 0 {
		c.release()
	}
	if len(p) > retainedBytes {
		c.grown.Store(true)
	}
	c.extendWriteDeadline()
	return c.Conn.Write(p)
}

// extendWriteDeadline leaves a write at least the time of a write. Most writes need no new
// deadline.
func (c *meteredConn) extendWriteDeadline() {
	if c.writeTimeout == 0 {
		return
	}
	if time.Until(c.writeDeadline) < c.writeTimeout {
		c.writeDeadline = time.Now().Add(2 * c.writeTimeout)
		_ = c.SetWriteDeadline(c.writeDeadline) // a closed connection fails at the write
	}
}

// release returns the memory of what was received.
func (c *meteredConn) release() {
	if c.received.Swap(0) <= freeBytes {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseLocked()
}

func (c *meteredConn) releaseLocked() {
	c.holder.End()
	c.holder = nil
	c.pool.Release(c.taken)
	c.taken = 0
}

// Close implements net.Conn.
func (c *meteredConn) Close() error {
	c.mu.Lock()
	if !c.closed {
		c.closed = true
		close(c.done)
	}
	c.releaseLocked()
	c.mu.Unlock()
	return c.Conn.Close()
}

// meteredListener makes its connections take memory of the budget for requests.
type meteredListener struct {
	net.Listener
	budget *memory.Budget
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newMeteredConn(conn, l.budget, l.budget.Peers)
	c.writeTimeout = answerTimeout
	c.prove = proof(conn)
	return c, nil
}

// proof returns the function that tells the listener of a connection that a whole packet was
// received; nil if there is none.
func proof(conn net.Conn) func() {
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if c, ok := conn.(*connlimit.Conn); ok {
		return c.Prove
	}
	return nil
}
