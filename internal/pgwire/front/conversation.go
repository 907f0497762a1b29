package front

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

var (
	errIncompleteMessage = errors.New("the answer is not made of complete messages")
	rollbackTag          = []byte("ROLLBACK\x00")
)

// conversation implements statement.Conversation for one running request. SendResponse
// may be called while Next waits for COPY data; otherwise the Runner calls both
// from one goroutine at a time.
type conversation struct {
	caller *caller
	// transactionDeadline is the deadline of the whole request.
	transactionDeadline time.Time
	cancel              context.CancelCauseFunc
	// statementTimer cancels the request if the home does not complete the batch in
	// time.
	statementTimer *time.Timer

	// mu guards the caller's writer and the fields below.
	mu sync.Mutex
	// batch is the last batch that is not a chunk of COPY data.
	batch *batch
	// batchCount is the number of batches of the request so far.
	batchCount int
	// txStatus is the transaction status after the last completed batch.
	txStatus byte
	// readyWithheld is set when the final ReadyForQuery was withheld.
	readyWithheld bool
	// awaitsCopyData is set while the server waits for COPY data.
	awaitsCopyData bool
	// awaitsBatch is set while the home has no batch to run and waits for the
	// caller.
	awaitsBatch bool
	// serverFailed is set when the server returned an error to any batch.
	serverFailed bool
	// batchFailed is set when the server returned an error to the current batch.
	batchFailed bool
	// rolledBack is set when the last command was a ROLLBACK.
	rolledBack bool
	// settingsOnCommit are the settings that take effect when the transaction
	// commits.
	settingsOnCommit []statement.Setting
	watcher          disconnectWatcher
	// callerErr is the reason why the caller's connection ends; nil while it is in
	// use.
	callerErr error
}

func newConversation(c *caller, b *batch, cancel context.CancelCauseFunc) *conversation {
	limits := effectiveLimits(c.server.directory)
	conv := &conversation{
		caller:              c,
		batch:               b,
		batchCount:          1,
		cancel:              cancel,
		transactionDeadline: time.Now().Add(limits.TransactionTime),
		txStatus:            txIdle,
		settingsOnCommit:    c.settings.current,
	}
	conv.statementTimer = time.AfterFunc(limits.StatementTime+statementTimeoutMargin, func() { cancel(errStatementTimeout) })
	return conv
}

// connectionEnded reports whether the caller's connection is to be closed.
func (conv *conversation) connectionEnded() bool { return conv.callerErr != nil }

// awaitsSync reports whether the caller has yet to send the rest of a failed batch,
// up to Sync.
func (conv *conversation) awaitsSync() bool {
	return conv.batch.boundary == boundaryFlush || (conv.awaitsCopyData && conv.isExtendedCopy())
}

// SendResponse implements statement.Conversation. The final ReadyForQuery is withheld
// until the Runner has returned.
func (conv *conversation) SendResponse(_ context.Context, data []byte) error {
	conv.mu.Lock()
	defer conv.mu.Unlock()
	w := &conv.caller.writer
	start := 0
	for rest := data; len(rest) > 0; {
		message, after, ok := cutMessage(rest)
		if !ok {
			return errcode.Wrap(errIncompleteMessage, errcode.Internal, "answer", "")
		}
		offset := len(data) - len(rest)
		rest = after
		if conv.passesUnchanged(message[0]) {
			continue
		}
		w.write(data[start:offset])
		start = offset + len(message)
		if conv.process(message[0], message) {
			w.write(message)
		}
		conv.flushAfter(message[0])
	}
	w.write(data[start:])
	if w.err != nil {
		conv.callerErr = w.err
	}
	return w.err
}

// passesUnchanged reports whether messages of the type are forwarded without being
// parsed.
func (conv *conversation) passesUnchanged(messageType byte) bool {
	if conv.batch.rewriter.expected != nil {
		return false
	}
	switch messageType {
	case msgReady, msgError, msgCopyIn, msgCommandComplete:
		return false
	default:
		return true
	}
}

// process updates the state of the request from a message and reports whether it is
// forwarded to the caller.
func (conv *conversation) process(messageType byte, message []byte) bool {
	switch messageType {
	case msgReady:
		return conv.processReady(message)
	case msgError:
		conv.serverFailed = true
		conv.batchFailed = true
		conv.awaitsCopyData = false
	case msgCopyIn:
		conv.awaitsCopyData = true
	case msgCommandComplete:
		conv.awaitsCopyData = false
		conv.rolledBack = bytes.Equal(message[headerBytes:], rollbackTag)
		if conv.rolledBack {
			conv.settingsOnCommit = conv.caller.settings.current
		}
	}
	return conv.batch.rewriter.process(messageType, &conv.caller.writer)
}

func (conv *conversation) processReady(message []byte) bool {
	conv.caller.responseCompleted.Store(true)
	conv.txStatus = message[len(message)-1]
	conv.awaitsBatch = true
	conv.awaitsCopyData = false
	switch {
	case conv.txStatus == txIdle && conv.batchFailed:
		conv.settingsOnCommit = conv.caller.settings.current
	case !conv.batchFailed && !conv.rolledBack:
		conv.settingsOnCommit = conv.caller.settings.afterBatch(conv.settingsOnCommit, conv.batch)
	}
	if conv.txStatus == txIdle {
		conv.readyWithheld = true
		return false
	}
	conv.batch.rewriter.finish(&conv.caller.writer)
	conv.caller.txStatus = conv.txStatus
	if conv.batch.boundary == boundaryFlush {
		conv.caller.discardingUntilSync = conv.batchFailed
		return false
	}
	return true
}

// flushAfter flushes the writer after a message that the caller must receive before
// it sends more.
func (conv *conversation) flushAfter(messageType byte) {
	switch {
	case messageType == msgCopyIn, messageType == msgReady && !conv.readyWithheld:
		conv.caller.writer.flush()
	}
}

// Next implements statement.Conversation. Batches that need no server get a local
// response here and are not returned.
func (conv *conversation) Next(ctx context.Context) (*statement.Batch, error) {
	conv.stopWatch()
	inCopy, err := conv.beginWait()
	if err != nil {
		return nil, err
	}
	stop := conv.caller.interruptReadOn(ctx)
	defer stop()
	for {
		b, err := conv.readBatch(ctx, inCopy)
		if err != nil {
			return nil, conv.failWait(ctx, err)
		}
		if !inCopy && b.err == nil {
			b.err = conv.caller.checkHintsInTransaction(b)
		}
		if inCopy || !conv.caller.respondWithoutServer(b) {
			conv.startBatch(b)
			return &b.Batch, nil
		}
	}
}

// beginWait stops the statement timer and reports whether the server waits for COPY
// data.
func (conv *conversation) beginWait() (inCopy bool, err error) {
	conv.mu.Lock()
	defer conv.mu.Unlock()
	if conv.callerErr != nil {
		return false, conv.callerErr
	}
	conv.statementTimer.Stop()
	if conv.awaitsCopyData {
		conv.caller.fireEvent(sessionEventCopyIn)
	} else {
		conv.caller.fireEvent(sessionEventTransactionOpen)
	}
	return conv.awaitsCopyData, nil
}

// startBatch records that b is passed to the home and restarts the statement timer.
func (conv *conversation) startBatch(b *batch) {
	conv.mu.Lock()
	defer conv.mu.Unlock()
	if b.boundary != boundaryCopyData {
		conv.batch = b
		conv.batchCount++
		conv.batchFailed = false
		conv.rolledBack = false
	}
	conv.awaitsBatch = false
	conv.caller.responseCompleted.Store(false)
	remaining := time.Until(conv.transactionDeadline)
	conv.statementTimer.Reset(min(effectiveLimits(conv.caller.server.directory).StatementTime, remaining) + statementTimeoutMargin)
	conv.caller.fireEvent(sessionEventBatch)
}

// readBatch reads a batch, or a chunk of COPY data, during a running request.
func (conv *conversation) readBatch(ctx context.Context, inCopy bool) (*batch, error) {
	c := conv.caller
	for {
		if err := conv.waitForMessage(ctx); err != nil {
			return nil, err
		}
		messageType, message, err := c.readMessage()
		if err != nil {
			return nil, err
		}
		var done bool
		if inCopy {
			done, err = c.addCopyMessage(messageType, message, conv.isExtendedCopy())
		} else {
			done, err = c.addMessage(messageType, message)
		}
		if err != nil {
			return nil, err
		}
		if done {
			return c.takeBatch(), nil
		}
	}
}

// isExtendedCopy reports whether the COPY was started in the extended protocol.
func (conv *conversation) isExtendedCopy() bool { return len(conv.batch.extendedTypes) > 0 }

func (conv *conversation) waitForMessage(ctx context.Context) error {
	c := conv.caller
	if c.reader.buffered() {
		return nil
	}
	if c.batch == nil {
		c.releaseMemory()
	}
	deadline := time.Now().Add(effectiveLimits(c.server.directory).IdleInTransaction)
	if conv.transactionDeadline.Before(deadline) {
		deadline = conv.transactionDeadline
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return c.reader.waitForData()
}

// failWait returns the reason why waiting for the caller failed: the request was
// canceled, the caller exceeded a time limit, or the caller has disconnected. The
// latter two also end the connection.
func (conv *conversation) failWait(ctx context.Context, err error) error {
	conv.mu.Lock()
	defer conv.mu.Unlock()
	if b := conv.caller.batch; b != nil && b.boundary == boundaryCopyData {
		conv.caller.batch = nil
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	var coded *errcode.Error
	switch {
	case errors.As(err, &coded):
		conv.callerErr = coded
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(conv.transactionDeadline):
		conv.callerErr = errcode.Wrap(err, errcode.IdleTransaction, "next", conv.caller.user)
	case errors.Is(err, os.ErrDeadlineExceeded):
		conv.callerErr = errcode.Wrap(err, errcode.LimitExceeded, "transaction time", conv.caller.user)
	case errors.Is(err, io.ErrUnexpectedEOF):
		conv.callerErr = io.EOF
	default:
		conv.callerErr = err
	}
	return conv.callerErr
}
