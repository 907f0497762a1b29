package back

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// relay forwards the response to one batch to the conversation and records the
// outcome.
type relay struct {
	ctx  context.Context
	conn *Conn
	x    *backend.Exchange
	conv statement.Conversation

	buf       []byte
	bufferAll bool
	// prefix holds the messages that the adapter sent before the batch; the responses
	// to them are not forwarded.
	prefix prefix
	// beforeExecution is set until a message arrives that shows that the batch is being
	// executed.
	beforeExecution       bool
	beforeFirstByteCalled bool
	readOnlyRefused       bool
	wasInTransaction      bool
	// sqlState is the SQLSTATE of the first error, commandTag the last command tag.
	sqlState   string
	commandTag string
	committed  bool
	// commitsOrder is set if the adapter commits the batch itself, commitSent once it
	// may have sent the COMMIT.
	commitsOrder bool
	commitSent   bool
	// readyReceived is set once ReadyForQuery has arrived.
	readyReceived bool
	// abortErr is the error of a callback or of the conversation that ended the exchange.
	abortErr error

	copyFeed       sync.WaitGroup
	cancelCopyFeed context.CancelFunc
}

func newRelay(ctx context.Context, c *Conn, x *backend.Exchange, conv statement.Conversation) *relay {
	return &relay{
		ctx: ctx, conn: c, x: x, conv: conv, bufferAll: x.BufferResponse, beforeExecution: true,
		wasInTransaction: c.proto.txStatus != 'I', cancelCopyFeed: func() {},
	}
}

// batchSegment returns the batch, preceded by definitions of the prepared
// statements that the connection lacks.
func (r *relay) batchSegment() segment {
	r.prefix = r.conn.prepared.definitionsFor(r.x.Batch.Prepared)
	if !r.conn.cannotWrite(r.x.Batch) {
		r.conn.mayHaveWritten = true
	}
	return segment{data: slices.Concat(r.prefix.data, r.x.Batch.Messages), handle: r.handle}
}

func (r *relay) handle(kind byte, frame []byte) error {
	if r.prefix.consume(kind) {
		return nil
	}
	switch kind {
	case typeError:
		if err := r.handleError(frame); err != nil {
			return err
		}
	case typeCommandComplete:
		r.handleTag(decodeTag(frame))
	case typeReady:
		r.readyReceived = true
		r.stopCopyFeed()
		if !r.commitsOrder {
			r.notifyBatchEnd()
		}
	}
	r.beforeExecution = r.beforeExecution && precedesExecution(kind)
	if r.readOnlyRefused {
		return nil
	}
	r.buf = append(r.buf, frame...)
	if len(r.buf) > maxBufferedResponse {
		return errTooLarge
	}
	if kind == typeCopyIn {
		return r.startCopyFeed()
	}
	flushDue := len(r.buf) >= forwardThreshold || r.conn.proto.bufferEmpty() || kind == typeReady
	if r.bufferAll || r.beforeExecution || !flushDue {
		return nil
	}
	return r.forward()
}

func precedesExecution(kind byte) bool {
	switch kind {
	case typeParseComplete, typeBindComplete, typeCloseComplete, typeNoData, typeParamDesc,
		typeRowDescription, typeNotice, typeParameterStatus:
		return true
	default:
		return false
	}
}

func (r *relay) handleError(frame []byte) error {
	e := decodeError(frame)
	if e.fatal() {
		return e
	}
	if r.sqlState != "" {
		return nil
	}
	r.sqlState = e.Code
	if r.beforeExecution && e.Code == SQLStateReadOnly && r.x.Batch.Class == statement.ClassRead {
		r.readOnlyRefused = true
		r.buf = nil
	}
	return nil
}

// handleTag tracks commands that change the session state.
func (r *relay) handleTag(tag string) {
	r.commandTag = tag
	switch {
	case tag == "COMMIT":
		r.committed = true
	case tag == "DISCARD ALL":
		r.conn.clearSessionState()
	case strings.HasPrefix(tag, "DEALLOCATE"):
		r.conn.prepared.clear()
	case tag == "SET" || tag == "RESET":
		r.conn.settingsUnknown = true
	}
}

// forward passes the buffered bytes to the conversation.
func (r *relay) forward() error {
	if len(r.buf) == 0 {
		return nil
	}
	if !r.beforeFirstByteCalled {
		r.beforeFirstByteCalled = true
		if r.x.BeforeFirstByte != nil {
			if err := r.x.BeforeFirstByte(r.ctx); err != nil {
				return r.abort(err)
			}
		}
	}
	if err := r.conv.SendResponse(r.ctx, r.buf); err != nil {
		return r.abort(err)
	}
	r.buf = r.buf[:0]
	return nil
}

// abort records an error of the caller's side as the result of the exchange.
func (r *relay) abort(err error) error {
	r.abortErr = err
	return err
}

// finish completes the exchange and forwards the rest of the response.
func (r *relay) finish(position *queryResponse) (backend.Result, error) {
	result := backend.Result{Tx: r.conn.txStatus(), SQLState: r.sqlState, ReadOnlyRefused: r.readOnlyRefused, Committed: r.hasCommitted()}
	if result.Tx == backend.TxIdle && position.err == nil && len(position.rows) == 1 {
		result.Position = parsePosition(position.rows[0])
	}
	return result, r.flush(result)
}

// notifyBatchEnd reports that the server has ended the batch.
func (r *relay) notifyBatchEnd() {
	if r.x.OnBatchEnd != nil {
		r.x.OnBatchEnd()
	}
}

// flush forwards the buffered response unless BeforeFlush returns an error.
func (r *relay) flush(result backend.Result) error {
	r.notifyBatchEnd()
	if r.readOnlyRefused {
		return nil
	}
	err := r.callBeforeFlush(result)
	if err == nil {
		err = r.forward()
	}
	if err == nil {
		return nil
	}
	_ = r.conn.proto.close()
	return err
}

func (r *relay) callBeforeFlush(result backend.Result) error {
	if !r.x.BufferResponse || r.x.BeforeFlush == nil {
		return nil
	}
	return r.x.BeforeFlush(r.ctx, result)
}

// hasCommitted reports whether the exchange committed a transaction that may have
// written.
func (r *relay) hasCommitted() bool {
	switch {
	case r.conn.proto.txStatus != 'I' || !r.conn.mayHaveWritten || r.readOnlyRefused:
		return false
	case r.sqlState != "":
		return r.committed
	default:
		return r.commandTag != "ROLLBACK"
	}
}

// mayHaveCommitted reports whether a batch whose response was not received in full
// may have taken effect.
func (r *relay) mayHaveCommitted() bool {
	b := r.x.Batch
	if r.commitsOrder {
		return r.commitSent
	}
	if r.readyReceived && r.sqlState != "" && !r.committed {
		return false
	}
	if r.conn.cannotWrite(b) && !r.conn.mayHaveWritten {
		return false
	}
	inTransaction := r.wasInTransaction || b.Class == statement.ClassBegin
	return !inTransaction || mayCommit(b)
}

// newError returns the error for a response that cannot be delivered although the
// connection is usable.
func (r *relay) newError(code errcode.Code, step string) error {
	return errcode.New(code, step, string(r.conn.proto.server.ID))
}
