package backendtest

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

var (
	errRefused         = errors.New("connection refused")
	errReset           = errors.New("connection reset")
	errConnectionLimit = errors.New("too many connections")
)

type dialer struct {
	group  *Group
	client string
}

// Dial implements backend.Dialer.
func (d *dialer) Dial(ctx context.Context, s cluster.Server, _ cluster.GroupName, _ string, c backend.Claim) (backend.Conn, error) {
	conn, err := d.open(ctx, s, c, false)
	if err != nil {
		code := errcode.ConnectionLost
		if errors.Is(err, errConnectionLimit) {
			code = errcode.Overloaded
		}
		return nil, errcode.Wrap(err, code, "dial", string(s.ID))
	}
	return &dataConn{conn: conn}, nil
}

// DialControl implements backend.Dialer.
func (d *dialer) DialControl(ctx context.Context, s cluster.Server, _ cluster.GroupName) (backend.Control, error) {
	conn, err := d.open(ctx, s, backend.Claim{}, true)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, "dial control", string(s.ID))
	}
	return &controlConn{conn: conn}, nil
}

func (d *dialer) open(ctx context.Context, spec cluster.Server, claim backend.Claim, control bool) (*conn, error) {
	g := d.group
	c := &conn{group: g, client: d.client, claim: claim, control: control, broken: make(chan struct{})}
	g.mu.Lock()
	c.server = g.servers[spec.ID]
	g.mu.Unlock()
	var err error
	callErr := c.call(ctx, func() {
		if !control {
			time.Sleep(g.cfg.ConnectDelay)
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		err = c.admit()
	})
	if callErr != nil { // the server may still accept the connection
		return nil, callErr
	}
	return c, err
}

// conn is a connection of a client to a server. The group's mutex guards every field
// except broken.
type conn struct {
	group      *Group
	server     *server
	client     string
	claim      backend.Claim
	control    bool
	blackholed bool
	tx         *transaction
	sent       bool

	breakOnce sync.Once
	broken    chan struct{}
}

type transaction struct {
	writes []write
	term   cluster.Term
	failed bool
}

func (c *conn) admit() error {
	s := c.server
	switch {
	case s.down:
		return errRefused
	case !c.control && s.claim.Epoch > 0 && (c.claim.Epoch < s.claim.Epoch || c.claim.Epoch == s.claim.Epoch && c.claim.Home != s.claim.Home):
		return errors.New("home epoch superseded")
	case !c.control && s.dataConns() >= s.spec.Connections:
		return errConnectionLimit
	}
	s.conns[c] = true
	if !c.control {
		s.usage.Opens++
		s.usage.MaxConns = max(s.usage.MaxConns, s.dataConns())
	}
	return nil
}

func (c *conn) breakConn() {
	c.breakOnce.Do(func() { close(c.broken) })
}

func (c *conn) isBroken() bool {
	select {
	case <-c.broken:
		return true
	default:
		return false
	}
}

// call delivers a request to the server, runs handle there and delivers the response.
// handle runs even if the caller has given up in the meantime.
func (c *conn) call(ctx context.Context, handle func()) error {
	if c.isBroken() {
		return errReset
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	g := c.group
	done := make(chan error, 1)
	go func() {
		time.Sleep(g.cfg.NetworkDelay)
		if !c.deliver() {
			return
		}
		handle()
		time.Sleep(g.cfg.NetworkDelay)
		g.mu.Lock()
		lost := c.blackholed || g.isDropped(string(c.server.spec.ID), c.client)
		down := c.server.down
		g.mu.Unlock()
		switch {
		case lost:
		case down:
			done <- errRefused
		default:
			done <- nil
		}
	}()
	select {
	case err := <-done:
		return err
	case <-c.broken:
		return errReset
	case <-g.closed:
		return errRefused
	case <-ctx.Done():
		return ctx.Err()
	}
}

// deliver waits while the server is suspended and reports whether the request reached
// it. A request to a server that is down is delivered, but fails there.
func (c *conn) deliver() bool {
	g := c.group
	g.mu.Lock()
	dropped := c.blackholed || g.isDropped(c.client, string(c.server.spec.ID))
	suspended := c.server.suspended
	g.mu.Unlock()
	if dropped {
		return false
	}
	if suspended != nil {
		<-suspended
	}
	return true
}

func (c *conn) close() error {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.breakConn()
	if c.blackholed || c.group.isDropped(c.client, string(c.server.spec.ID)) {
		return nil // the server does not notice that the connection is closed
	}
	delete(c.server.conns, c)
	return nil
}

type controlConn struct{ conn *conn }

func (c *controlConn) do(ctx context.Context, step string, f func(s *server) bool) (cluster.ServerStatus, error) {
	var status cluster.ServerStatus
	ok := false
	err := c.conn.call(ctx, func() {
		c.conn.group.mu.Lock()
		defer c.conn.group.mu.Unlock()
		if c.conn.server.down {
			return
		}
		ok = f(c.conn.server)
		status = c.conn.server.status()
	})
	peer := string(c.conn.server.spec.ID)
	if err != nil {
		return cluster.ServerStatus{}, errcode.Wrap(err, errcode.ConnectionLost, step, peer)
	}
	if !ok {
		return status, errcode.New(errcode.Superseded, step, peer)
	}
	return status, nil
}

func (c *controlConn) Status(ctx context.Context) (cluster.ServerStatus, error) {
	return c.do(ctx, "status", func(*server) bool { return true })
}

func (c *controlConn) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	return c.do(ctx, "claim", func(s *server) bool { return s.acceptClaim(claim) })
}

func (c *controlConn) Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.do(ctx, "seal", func(s *server) bool { return s.seal(term, holder) })
}

func (c *controlConn) Promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.do(ctx, "promote", func(s *server) bool { return s.promote(term, holder) })
}

func (c *controlConn) Follow(ctx context.Context, term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error) {
	return c.do(ctx, "follow", func(s *server) bool { return s.follow(term, leader.ID) })
}

func (c *controlConn) Close() error { return c.conn.close() }

type dataConn struct{ conn *conn }

func (d *dataConn) Sent() bool {
	d.conn.group.mu.Lock()
	defer d.conn.group.mu.Unlock()
	return d.conn.sent
}

func (d *dataConn) Close() error { return d.conn.close() }

func (d *dataConn) Cancel(context.Context) error { return nil }

func (d *dataConn) Reset(ctx context.Context) error {
	return d.conn.call(ctx, func() {
		d.conn.group.mu.Lock()
		defer d.conn.group.mu.Unlock()
		d.conn.tx = nil
	})
}

// Exchange implements backend.Conn.
func (d *dataConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	c := d.conn
	c.group.mu.Lock()
	c.sent = false
	c.group.mu.Unlock()
	var text string
	var result backend.Result
	var execErr error
	c.markSent()
	err := c.call(ctx, func() { text, result, execErr = c.execute(x) })
	if err != nil { // execute may still be running: its results must not be read
		return backend.Result{}, c.exchangeError(err, x.Batch.Class)
	}
	if execErr != nil {
		return backend.Result{}, c.exchangeError(execErr, x.Batch.Class)
	}
	if x.OnBatchEnd != nil {
		x.OnBatchEnd()
	}
	if result.ReadOnlyRefused {
		return result, nil
	}
	if x.BeforeFirstByte != nil {
		if err := x.BeforeFirstByte(ctx); err != nil {
			return result, err
		}
	}
	if x.BufferResponse && x.BeforeFlush != nil {
		if err := x.BeforeFlush(ctx, result); err != nil {
			return result, err
		}
	}
	return result, conv.SendResponse(ctx, []byte(text))
}

func (c *conn) markSent() {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.sent = !c.isBroken()
}

func (c *conn) exchangeError(err error, class statement.Class) error {
	c.group.mu.Lock()
	sent := c.sent
	c.group.mu.Unlock()
	code := errcode.Unknown
	if !sent || class.ReadOnly() {
		code = errcode.ConnectionLost
	}
	if errors.Is(err, io.EOF) {
		err = errReset
	}
	return errcode.Wrap(err, code, "exchange", string(c.server.spec.ID))
}
