package front

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/statechart"
)

// finalWriteTimeout bounds the write of the FATAL error that precedes the close of
// a connection.
const finalWriteTimeout = time.Second

// caller is the connection of one caller. Except for the fields under mu, it is
// owned by its goroutine. While a request runs, the Runner uses it through the
// conversation.
type caller struct {
	server  *Server
	conn    net.Conn
	reader  messageReader
	writer  responseWriter
	key     CancelKey
	user    string
	group   cluster.GroupName
	account Account

	session  session.Session
	settings sessionSettings
	named    namedStatements
	unnamed  *preparedStatement
	// startupOptions holds the options from the startup message.
	startupOptions options
	options        options
	// nextOrderID is the order id of the next request.
	nextOrderID string

	// batch is the batch that is being read; nil between batches.
	batch           *batch
	maxMessageBytes int
	// reservedBytes is the caller's share of the server's memory budget.
	reservedBytes int64
	// discardingUntilSync is set after an error in the extended protocol until the
	// next Sync.
	discardingUntilSync bool
	// txStatus is the transaction status that the caller was last sent.
	txStatus byte
	// lostErr is the error that ended a transaction while the caller was idle. It
	// is nil once the caller has received it.
	lostErr error

	// mu prevents a drain from interrupting a caller that has just become busy.
	mu    sync.Mutex
	state statechart.Machine
	// revoked is set when the caller's account no longer exists.
	revoked atomic.Bool
	// cancel cancels the running request; nil if none runs.
	cancel context.CancelCauseFunc
	// responseCompleted is set before the last message of a batch's response is
	// sent. From then on, a cancel request has no effect.
	responseCompleted atomic.Bool
}

// serve runs the caller's requests until the connection ends.
func (c *caller) serve() {
	err := c.serveRequests()
	c.fireEvent(sessionEventClosed)
	c.reader.releaseBuffer()
	c.releaseMemory()
	if err == nil || errors.Is(err, io.EOF) {
		return
	}
	eventCallerFailed.Log(&c.server.logger).Str("user", c.user).
		Str("group", string(c.group)).Err(err).Send()
	var coded *errcode.Error
	if errors.As(err, &coded) {
		c.writer.timeout = min(c.writer.timeout, finalWriteTimeout)
		c.writer.writeMessage(errorResponse(coded, severityFatal, ""))
		c.writer.flush()
	}
}

// serveRequests returns the reason why the connection ends: io.EOF if the caller
// has disconnected, an *errcode.Error if the caller is to be sent an error.
func (c *caller) serveRequests() error {
	c.fireEvent(sessionEventAuthenticated)
	for {
		b, err := c.readBatch()
		if err != nil {
			return err
		}
		if err := c.handleBatch(b); err != nil {
			return err
		}
		if c.writer.err != nil {
			return c.writer.err
		}
	}
}

// readBatch reads a batch while no request is running.
func (c *caller) readBatch() (*batch, error) {
	c.maxMessageBytes = effectiveLimits(c.server.directory).MessageBytes
	for {
		if err := c.waitForMessage(); err != nil {
			return nil, err
		}
		messageType, message, err := c.readMessage()
		if err != nil {
			return nil, err
		}
		done, err := c.addMessage(messageType, message)
		if err != nil {
			return nil, err
		}
		if done {
			return c.takeBatch(), nil
		}
	}
}

// waitForMessage waits for the first byte of the next message. It returns an error
// if the server is draining and no message is in transit.
func (c *caller) waitForMessage() error {
	if c.reader.buffered() {
		return c.checkRevoked()
	}
	if c.batch == nil {
		c.reader.releaseBuffer()
		c.releaseMemory()
	}
	if err := c.conn.SetReadDeadline(time.Time{}); err != nil {
		return err
	}
	if c.server.draining.Load() {
		c.interruptIfIdle()
	}
	if err := c.checkRevoked(); err != nil {
		return err
	}
	err := c.reader.waitForData()
	if revoked := c.checkRevoked(); revoked != nil {
		return revoked
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.server.draining.Load() {
		return errcode.New(errcode.Draining, "idle", "")
	}
	return err
}

// readMessage reads a message whose first byte has arrived.
func (c *caller) readMessage() (byte, []byte, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(c.server.config.MessageTimeout)); err != nil {
		return 0, nil, err
	}
	messageType, message, err := c.reader.readMessage(c.maxMessageBytes)
	switch {
	case errors.Is(err, errOversize):
		err = errcode.Wrap(err, errcode.LimitExceeded, "read", "")
	case errors.Is(err, errMalformed), errors.Is(err, os.ErrDeadlineExceeded):
		err = errcode.Wrap(err, errcode.Protocol, "read", "")
	}
	return messageType, message, err
}

// takeBatch returns the complete batch and prepares the caller for the next one.
func (c *caller) takeBatch() *batch {
	b := c.batch
	c.batch = nil
	if b.boundary != boundaryCopyData {
		b.classify()
		b.rewriter.simplify()
		b.rewriter.preparing = len(b.Prepared) > 0
	}
	return b
}

// handleBatch handles a batch that was read while no request was running.
func (c *caller) handleBatch(b *batch) error {
	switch {
	case c.txStatus != txIdle:
		c.respondInLostTransaction(b)
		return nil
	case c.respondWithoutServer(b):
		return nil
	default:
		return c.runRequest(b)
	}
}

// respondWithoutServer responds to a batch that needs no server. It returns false if the
// batch needs one.
func (c *caller) respondWithoutServer(b *batch) bool {
	switch {
	case b.err != nil:
		c.refuseBatch(b, b.err)
		return true
	case b.serverMessages == 0 && len(b.Prepared) == 0:
		c.respondToLocalBatch(b)
		return true
	default:
		return false
	}
}

// sendReady sends ReadyForQuery.
func (c *caller) sendReady(txStatus byte) {
	c.txStatus = txStatus
	message := [...]byte{msgReady, 0, 0, 0, headerBytes, txStatus}
	c.writer.write(message[:])
	c.writer.flush()
}

// fireEvent applies an event to the state of the session.
func (c *caller) fireEvent(event string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, _, err := c.state.Fire(event); err != nil {
		eventBadTransition.Log(&c.server.logger).Err(err).Send()
	}
}

// interruptIfIdle ends the wait of a caller without a running request or open
// transaction, after a grace period for requests in transit.
func (c *caller) interruptIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isInterruptible(c.state.Current()) {
		_ = c.conn.SetReadDeadline(time.Now().Add(drainGracePeriod))
	}
}

// interrupt disconnects the caller. A caller with a running request or an open
// transaction has drainGracePeriod to receive its error.
func (c *caller) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isInterruptible(c.state.Current()) {
		_ = c.conn.SetReadDeadline(time.Now())
		return
	}
	_ = c.conn.SetDeadline(time.Now().Add(drainGracePeriod))
}

func (c *caller) setCancel(cancel context.CancelCauseFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
}

// cancelRunning cancels the running request. It has no effect on a caller in a
// transaction without a running statement, as in PostgreSQL.
func (c *caller) cancelRunning(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil && c.state.In(stateRunning) && !c.responseCompleted.Load() {
		c.cancel(cause)
	}
}

// interruptReadOn interrupts a read when ctx ends. The returned function must be
// called before the next deadline is set.
func (c *caller) interruptReadOn(ctx context.Context) (stop func()) {
	done := make(chan struct{})
	cancel := context.AfterFunc(ctx, func() {
		defer close(done)
		_ = c.conn.SetReadDeadline(time.Now())
	})
	return func() {
		if !cancel() {
			<-done
		}
	}
}
