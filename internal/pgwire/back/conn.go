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

// Conn is a data connection. Only Cancel, Sent and Close may be called while
// another call runs.
type Conn struct {
	link     *link
	state    statechart.Machine
	prepared *preparedSet
	settings []statement.Setting
	// settingsUnknown is set when a batch changed settings by itself.
	settingsUnknown bool
	sent            atomic.Bool
	cancels         cancels
	// wrote is set when the open transaction may have written, readOnly when it
	// was begun as one that cannot.
	wrote    bool
	readOnly bool
	// digest runs over the batches of the open transaction.
	digest hash.Hash
}

var _ backend.Conn = (*Conn)(nil)

func newConn(l *link, maxPrepared int) *Conn {
	c := &Conn{link: l, prepared: newPreparedSet(maxPrepared)}
	c.state.Init(connectionChart)
	return c
}

// Exchange runs one batch. Errors that the server answered are passed to conv
// and are not errors here.
//
// A batch with an order id is one of three: a batch without transaction
// commands, which is recorded with its answer; the COMMIT of an open
// transaction, which is recorded with the answer of a successful COMMIT; or
// another batch of an open transaction, including its BEGIN, which runs as it
// is. Other batches with an order id are refused before anything is sent. A
// batch that only prepares or describes is never recorded.
func (c *Conn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	c.sent.Store(false)
	if x.Batch.Class == statement.ClassCopyData {
		return backend.Result{Tx: c.txStatus()}, nil
	}
	if err := c.enter(eventExchange); err != nil {
		return backend.Result{}, errcode.Wrap(err, errcode.ConnectionLost, "start exchange", string(c.link.server.ID))
	}
	defer c.settle()
	c.cancels.begin()
	defer c.cancels.end()
	exchangesTotal.Inc()
	start := time.Now()
	ctx, span := tracer.Start(ctx, "backend exchange", trace.WithAttributes(
		attribute.String("server", string(c.link.server.ID)), attribute.Int("class", int(x.Batch.Class)),
	))
	defer span.End()
	answer, err := c.exchange(ctx, x, conv)
	exchangeSeconds.UpdateDuration(start)
	if err != nil {
		exchangeErrors.Inc()
		span.SetStatus(codes.Error, err.Error())
	}
	return answer, err
}

func (c *Conn) exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	if ctx.Err() != nil {
		return backend.Result{}, c.fail(ctx.Err(), errcode.DeadlinePassed, "start exchange")
	}
	if err := c.absorbCancel(ctx); err != nil {
		return backend.Result{}, c.fail(err, errcode.ConnectionLost, "absorb cancel")
	}
	if err := c.link.alive(); err != nil {
		return backend.Result{}, c.fail(err, refusalOf(err), "check connection")
	}
	open := c.link.status != 'I'
	if !open {
		c.wrote = false
		c.readOnly = x.Batch.Class == statement.ClassBeginReadOnly
		c.digest = nil
	}
	r := newRelay(ctx, c, x, conv)
	if !open {
		refusal, err := c.applySettings(ctx, x.Settings)
		if err != nil {
			return backend.Result{}, err
		}
		if refusal != nil {
			r.replaceByError(refusal)
			return r.finish(&reply{})
		}
	}
	if !c.cannotWrite(x.Batch) {
		c.digest = addToDigest(c.digest, x.Batch)
	}
	recorded := x.OrderID != "" && executes(x.Batch.Messages) && !c.cannotWrite(x.Batch)
	if !recorded || c.link.status == 'E' {
		return c.runBatch(ctx, x, r)
	}
	commands := controlOf(x.Batch)
	switch {
	case open && commands.commits:
		return c.commitOrder(ctx, x, r)
	case open, commands.begins && !commands.commits && !commands.aborts:
		return c.runBatch(ctx, x, r)
	case commands != control{}:
		return backend.Result{}, r.failure(errcode.OrderShape, "record order")
	default:
		return c.runOrder(ctx, x, r)
	}
}

// cannotWrite reports whether the batch can change nothing in the present transaction.
func (c *Conn) cannotWrite(b *statement.Batch) bool { return c.readOnly || b.Class.ReadOnly() }

// runBatch runs a batch as it is.
func (c *Conn) runBatch(ctx context.Context, x *backend.Exchange, r *relay) (backend.Result, error) {
	var position reply
	segments := []segment{r.segment()}
	pipelined := x.WantPosition && mayEndIdle(x.Batch, r.wasOpen)
	if pipelined {
		segments = append(segments, position.segment(positionQuery))
	}
	if err := c.run(ctx, r, segments...); err != nil {
		return backend.Result{}, err
	}
	if x.WantPosition && !pipelined && c.link.status == 'I' {
		if err := c.run(ctx, r, position.segment(positionQuery)); err != nil {
			return backend.Result{}, err
		}
	}
	return r.finish(&position)
}

// run sends segments. Its error has the outcome of the exchange.
func (c *Conn) run(ctx context.Context, r *relay, segments ...segment) error {
	c.sent.Store(true)
	err := c.link.pipeline(ctx, segments...)
	r.stopFeeder()
	if err == nil {
		err = ctx.Err()
	}
	if err == nil {
		return nil
	}
	_ = c.link.close()
	return c.lost(ctx, err, r)
}

// lost classifies an error by what may have happened on the server.
func (c *Conn) lost(ctx context.Context, err error, r *relay) error {
	if r.aborted != nil {
		return r.aborted
	}
	eventConnectionBroken.Log(&c.link.cfg.Log).Str("server", string(c.link.server.ID)).Err(err).Send()
	var answer *ServerError
	superseded := errors.As(err, &answer) && answer.Code == StateSuperseded && r.tag == ""
	switch {
	case superseded:
		return c.fail(err, errcode.Superseded, "exchange")
	case r.mayHaveCommitted():
		return c.fail(err, errcode.Unknown, "exchange")
	case ctx.Err() != nil:
		return c.fail(err, errcode.DeadlinePassed, "exchange")
	default:
		return c.fail(err, errcode.ConnectionLost, "exchange")
	}
}

// fail closes the connection and returns err with its code.
func (c *Conn) fail(err error, code errcode.Code, step string) error {
	_ = c.link.close()
	return wrapError(err, code, step, c.link.server)
}

func (c *Conn) txStatus() backend.TxStatus {
	switch c.link.status {
	case 'T':
		return backend.TxOpen
	case 'E':
		return backend.TxFailed
	default:
		return backend.TxIdle
	}
}

// Reset rolls back what is open and returns the session to its initial state.
func (c *Conn) Reset(ctx context.Context) error {
	if err := c.enter(eventReset); err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, "start reset", string(c.link.server.ID))
	}
	defer c.settle()
	var rolledBack, discarded reply
	segments := []segment{discarded.segment(query("DISCARD ALL"))}
	if c.link.status != 'I' {
		segments = append([]segment{rolledBack.segment(query("ROLLBACK"))}, segments...)
	}
	err := c.link.pipeline(ctx, segments...)
	if err == nil {
		err = discarded.failed()
	}
	if err != nil {
		return c.fail(err, errcode.ConnectionLost, "reset")
	}
	c.forget()
	return nil
}

// forget drops what is known about the session after the server discarded it.
func (c *Conn) forget() {
	c.prepared.clear()
	c.settings, c.settingsUnknown = nil, false
}

// Sent reports whether any byte of the last exchange's batch may have reached the server.
func (c *Conn) Sent() bool { return c.sent.Load() }

// Close closes the connection. The server rolls back an open transaction.
func (c *Conn) Close() error {
	err := c.link.close()
	_, _, _ = c.state.Fire(eventClose)
	return err
}
