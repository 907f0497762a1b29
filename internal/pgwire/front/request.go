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
	spanName               = "caller"
	traceParentHeader      = "traceparent"
	tokenParameter         = "rattancove.token"
	statementTimeoutMargin = 5 * time.Second
)

var (
	tracer     = otel.Tracer("rattancove/front")
	propagator propagation.TraceContext
	// errStatementTimeout is the cause of a request that the home did not complete
	// in time.
	errStatementTimeout = errors.New("the statement exceeded its time limit")
	errNoReadyForQuery  = errors.New("the request ended without the server's ready state")
)

// runRequest sends a batch to the home and the result to the caller.
func (c *caller) runRequest(b *batch) error {
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

	floor := c.requestFloor(o)
	req := c.newRequest(b, o, floor)
	req.TraceParent = traceParent(ctx, span)
	conv := newConversation(c, b, cancel)
	defer conv.statementTimer.Stop()
	c.responseCompleted.Store(false)
	c.fireEvent(sessionEventRequest)
	started := time.Now()
	conv.startWatch(req.First.Class)
	result, err := c.server.runner.Run(ctx, req, conv)
	conv.stopWatch()
	if err == nil && !conv.readyWithheld && !conv.connectionEnded() {
		err = errcode.Wrap(errNoReadyForQuery, errcode.Internal, "run", string(result.Home))
	}
	err = replaceWithCause(ctx, err)
	recordMetrics(req.Rank, conv, err, time.Since(started))
	setSpanAttributes(span, req, result, err)
	if err != nil {
		return c.failRequest(conv, req, err)
	}
	c.recordResult(o, floor, result)
	return c.completeRequest(conv, result)
}

func startSpan(ctx context.Context, parent string) (context.Context, trace.Span) {
	if parent != "" {
		ctx = propagator.Extract(ctx, propagation.MapCarrier{traceParentHeader: parent})
	}
	return tracer.Start(ctx, spanName, trace.WithSpanKind(trace.SpanKindServer))
}

func traceParent(ctx context.Context, span trace.Span) string {
	if !span.SpanContext().IsValid() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier[traceParentHeader]
}

func setSpanAttributes(span trace.Span, req *statement.Request, r statement.Result, err error) {
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

// requestFloor returns the floor of a request. If the statement names a session
// other than that of the connection, only the token of the statement contributes to
// the floor.
func (c *caller) requestFloor(o requestOptions) session.Floor {
	if !o.hasSession || o.session == c.session.Name() {
		return c.session.Floor(o.token)
	}
	var other session.Session
	other.SetName(o.session)
	return other.Floor(o.token)
}

// recordResult records the result of a request. A request in another session also
// raises the floor of the caller's own session, so that the caller sees its own
// writes.
func (c *caller) recordResult(o requestOptions, f session.Floor, r statement.Result) {
	if !o.hasSession || o.session == c.session.Name() {
		c.session.RecordResult(f, r)
		return
	}
	c.session.RaiseFloor(cluster.MaxPosition(r.Position, r.Observed))
}

func (c *caller) newRequest(b *batch, o requestOptions, floor session.Floor) *statement.Request {
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

// completeRequest sends the final ReadyForQuery, which was withheld until the
// result was known. The token precedes it, so that a caller that has received the
// response also has the token.
func (c *caller) completeRequest(conv *conversation, r statement.Result) error {
	if conv.connectionEnded() {
		return conv.callerErr
	}
	c.settings.current = conv.settingsOnCommit
	c.fireEvent(sessionEventCompleted)
	if r.Position.Known() {
		c.writer.writeMessage(&pgproto3.ParameterStatus{
			Name:  tokenParameter,
			Value: session.FormatToken(c.group, c.session.Position()),
		})
	}
	conv.batch.rewriter.finish(&c.writer)
	c.txStatus = txIdle
	if conv.batch.boundary == boundaryFlush {
		c.discardingUntilSync = conv.batch.rewriter.failed
		c.writer.flush()
		return c.writer.err
	}
	c.sendReady(txIdle)
	return c.writer.err
}

// failRequest sends the caller the error of a request that was refused or failed.
func (c *caller) failRequest(conv *conversation, req *statement.Request, err error) error {
	c.session.RecordFailure(outcomeOf(err))
	if conv.connectionEnded() {
		return conv.callerErr
	}
	if c.writer.err != nil {
		return c.writer.err
	}
	eventRequestFailed.Log(&c.server.logger).Str("request", req.ID).Str("group", string(req.Group)).
		Stringer("rank", req.Rank).Err(err).Send()
	if conv.awaitsBatch && conv.txStatus != txIdle {
		if errcode.Is(err, errcode.IdleTransaction) || errcode.Is(err, errcode.LimitExceeded) {
			return err
		}
		eventTransactionLost.Log(&c.server.logger).Str("request", req.ID).Err(err).Send()
		c.loseTransaction(err)
		return nil
	}
	c.writer.writeMessage(errorResponse(err, severityError, req.ID))
	if _, ends := conv.batch.endsTransaction(); conv.txStatus != txIdle && !ends {
		c.loseTransaction(nil)
	} else {
		c.txStatus = txIdle
		c.fireEvent(sessionEventFailed)
	}
	if conv.awaitsSync() {
		c.discardingUntilSync = true
		c.writer.flush()
		return c.writer.err
	}
	c.sendReady(c.txStatus)
	return c.writer.err
}

// replaceWithCause returns the error for the cause of the canceled context if err
// itself is less specific.
func replaceWithCause(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCanceled):
		return &sqlError{sqlState: "57014", message: errCanceled.Error(), outcome: outcomeOf(err)}
	case errors.Is(cause, errStatementTimeout):
		return &sqlError{sqlState: "57014", message: errStatementTimeout.Error(), outcome: outcomeOf(err)}
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
	var sqlErr *sqlError
	if errors.As(err, &sqlErr) {
		return sqlErr.outcome
	}
	return errcode.From(err).Code.Outcome
}

// recordMetrics records the outcome and duration of a request. The duration of a
// transaction block is not recorded, because most of it is the caller's own time.
func recordMetrics(rank cluster.Rank, conv *conversation, err error, duration time.Duration) {
	outcome := errcode.OutcomeDone.String()
	switch {
	case err != nil && !statement.CallerDisconnected(err):
		outcome = outcomeOf(err).String()
	case conv.serverFailed:
		outcome = outcomeServerError
	}
	requestCounts[rank][outcome].Inc()
	if conv.batchCount == 1 {
		requestSeconds[rank].Update(duration.Seconds())
	}
}
