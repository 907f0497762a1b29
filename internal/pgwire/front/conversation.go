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
	errBrokenAnswer = errors.New("the answer is not made of complete messages")
	rollbackTag     = []byte("ROLLBACK\x00")
)

// conversation is the caller's side of one running request. Answer may be
// called while Next waits for the data of a COPY; otherwise the Runner calls it
// from one goroutine at a time.
type conversation struct {
	caller *caller
	// transactionEnd bounds the whole request.
	transactionEnd time.Time
	cancel         context.CancelCauseFunc
	// timer cancels a request that the home did not end in time.
	timer *time.Timer

	// mu guards the caller's writer and what follows.
	mu sync.Mutex
	// batch is the last batch that is not a piece of a COPY.
	batch *batch
	// batches counts the batches of the request.
	batches int
	// tx is the transaction state after the last completed batch.
	tx byte
	// held is set when the final ReadyForQuery was kept back.
	held bool
	// copying is set while the server waits for the data of a COPY.
	copying bool
	// waiting is set while no batch is at the home.
	waiting bool
	// failed is set when the server answered an error.
	failed bool
	// batchFailed is set when the server answered an error to the running batch.
	batchFailed bool
	// rolledBack is set when the last command was a ROLLBACK.
	rolledBack bool
	// settings are in force once the transaction commits.
	settings []statement.Setting
	watch    watcher
	// err is why the connection of the caller ends.
	err error
}

func newConversation(c *caller, b *batch, cancel context.CancelCauseFunc) *conversation {
	l := effectiveLimits(c.server.directory)
	v := &conversation{
		caller:         c,
		batch:          b,
		batches:        1,
		cancel:         cancel,
		transactionEnd: time.Now().Add(l.TransactionTime),
		tx:             txIdle,
		settings:       c.settings.current,
	}
	v.timer = time.AfterFunc(l.StatementTime+statementMargin, func() { cancel(errStatementTime) })
	return v
}

// left reports whether the caller's connection is at its end.
func (v *conversation) left() bool { return v.err != nil }

// awaitsSync reports whether the caller still sends the rest of a batch that
// has failed.
func (v *conversation) awaitsSync() bool {
	return v.batch.boundary == boundaryFlush || (v.copying && v.extendedCopy())
}

// Answer implements statement.Conversation. The final ReadyForQuery is kept
// back until the Runner returns.
func (v *conversation) Answer(_ context.Context, data []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := &v.caller.writer
	start := 0
	for rest := data; len(rest) > 0; {
		message, after, ok := cutMessage(rest)
		if !ok {
			return errcode.Wrap(errBrokenAnswer, errcode.Internal, "answer", "")
		}
		at := len(data) - len(rest)
		rest = after
		if v.plain(message[0]) {
			continue
		}
		w.write(data[start:at])
		start = at + len(message)
		if v.take(message[0], message) {
			w.write(message)
		}
		v.flushAfter(message[0])
	}
	w.write(data[start:])
	if w.err != nil {
		v.err = w.err
	}
	return w.err
}

// plain reports whether a message needs no look at its content.
func (v *conversation) plain(kind byte) bool {
	if v.batch.responses.expected != nil {
		return false
	}
	switch kind {
	case msgReady, msgError, msgCopyIn, msgCommandComplete:
		return false
	default:
		return true
	}
}

// take follows the state of the request through one message and reports
// whether the caller gets it.
func (v *conversation) take(kind byte, message []byte) bool {
	switch kind {
	case msgReady:
		return v.takeReady(message)
	case msgError:
		v.failed = true
		v.batchFailed = true
		v.copying = false
	case msgCopyIn:
		v.copying = true
	case msgCommandComplete:
		v.copying = false
		v.rolledBack = bytes.Equal(message[headerBytes:], rollbackTag)
		if v.rolledBack {
			v.settings = v.caller.settings.current
		}
	}
	return v.batch.responses.process(kind, &v.caller.writer)
}

func (v *conversation) takeReady(message []byte) bool {
	v.caller.answered.Store(true)
	v.tx = message[len(message)-1]
	v.waiting = true
	v.copying = false
	switch {
	case v.tx == txIdle && v.batchFailed:
		v.settings = v.caller.settings.current
	case !v.batchFailed && !v.rolledBack:
		v.settings = v.caller.settings.afterBatch(v.settings, v.batch)
	}
	if v.tx == txIdle {
		v.held = true
		return false
	}
	v.batch.responses.finish(&v.caller.writer)
	v.caller.tx = v.tx
	if v.batch.boundary == boundaryFlush {
		v.caller.discarding = v.batchFailed
		return false
	}
	return true
}

// flushAfter sends what the caller waits for.
func (v *conversation) flushAfter(kind byte) {
	switch {
	case kind == msgCopyIn, kind == msgReady && !v.held:
		v.caller.writer.flush()
	}
}

// Next implements statement.Conversation. It answers batches that need no
// server itself.
func (v *conversation) Next(ctx context.Context) (*statement.Batch, error) {
	v.stopWatch()
	copying, err := v.beginWait()
	if err != nil {
		return nil, err
	}
	stop := v.caller.interruptOn(ctx)
	defer stop()
	for {
		b, err := v.nextBatch(ctx, copying)
		if err != nil {
			return nil, v.leave(ctx, err)
		}
		if !copying && b.err == nil {
			b.err = v.caller.checkHintsInTransaction(b)
		}
		if copying || !v.caller.answerHere(b) {
			v.start(b)
			return &b.Batch, nil
		}
	}
}

// beginWait reports whether the caller owes the data of a COPY.
func (v *conversation) beginWait() (copying bool, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.err != nil {
		return false, v.err
	}
	v.timer.Stop()
	if v.copying {
		v.caller.fire(signalCopyIn)
	} else {
		v.caller.fire(signalTransactionOpen)
	}
	return v.copying, nil
}

// start notes that b is at the home now.
func (v *conversation) start(b *batch) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if b.boundary != boundaryCopyData {
		v.batch = b
		v.batches++
		v.batchFailed = false
		v.rolledBack = false
	}
	v.waiting = false
	v.caller.answered.Store(false)
	remaining := time.Until(v.transactionEnd)
	v.timer.Reset(min(effectiveLimits(v.caller.server.directory).StatementTime, remaining) + statementMargin)
	v.caller.fire(signalBatch)
}

// nextBatch collects a batch, or a piece of a COPY, inside a running request.
func (v *conversation) nextBatch(ctx context.Context, copying bool) (*batch, error) {
	c := v.caller
	for {
		if err := v.awaitMessage(ctx); err != nil {
			return nil, err
		}
		kind, message, err := c.read()
		if err != nil {
			return nil, err
		}
		var done bool
		if copying {
			done, err = c.addCopyMessage(kind, message, v.extendedCopy())
		} else {
			done, err = c.addMessage(kind, message)
		}
		if err != nil {
			return nil, err
		}
		if done {
			return c.finished(), nil
		}
	}
}

// extendedCopy reports whether the COPY began in the extended protocol.
func (v *conversation) extendedCopy() bool { return len(v.batch.extended) > 0 }

func (v *conversation) awaitMessage(ctx context.Context) error {
	c := v.caller
	if c.reader.buffered() {
		return nil
	}
	if c.batch == nil {
		c.release()
	}
	end := time.Now().Add(effectiveLimits(c.server.directory).IdleInTransaction)
	if v.transactionEnd.Before(end) {
		end = v.transactionEnd
	}
	if err := c.conn.SetReadDeadline(end); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return c.reader.waitForByte()
}

// leave decides what a failed wait means: the request was cancelled, the
// caller took too long, or the caller left.
func (v *conversation) leave(ctx context.Context, err error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if b := v.caller.batch; b != nil && b.boundary == boundaryCopyData {
		v.caller.batch = nil
	}
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	var coded *errcode.Error
	switch {
	case errors.As(err, &coded):
		v.err = coded
	case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(v.transactionEnd):
		v.err = errcode.Wrap(err, errcode.IdleTransaction, "next", v.caller.user)
	case errors.Is(err, os.ErrDeadlineExceeded):
		v.err = errcode.Wrap(err, errcode.LimitExceeded, "transaction time", v.caller.user)
	case errors.Is(err, io.ErrUnexpectedEOF):
		v.err = io.EOF
	default:
		v.err = err
	}
	return v.err
}
