package front

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	spanName        = "caller"
	headerTrace     = "traceparent"
	parameterToken  = "rattancove.token"
	statementMargin = 5 * time.Second
)

var (
	tracer     = otel.Tracer("rattancove/front")
	propagator propagation.TraceContext
	// errStatementTime is the cause of a request that the home did not end in time.
	errStatementTime = errors.New("the statement exceeded its time limit")
	errIncomplete    = errors.New("the request ended without the server's ready state")
)

// run sends a batch to the home and answers the caller.
func (c *caller) run(b *batch) error {
	o, err := c.resolveOptions(b)
	if err != nil {
		c.refuseBatch(b, err)
		return nil
	}
	ctx, span := startSpan(c.server.baseCtx, o.traceParent)
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.setCancel(cancel)
	defer c.setCancel(nil)

	floor := c.floor(o)
	req := c.request(b, o, floor)
	req.TraceParent = traceParent(ctx, span)
	v := newConversation(c, b, cancel)
	defer v.timer.Stop()
	c.answered.Store(false)
	c.fire(signalRequest)
	started := time.Now()
	v.startWatch(req.First.Class)
	result, err := c.server.runner.Run(ctx, req, v)
	v.stopWatch()
	if err == nil && !v.held && !v.left() {
		err = errcode.Wrap(errIncomplete, errcode.Internal, "run", string(result.Home))
	}
	err = causedBy(ctx, err)
	count(req.Rank, v, err, time.Since(started))
	describe(span, req, result, err)
	if err != nil {
		return c.failed(v, req, err)
	}
	c.observe(o, floor, result)
	return c.succeeded(v, result)
}

func startSpan(ctx context.Context, parent string) (context.Context, trace.Span) {
	if parent != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{headerTrace: parent})
	}
	return tracer.Start(ctx, spanName, trace.WithSpanKind(trace.SpanKindServer))
}

func traceParent(ctx context.Context, span trace.Span) string {
	if !span.SpanContext().IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[headerTrace]
}

func describe(span trace.Span, req *statement.Request, r statement.Result, err error) {
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(
		attribute.String("rattan.request", req.ID),
		attribute.String("rattan.group", string(req.Group)),
		attribute.String("rattan.rank", req.Rank.String()),
		attribute.String("rattan.server", string(r.Server)),
		attribute.String("rattan.reason", r.Reason),
	)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
}

// floor returns the floor of a request. A session that only the statement
// names has no floor but the statement's token.
func (c *caller) floor(o requestOptions) session.Floor {
	if !o.hasSession || o.session == c.session.Name() {
		return c.session.Floor(o.token)
	}
	var other session.Session
	other.SetName(o.session)
	return other.Floor(o.token)
}

// observe takes up a result. What the statement did in another session also
// raises the caller's own floor, so that the caller sees its own writes.
func (c *caller) observe(o requestOptions, f session.Floor, r statement.Result) {
	if !o.hasSession || o.session == c.session.Name() {
		c.session.RecordResult(f, r)
		return
	}
	c.session.RaiseFloor(cluster.MaxPosition(r.Position, r.Observed))
}

func (c *caller) request(b *batch, o requestOptions, floor session.Floor) *statement.Request {
	name := c.session.Name()
	if o.hasSession {
		name = o.session
	}
	return &statement.Request{
		ID:         c.server.nextRequestID(),
		Group:      c.group,
		Customer:   c.account.Customer,
		Session:    name,
		Rank:       o.rank,
		Freshness:  o.freshness,
		Floor:      floor.Position,
		FloorExact: floor.Exact,
		OrderID:    o.orderID,
		Settings:   c.settings.current,
		Timeout:    effectiveLimits(c.server.directory).StatementTime,
		First:      b.Batch,
	}
}

// succeeded passes on the server's ready state that was held back until the
// result was known. The token goes first, so that a caller that has its answer
// also has its token.
func (c *caller) succeeded(v *conversation, r statement.Result) error {
	if v.left() {
		return v.err
	}
	c.settings.current = v.settings
	c.fire(signalCompleted)
	if r.Position.Known() {
		c.writer.writeMessage(&pgproto3.ParameterStatus{
			Name:  parameterToken,
			Value: session.FormatToken(c.group, c.session.Position()),
		})
	}
	v.batch.responses.finish(&c.writer)
	c.tx = txIdle
	if v.batch.boundary == boundaryFlush {
		c.discarding = v.batch.responses.failed
		c.writer.flush()
		return c.writer.err
	}
	c.ready(txIdle)
	return c.writer.err
}

// failed tells the caller that its request was refused or failed.
func (c *caller) failed(v *conversation, req *statement.Request, err error) error {
	c.session.RecordFailure(outcomeOf(err))
	if v.left() {
		return v.err
	}
	if c.writer.err != nil {
		return c.writer.err
	}
	eventRequestFailed.Log(&c.server.logger).Str("request", req.ID).Str("group", string(req.Group)).
		Stringer("rank", req.Rank).Err(err).Send()
	if v.waiting && v.tx != txIdle {
		if errcode.Is(err, errcode.IdleTransaction) || errcode.Is(err, errcode.LimitExceeded) {
			return err
		}
		eventTransactionLost.Log(&c.server.logger).Str("request", req.ID).Err(err).Send()
		c.lose(err)
		return nil
	}
	c.writer.writeMessage(errorResponse(err, severityError, req.ID))
	if _, ends := v.batch.endsTransaction(); v.tx != txIdle && !ends {
		c.lose(nil)
	} else {
		c.tx = txIdle
		c.fire(signalFailed)
	}
	if v.awaitsSync() {
		c.discarding = true
		c.writer.flush()
		return c.writer.err
	}
	c.ready(c.tx)
	return c.writer.err
}

// causedBy puts the cause of an ended context in place of an error that does
// not say more.
func causedBy(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCanceled):
		return &sqlError{sqlState: "57014", message: errCanceled.Error(), outcome: outcomeOf(err)}
	case errors.Is(cause, errStatementTime):
		return &sqlError{sqlState: "57014", message: errStatementTime.Error(), outcome: outcomeOf(err)}
	case errors.Is(cause, errDrainTimeout) && !errcode.Is(err, errcode.Unknown):
		return errcode.Wrap(err, withOutcome(errcode.Draining, outcomeOf(err)), "drain", "")
	default:
		return err
	}
}

func withOutcome(c errcode.Code, o errcode.Outcome) errcode.Code {
	c.Outcome = o
	return c
}

func outcomeOf(err error) errcode.Outcome {
	var own *sqlError
	if errors.As(err, &own) {
		return own.outcome
	}
	return errcode.From(err).Code.Outcome
}

// count counts a request. The time of a transaction block is left out of the
// histogram, because most of it is the caller's own.
func count(rank cluster.Rank, v *conversation, err error, took time.Duration) {
	outcome := errcode.OutcomeDone.String()
	switch {
	case err != nil && !statement.CallerDisconnected(err):
		outcome = outcomeOf(err).String()
	case v.failed:
		outcome = outcomeServerError
	}
	requestCounts[rank][outcome].Inc()
	if v.batches == 1 {
		requestSeconds[rank].Update(took.Seconds())
	}
}
