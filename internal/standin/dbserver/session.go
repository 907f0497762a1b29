package dbserver

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/cluster"
)

var (
	errSilenced   = errors.New("connection silenced")
	errDown       = errors.New("server down")
	errAnswerLost = errors.New("answer lost")
	errTerminate  = errors.New("client left")
	errCancelled  = newError("57014", "canceling statement due to user request")
)

// session is one connection. Its own goroutine runs it; other goroutines only
// cancel it, end it or abort its transaction.
type session struct {
	server      *Server
	conn        net.Conn
	backend     *pgproto3.Backend
	pid         uint32
	secret      uint32
	control     bool
	replication bool
	epoch       cluster.Epoch

	ctx    context.Context
	cancel context.CancelCauseFunc
	// ended is closed when the server ends the session.
	ended   chan struct{}
	endOnce sync.Once

	settings map[string]string
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// skip is set after an error in the extended protocol until Sync.
	skip bool

	mu sync.Mutex
	// stopStatement cancels the running statement.
	stopStatement context.CancelCauseFunc
	tx            txState
}

// txState is the state of the session's transaction.
type txState struct {
	open bool
	// implicit is set for a transaction that the next Sync ends.
	implicit bool
	failed   bool
	readOnly bool
	// write is the open write transaction; nil before the first write.
	write *transaction
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	c := &session{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn), ctx: ctx, cancel: cancel, ended: make(chan struct{}),
		settings: map[string]string{}, prepared: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if !c.startup() {
		return
	}
	err := c.loop()
	c.rollback()
	s.unregister(c)
	if errors.Is(err, errSilenced) {
		// The client learns nothing of the end.
		<-s.ctx.Done()
		return
	}
	c.sayGoodbye(err)
}

// sayGoodbye tells the client why its connection ends, when the server ended it.
func (c *session) sayGoodbye(err error) {
	var fatal *serverError
	if !errors.As(context.Cause(c.ctx), &fatal) {
		if !errors.As(err, &fatal) || !fatal.fatal {
			return
		}
	}
	_ = c.conn.SetWriteDeadline(time.Now().Add(time.Second))
	c.backend.Send(fatal.response())
	_ = c.backend.Flush()
}

// loop serves messages until the connection ends.
func (c *session) loop() error {
	for {
		m, err := c.backend.Receive()
		if c.ctx.Err() != nil {
			err = context.Cause(c.ctx)
		}
		if err != nil {
			c.rest(err)
			return err
		}
		if c.hung() {
			return c.ctx.Err()
		}
		if err := c.handle(m); err != nil {
			c.rest(err)
			return err
		}
	}
}

// rest keeps a silenced session, with its transaction, until the server ends it.
func (c *session) rest(err error) {
	if !errors.Is(err, errSilenced) {
		return
	}
	select {
	case <-c.ended:
	case <-c.server.ctx.Done():
	}
}

// hung waits while the server hangs and reports whether the connection ended meanwhile.
func (c *session) hung() bool {
	for {
		c.server.mu.Lock()
		hang, changed := c.server.faults.hang && !c.control, c.server.changed
		c.server.mu.Unlock()
		if !hang {
			return c.ctx.Err() != nil
		}
		select {
		case <-changed:
		case <-c.ctx.Done():
			return true
		}
	}
}

// handle serves one message. Errors answered to the client are not returned.
func (c *session) handle(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Terminate); ok {
		return errTerminate
	}
	if _, ok := m.(*pgproto3.Sync); ok {
		return c.sync()
	}
	if q, ok := m.(*pgproto3.Query); ok {
		return c.simpleQuery(q.String)
	}
	if c.skip {
		return nil
	}
	err := c.extended(m)
	if err == nil {
		return nil
	}
	return c.fail(err, true)
}

// fail answers an error. Errors that end the connection are returned.
func (c *session) fail(err error, extended bool) error {
	if errors.Is(err, errAnswerLost) || errors.Is(err, errTerminate) {
		return err
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return cause
	}
	answer := asServerError(err)
	if answer.fatal {
		return answer
	}
	c.mu.Lock()
	c.tx.failed = c.tx.open
	c.mu.Unlock()
	c.skip = extended
	c.backend.Send(answer.response())
	return nil
}

// sync ends what Parse, Bind and Execute have begun.
func (c *session) sync() error {
	c.skip = false
	if err := c.endImplicit(); err != nil {
		if err := c.fail(err, false); err != nil {
			return err
		}
	}
	c.ready()
	return c.backend.Flush()
}

func (c *session) ready() {
	c.mu.Lock()
	defer c.mu.Unlock()
	status := byte('I')
	if c.tx.open {
		status = 'T'
	}
	if c.tx.failed {
		status = 'E'
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// endImplicit commits an implicit transaction, or rolls it back after an error.
func (c *session) endImplicit() error {
	c.mu.Lock()
	tx := c.tx
	c.mu.Unlock()
	switch {
	case !tx.implicit:
		return nil
	case tx.failed:
		c.rollback()
		return nil
	default:
		return c.commit(c.ctx, &parsed{})
	}
}

func (c *session) simpleQuery(text string) error {
	statements := parse(text)
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	if err := c.runAll(statements); err != nil {
		if err := c.fail(err, false); err != nil {
			return err
		}
	}
	c.ready()
	return c.backend.Flush()
}

// runAll runs the statements of one query string, several of them in an
// implicit transaction.
func (c *session) runAll(statements []parsed) error {
	implicit := len(statements) > 1 && c.mayWrap(statements)
	if implicit {
		c.begin(&parsed{})
	}
	for i := range statements {
		if err := c.runSimple(&statements[i]); err != nil {
			if implicit {
				c.rollback()
			}
			return err
		}
	}
	if implicit {
		return c.commit(c.ctx, &parsed{})
	}
	return nil
}

// mayWrap reports whether no transaction is open or controlled by the statements.
func (c *session) mayWrap(statements []parsed) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range statements {
		if p.kind == kindBegin || p.kind == kindCommit || p.kind == kindRollback || p.kind == kindSavepoint {
			return false
		}
	}
	return !c.tx.open
}

func (c *session) runSimple(p *parsed) error {
	if p.kind == kindCopy {
		return c.copy(p)
	}
	r, err := c.execute(p, nil)
	if err != nil {
		return err
	}
	if r.columns != nil {
		oids := r.oids()
		c.backend.Send(rowDescription(r.columns, oids, nil))
		c.sendRows(r.rows, oids, nil)
	}
	c.complete(p, r)
	return nil
}

// end ends the session from outside and rolls back its transaction.
func (c *session) end(cause *serverError) {
	c.cancel(cause)
	c.endOnce.Do(func() { close(c.ended) })
	c.abortWrite(cause)
}

// abortWrite makes an open write transaction of the session fail.
func (c *session) abortWrite(cause error) {
	c.mu.Lock()
	t := c.tx.write
	c.mu.Unlock()
	if t != nil {
		c.server.engine.abort(t, cause)
		c.server.locks.release(t)
	}
}
