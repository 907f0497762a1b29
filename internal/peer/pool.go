package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	// maxFrameBytes is the largest frame between processes.
	maxFrameBytes = 20 << 20
	// maxConnsPerPeer bounds the connections, and so the running calls, to one peer.
	maxConnsPerPeer = 512
	// maxIdlePerPeer bounds the idle connections kept to one peer.
	maxIdlePerPeer = 256
	// dialTimeout bounds the opening of a connection to a peer. A kernel accepts one
	// within a round trip, which takes 100 ms between distant regions. If the peer
	// cannot be reached, the request must still have time to go to another one.
	dialTimeout = 250 * time.Millisecond
	// writerBufferBytes is the size of the buffer in which each connection collects frames
	// before it sends them. Messages are sent as soon as they are complete, and most of
	// those between idle processes are shorter.
	writerBufferBytes = 1 << 10
	// softCancelGrace bounds the wait for a running send when a call is canceled.
	softCancelGrace = 5 * time.Millisecond
	// idleConnLifetime bounds how long an idle connection is kept.
	idleConnLifetime = 30 * time.Second
)

// DialFunc opens a transport connection to a peer's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Dialer returns a DialFunc for TCP, with mutual TLS when config is not nil. config
// is called for each connection, so that renewed keys take effect.
func Dialer(config func() *tls.Config) DialFunc {
	plain := &net.Dialer{Timeout: dialTimeout, KeepAlive: idleConnLifetime}
	return func(ctx context.Context, address string) (net.Conn, error) {
		if config == nil {
			return plain.DialContext(ctx, "tcp", address)
		}
		d := tls.Dialer{NetDialer: plain, Config: config()}
		return d.DialContext(ctx, "tcp", address)
	}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: writerBufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxFrameBytes},
		SoftCancel:       true,
		SoftCancelGrace:  softCancelGrace,
	}
}

type idleConn struct {
	conn      *drpcconn.Conn
	idleSince time.Time
}

// pool keeps the idle connections to one peer.
type pool struct {
	address string
	dial    DialFunc
	// slots is a semaphore of maxConnsPerPeer connections in use.
	slots chan struct{}
	// bounds is shared by the pools of a registry; nil if there are none.
	bounds *boundedConns

	mu     sync.Mutex
	idle   []idleConn
	closed bool
	// expiry closes expired connections; nil while none is idle. In a large fleet most peers
	// are called less often than idleConnLifetime, and connections to all of them would
	// stay open.
	expiry *time.Timer
}

func newPool(address string, dial DialFunc, bounds *boundedConns) *pool {
	return &pool{address: address, dial: dial, bounds: bounds, slots: make(chan struct{}, maxConnsPerPeer)}
}

// get returns a connection, which the caller owns until put. It fails at once when
// maxConnsPerPeer connections are in use, or all that the registry may open.
func (p *pool) get(ctx context.Context) (*drpcconn.Conn, error) {
	select {
	case p.slots <- struct{}{}:
	default:
		return nil, errcode.New(errcode.Overloaded, "peer connection", p.address)
	}
	if conn := p.takeIdle(); conn != nil {
		return conn, nil
	}
	if !p.bounds.reserve() {
		<-p.slots
		return nil, errcode.New(errcode.Overloaded, "peer connections", p.address)
	}
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	transport, err := p.dial(dialCtx, p.address)
	if err != nil {
		<-p.slots
		p.bounds.free()
		return nil, errcode.Wrap(err, errcode.NoHome, "dial peer", p.address)
	}
	dialsTotal.Inc()
	return drpcconn.NewWithOptions(p.bounds.wrap(transport), drpcconn.Options{Manager: managerOptions()}), nil
}

func (p *pool) takeIdle() *drpcconn.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if isOpen(last.conn) && time.Since(last.idleSince) < idleConnLifetime {
			return last.conn
		}
		_ = last.conn.Close()
	}
	return nil
}

// put returns a connection to the pool, or closes it when it cannot carry another
// call.
func (p *pool) put(conn *drpcconn.Conn, healthy bool) {
	defer func() { <-p.slots }()
	releaseAnswer(conn)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeExpired()
	if !healthy || hasGrown(conn) || p.closed || !isOpen(conn) || len(p.idle) >= maxIdlePerPeer {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, idleConn{conn: conn, idleSince: time.Now()})
	p.scheduleExpiry()
}

// scheduleExpiry makes the connection that has been idle for longest expire. The caller
// holds the lock.
func (p *pool) scheduleExpiry() {
	if p.expiry != nil || len(p.idle) == 0 {
		return
	}
	p.expiry = time.AfterFunc(idleConnLifetime-time.Since(p.idle[0].idleSince), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.expiry = nil
		p.closeExpired()
		p.scheduleExpiry()
	})
}

// closeExpired closes the connections that were idle for too long. They are the
// first ones in the list. The caller holds the lock.
func (p *pool) closeExpired() {
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= idleConnLifetime {
		_ = p.idle[0].conn.Close()
		p.idle = p.idle[1:]
	}
}

// closeIdle closes the connection that has been idle for longest and reports whether there
// was any.
func (p *pool) closeIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return false
	}
	_ = p.idle[0].conn.Close()
	p.idle = p.idle[1:]
	return true
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.expiry != nil {
		p.expiry.Stop()
	}
	for _, c := range p.idle {
		_ = c.conn.Close()
	}
	p.idle = nil
}

func isOpen(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
		return true
	}
}
