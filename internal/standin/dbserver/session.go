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
	errStalled          = errors.New("connection stalled by an injected fault")
	errDown             = errors.New("server is down by an injected fault")
	errResponseDropped  = errors.New("response dropped by an injected fault")
	errClientTerminated = errors.New("client closed the connection")
	errCanceled         = newError("57014", "canceling statement due to user request")
)

// session is a client connection. It is served by its own goroutine; other
// goroutines only cancel or terminate it, or abort its transaction.
type session struct {
	server      *Server
	conn        net.Conn
	backend     *pgproto3.Backend
	processID   uint32
	secretKey   uint32
	control     bool
	replication bool
	epoch       cluster.Epoch

	ctx    context.Context
	cancel context.CancelCauseFunc
	// terminated is closed when the server terminates the session.
	terminated    chan struct{}
	terminateOnce sync.Once

	settings map[string]string
	prepared map[string]*preparedStatement
	portals  map[string]*portal
	// skipUntilSync is set by an error in the extended protocol and makes the
	// session ignore messages up to the next Sync.
	skipUntilSync bool

	mu sync.Mutex
	// cancelStatement cancels the running statement.
	cancelStatement context.CancelCauseFunc
	tx              transactionState
}

// transactionState is the state of the session's transaction.
type transactionState struct {
	open bool
	// implicit means that the next Sync ends the transaction.
	implicit bool
	failed   bool
	readOnly bool
	// writeTx is the write transaction; it is nil before the first write.
	writeTx *transaction
}

func (s *Server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(s.ctx)
	defer cancel(nil)
	c := &session{
		server: s, conn: conn, backend: pgproto3.NewBackend(conn, conn), ctx: ctx, cancel: cancel, terminated: make(chan struct{}),
		settings: map[string]string{}, prepared: map[string]*preparedStatement{}, portals: map[string]*portal{},
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	if !c.negotiateStartup() {
		return
	}
	err := c.serveMessages()
	c.rollback()
	s.unregister(c)
	if errors.Is(err, errStalled) {
		// Leave the connection open, so that the client does not notice.
		<-s.ctx.Done()
		return
	}
	c.sendTerminationError(err)
}

// sendTerminationError sends the client the reason if the server closes the
// connection.
func (c *session) sendTerminationError(err error) {
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

// serveMessages handles messages until the connection ends.
func (c *session) serveMessages() error {
	for {
		m, err := c.backend.Receive()
		if c.ctx.Err() != nil {
			err = context.Cause(c.ctx)
		}
		if err != nil {
			c.holdWhileStalled(err)
			return err
		}
		if c.waitWhileHung() {
			return c.ctx.Err()
		}
		if err := c.handleMessage(m); err != nil {
			c.holdWhileStalled(err)
			return err
		}
	}
}

// holdWhileStalled keeps a stalled session, with its transaction, until the
// server terminates it.
func (c *session) holdWhileStalled(err error) {
	if !errors.Is(err, errStalled) {
		return
	}
	select {
	case <-c.terminated:
	case <-c.server.ctx.Done():
	}
}

// waitWhileHung waits while the hang fault is set. It reports whether the
// connection ended in the meantime.
func (c *session) waitWhileHung() bool {
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

// handleMessage handles one message. It returns only errors that end the
// connection; others are sent to the client.
func (c *session) handleMessage(m pgproto3.FrontendMessage) error {
	if _, ok := m.(*pgproto3.Terminate); ok {
		return errClientTerminated
	}
	if _, ok := m.(*pgproto3.Sync); ok {
		return c.handleSync()
	}
	if q, ok := m.(*pgproto3.Query); ok {
		return c.handleQuery(q.String)
	}
	if c.skipUntilSync {
		return nil
	}
	err := c.handleExtended(m)
	if err == nil {
		return nil
	}
	return c.handleError(err, true)
}

// handleError sends err to the client and marks the transaction as failed.
// Errors that end the connection are returned instead.
func (c *session) handleError(err error, extended bool) error {
	if errors.Is(err, errResponseDropped) || errors.Is(err, errClientTerminated) {
		return err
	}
	if cause := context.Cause(c.ctx); cause != nil {
		return cause
	}
	response := asServerError(err)
	if response.fatal {
		return response
	}
	c.mu.Lock()
	c.tx.failed = c.tx.open
	c.mu.Unlock()
	c.skipUntilSync = extended
	c.backend.Send(response.response())
	return nil
}

// handleSync ends an implicit transaction and reports that the session is ready.
func (c *session) handleSync() error {
	c.skipUntilSync = false
	if err := c.endImplicit(); err != nil {
		if err := c.handleError(err, false); err != nil {
			return err
		}
	}
	c.sendReadyForQuery()
	return c.backend.Flush()
}

func (c *session) sendReadyForQuery() {
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

// endImplicit commits an implicit transaction or, if it failed, rolls it back.
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
		return c.commit(c.ctx, &parsedStatement{})
	}
}

func (c *session) handleQuery(text string) error {
	statements := parse(text)
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	if err := c.runStatements(statements); err != nil {
		if err := c.handleError(err, false); err != nil {
			return err
		}
	}
	c.sendReadyForQuery()
	return c.backend.Flush()
}

// runStatements runs the statements of one query string. Multiple statements run
// in an implicit transaction.
func (c *session) runStatements(statements []parsedStatement) error {
	implicit := len(statements) > 1 && c.canStartImplicit(statements)
	if implicit {
		c.begin(&parsedStatement{})
	}
	for i := range statements {
		if err := c.runStatement(&statements[i]); err != nil {
			if implicit {
				c.rollback()
			}
			return err
		}
	}
	if implicit {
		return c.commit(c.ctx, &parsedStatement{})
	}
	return nil
}

// canStartImplicit reports whether no transaction is open and none of the
// statements controls transactions.
func (c *session) canStartImplicit(statements []parsedStatement) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range statements {
		if p.kind == kindBegin || p.kind == kindCommit || p.kind == kindRollback || p.kind == kindSavepoint {
			return false
		}
	}
	return !c.tx.open
}

func (c *session) runStatement(p *parsedStatement) error {
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
	c.sendCommandComplete(p, r)
	return nil
}

// terminate closes the session with cause and aborts its transaction. It is
// called by other goroutines.
func (c *session) terminate(cause *serverError) {
	c.cancel(cause)
	c.terminateOnce.Do(func() { close(c.terminated) })
	c.abortWrite(cause)
}

// abortWrite aborts the session's write transaction, if any, with cause.
func (c *session) abortWrite(cause error) {
	c.mu.Lock()
	t := c.tx.writeTx
	c.mu.Unlock()
	if t != nil {
		c.server.engine.abort(t, cause)
		c.server.locks.release(t)
	}
}
