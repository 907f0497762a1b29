package back

import (
	"context"
	"errors"
	"hash"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statechart"
	"github.com/rattancove/rattancove/internal/statement"
)

var tracer = otel.Tracer("rattancove/back")

// Conn is a data connection. Only Cancel, Sent and Close may be called
// concurrently with another call.
type Conn struct {
	proto    *protocolConn
	state    statechart.Machine
	prepared *preparedSet
	settings []statement.Setting
	// settingsUnknown is set if a batch has changed settings with its own SET or RESET.
	settingsUnknown bool
	sent            atomic.Bool
	cancelTracker   cancelTracker
	// mayHaveWritten is set if the open transaction may have written, readOnly if it
	// was begun as a read-only transaction.
	mayHaveWritten bool
	readOnly       bool
	// digest is the running digest of the batches in the open transaction.
	digest hash.Hash
}

var _ backend.Conn = (*Conn)(nil)

func newConn(p *protocolConn, maxPrepared int) *Conn {
	c := &Conn{proto: p, prepared: newPreparedSet(maxPrepared)}
	c.state.Init(connectionChart)
	return c
}

// Exchange runs one batch. Errors reported by the server are forwarded to conv
// and are not returned.
//
// Three kinds of batch may carry an order ID: a batch without transaction
// commands, which is recorded with its response; the COMMIT of an open
// transaction, which is recorded with the response to a successful COMMIT; and
// any other batch of an open transaction, including its BEGIN, which runs
// unchanged. Other batches with an order ID are refused before anything is
// sent. A batch that only prepares or describes is never recorded.
func (c *Conn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	c.sent.Store(false)
	if x.Batch.Class == statement.ClassCopyData {
		return backend.Result{Tx: c.txStatus()}, nil
	}
	if err := c.beginOperation(eventExchange); err != nil {
		return backend.Result{}, errcode.Wrap(err, errcode.ConnectionLost, "start exchange", string(c.proto.server.ID))
	}
	defer c.endOperation()
	c.cancelTracker.beginExchange()
	defer c.cancelTracker.endExchange()
	exchangesTotal.Inc()
	start := time.Now()
	ctx, span := tracer.Start(ctx, "backend exchange", trace.WithAttributes(
		attribute.String("server", string(c.proto.server.ID)), attribute.Int("class", int(x.Batch.Class)),
	))
	defer span.End()
	result, err := c.exchange(ctx, x, conv)
	exchangeSeconds.UpdateDuration(start)
	if err != nil {
		exchangeErrors.Inc()
		span.SetStatus(codes.Error, err.Error())
	}
	return result, err
}

func (c *Conn) exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if ctx.Err() != nil {
		return backend.Result{}, c.closeWithError(ctx.Err(), errcode.DeadlinePassed, "start exchange")
	}
	if err := c.absorbPendingCancel(ctx); err != nil {
		return backend.Result{}, c.closeWithError(err, errcode.ConnectionLost, "absorb cancel")
	}
	if err := c.proto.checkIdle(); err != nil {
		return backend.Result{}, c.closeWithError(err, unsentErrorCode(err), "check connection")
	}
	inTransaction := c.proto.txStatus != 'I'
	if !inTransaction {
		c.mayHaveWritten = false
		c.readOnly = x.Batch.Class == statement.ClassBeginReadOnly
		c.digest = nil
	}
	r := newRelay(ctx, c, x, conv)
	if !inTransaction {
		settingErr, err := c.applySettings(ctx, x.Settings)
		if err != nil {
			return backend.Result{}, err
		}
		if settingErr != nil {
			r.replaceWithError(settingErr)
			return r.finish(&queryResponse{})
		}
	}
	if !c.cannotWrite(x.Batch) {
		c.digest = addToDigest(c.digest, x.Batch)
	}
	recordsOrder := x.OrderID != "" && executes(x.Batch.Messages) && !c.cannotWrite(x.Batch)
	if !recordsOrder || c.proto.txStatus == 'E' {
		return c.runBatch(ctx, x, r)
	}
	commands := txCommandsOf(x.Batch)
	switch {
	case inTransaction && commands.commits:
		return c.commitWithOrder(ctx, x, r)
	case inTransaction, commands.begins && !commands.commits && !commands.aborts:
		return c.runBatch(ctx, x, r)
	case commands != txCommands{}:
		return backend.Result{}, r.newError(errcode.OrderShape, "record order")
	default:
		return c.runOrder(ctx, x, r)
	}
}

// cannotWrite reports whether the batch cannot write in the current transaction.
func (c *Conn) cannotWrite(b *statement.Batch) bool { return c.readOnly || b.Class.ReadOnly() }

// runBatch runs a batch without recording an order.
func (c *Conn) runBatch(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	var position queryResponse
	segments := []segment{r.batchSegment()}
	pipelined := x.WantPosition && canPipelinePosition(x.Batch, r.wasInTransaction)
	if pipelined {
		segments = append(segments, position.segment(positionQuery))
	}
	if err := c.runSegments(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	if x.WantPosition && !pipelined && c.proto.txStatus == 'I' {
		if err := c.runSegments(ctx, r, position.segment(positionQuery)); err != nil {
			return backend.Result{}, err
		}
	}
	return r.finish(&position)
}

// runSegments sends segments and reads the responses. The error carries the
// outcome of the exchange.
func (c *Conn) runSegments(ctx context.Context, r *relay, segments ...segment) error {
	c.sent.Store(true)
	err := c.proto.pipeline(ctx, segments...)
	r.stopCopyFeed()
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	_ = c.proto.close()
	return c.exchangeError(ctx, err, r)
}

// exchangeError logs the failure of an exchange and wraps it with the error code
// that follows from what the server may have executed.
func (c *Conn) exchangeError(ctx context.Context, err error, r *relay) error {
	if r.abortErr != nil {
		return r.abortErr
	}
	eventConnectionBroken.Log(&c.proto.cfg.Log).Str("server", string(c.proto.server.ID)).Err(err).Send()
	var serverErr *ServerError
	superseded := errors.As(err, &serverErr) && serverErr.Code == SQLStateSuperseded && r.commandTag == ""
	switch {
	case superseded:
		return c.closeWithError(err, errcode.Superseded, "exchange")
	case r.mayHaveCommitted():
		return c.closeWithError(err, errcode.Unknown, "exchange")
	case ctx.Err() != nil:
		return c.closeWithError(err, errcode.DeadlinePassed, "exchange")
	default:
		return c.closeWithError(err, errcode.ConnectionLost, "exchange")
	}
}

// closeWithError closes the connection and wraps err with code.
func (c *Conn) closeWithError(err error, code errcode.Code, step string) error {
	_ = c.proto.close()
	return wrapError(err, code, step, c.proto.server)
}

func (c *Conn) txStatus() backend.TxStatus {
	switch c.proto.txStatus {
	case 'T':
		return backend.TxOpen
	case 'E':
		return backend.TxFailed
	default:
		return backend.TxIdle
	}
}

// Reset rolls back an open transaction and returns the session to its initial
// state.
func (c *Conn) Reset(ctx context.Context) error {
	if err := c.beginOperation(eventReset); err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, "start reset", string(c.proto.server.ID))
	}
	defer c.endOperation()
	if err := c.proto.checkIdle(); err != nil {
		return c.closeWithError(err, unsentErrorCode(err), "reset")
	}
	var rolledBack, discarded queryResponse
	segments := []segment{discarded.segment(query("DISCARD ALL"))}
	if c.proto.txStatus != 'I' {
		segments = append([]segment{rolledBack.segment(query("ROLLBACK"))}, segments...)
	}
	err := c.proto.pipeline(ctx, segments...)
	if err == nil {
		err = discarded.serverError()
	}
	if err != nil {
		return c.closeWithError(err, errcode.ConnectionLost, "reset")
	}
	c.clearSessionState()
	return nil
}

// clearSessionState clears the record of prepared statements and settings after
// the server has discarded them.
func (c *Conn) clearSessionState() {
	c.prepared.clear()
	c.settings, c.settingsUnknown = nil, false
}

// Sent reports whether any byte of the last exchange's batch may have reached the server.
func (c *Conn) Sent() bool { return c.sent.Load() }

// Close closes the connection. The server rolls back an open transaction.
func (c *Conn) Close() error {
	err := c.proto.close()
	_, _, _ = c.state.Fire(eventClose)
	return err
}
