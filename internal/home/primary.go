package home

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/order"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/statement"
)

// retryDelay is the amount by which the delay grows with each further attempt, and
// the time after which an overloaded owner or server may be tried again.
const retryDelay = 25 * time.Millisecond

// runPrimary runs a write, a primary read or a transaction on the primary. It
// retries attempts that did not run, and those with an unknown outcome if the
// request carries an order id.
func (o *owner) runPrimary(ctx context.Context, r *request) (statement.Result, error) {
	attempts := order.New(r.OrderID != "", r.deadline)
	for {
		r.attemptNumber++
		result, err := o.tryPrimary(ctx, r, attempts)
		if err == nil {
			return result, nil
		}
		if !o.mayRetryWrite(ctx, r, attempts, err) {
			if attempts.Outcome() == errcode.OutcomeUnknown {
				unknownOutcomesTotal.Inc()
			}
			return result, attempts.Error(err)
		}
		o.logRetry(r, result.Server, err)
		_ = attempts.Fire(order.EventRetry)
		delay.Sleep(ctx, delay.Jitter(time.Duration(r.attemptNumber)*retryDelay))
	}
}

func (o *owner) mayRetryWrite(ctx context.Context, r *request, attempts *order.Attempts, err error) bool {
	if r.conv.started.Load() || ctx.Err() != nil || !attempts.MayRetry(time.Now()) {
		return false
	}
	if !transient(err) {
		return false
	}
	o.mu.Lock()
	refusal := o.servingError()
	o.mu.Unlock()
	return refusal == nil && o.retryBudget.TryWithdraw()
}

func (o *owner) tryPrimary(ctx context.Context, r *request, attempts *order.Attempts) (statement.Result, error) {
	if r.First.Class == statement.ClassBegin {
		return o.tryTransaction(ctx, r, attempts)
	}
	att, err := o.beginGrantedAttempt(ctx, r)
	if err != nil {
		_ = attempts.Fire(order.EventRefuse)
		return statement.Result{}, err
	}
	att.outcome = attempts
	return o.runFirstBatch(ctx, att)
}

// beginGrantedAttempt begins an attempt at the primary. A write gives its slot back while
// the first grant of a new term is due.
func (o *owner) beginGrantedAttempt(ctx context.Context, r *request) (*attempt, error) {
	att, err := o.beginAttempt(ctx, r, rank.LanePrimary)
	if err != nil || !buffersResponse(r.First.Class) {
		return att, err
	}
	due := o.firstGrantDue(r, att.routing.Term)
	if due.IsZero() {
		return att, nil
	}
	att.end(false)
	o.awaitGrant(ctx, att.routing.Term, due)
	return o.beginAttempt(ctx, r, rank.LanePrimary)
}

// runFirstBatch runs the first batch on the primary and, if it opened a transaction,
// the rest of it.
func (o *owner) runFirstBatch(ctx context.Context, att *attempt) (statement.Result, error) {
	r := att.request
	batch := r.First
	x := &backend.Exchange{Batch: &batch}
	switch {
	case r.readOnlyRefused:
		batch.Class = statement.ClassWrite
	case batch.Class == statement.ClassPrimaryRead:
		batch.Class = statement.ClassRead
		if !o.home.config.ExactClasses {
			x.Settings = r.readOnlySettings()
		}
	}
	if buffersResponse(batch.Class) {
		if refusal := o.refuseUnconfirmed(r, att.routing.Term); refusal != nil {
			_ = att.outcome.Fire(order.EventRefuse)
			att.end(false)
			return att.result, refusal
		}
		x.BufferResponse = true
		x.BeforeFlush = att.acknowledge
	} else {
		x.BeforeFirstByte = o.proofGate(r, att.routing.Term)
	}
	statementCtx, cancel := o.limitStatement(ctx, r)
	defer cancel()
	_ = att.outcome.Fire(order.EventSend)
	var firstByteTimeout time.Duration
	if att.outcome.HasID || batch.Class.ReadOnly() {
		firstByteTimeout = o.firstByteTimeout(r)
	}
	response, err := att.exchange(statementCtx, x, firstByteTimeout)
	if err != nil {
		err = att.resolveError(&batch, err)
		att.end(false)
		if errcode.Is(err, errcode.ServerBusy) {
			att.slot.MarkRefused()
		}
		switch {
		case refusedByServer(err):
			o.requestStatus()
		case ctx.Err() == nil && !r.conv.disconnected.Load() && !isCallersFault(err):
			o.recordExchangeFailure(att.node)
		}
		return att.result, err
	}
	if response.ReadOnlyRefused {
		_ = att.outcome.Fire(order.EventRefuse)
		att.end(false)
		r.readOnlyRefused = true
		return att.result, errcode.New(errcode.ConnectionLost, "read-only statement", string(att.node.server.ID))
	}
	att.countResult(response)
	if !x.BufferResponse {
		_ = att.outcome.Fire(order.EventAnswer)
		_ = att.outcome.Fire(order.EventAcknowledge)
	}
	att.termProven = true
	if response.Tx != backend.TxIdle {
		att.wrote = !batch.Class.ReadOnly()
		return o.continueTransaction(ctx, att)
	}
	att.end(false)
	return att.result, nil
}

// limitStatement returns a context with the time limit of a single statement.
func (o *owner) limitStatement(ctx context.Context, r *request) (context.Context, context.CancelFunc) {
	deadline := time.Now().Add(o.statementTimeout())
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	return context.WithDeadline(ctx, deadline)
}

// buffersResponse reports whether the response to a batch of the class is held back
// until the write that it may report can be acknowledged.
func buffersResponse(c statement.Class) bool {
	return c == statement.ClassWrite || c == statement.ClassCopyData || c == statement.ClassCommit
}

func (att *attempt) countResult(response backend.Result) {
	if response.Deduplicated {
		att.result.Deduplicated = true
		repeatedOrdersTotal.Inc()
	}
	if att.request.First.Class == statement.ClassPrimaryRead {
		att.result.Observed = response.Position
		readsPrimaryTotal.Inc()
		return
	}
	writesTotal.Inc()
}

// resolveError determines the outcome of an attempt whose exchange failed, and
// returns the error with it. The outcome is "not run" if nothing was sent, if the
// batch is read-only, or if the adapter has proof of it.
func (att *attempt) resolveError(batch *statement.Batch, err error) error {
	if att.outcome.State() != order.StateSent {
		return err // the outcome was determined when the response was complete
	}
	e := errcode.From(err)
	// The batch that opens a transaction commits nothing where classes are exact.
	opensTransaction := batch.Class == statement.ClassBegin && att.owner.home.config.ExactClasses
	notRun := !att.conn.Sent() || batch.Class.ReadOnly() || opensTransaction || e.Code.Outcome == errcode.OutcomeNotRun
	if !notRun {
		_ = att.outcome.Fire(order.EventFail)
		return e
	}
	_ = att.outcome.Fire(order.EventRefuse)
	switch {
	case e.Code.Name == errcode.Superseded.Name:
		return att.owner.supersededBy(e)
	case e.Code.Outcome == errcode.OutcomeNotRun:
		return e
	default:
		return errcode.Wrap(err, errcode.ConnectionLost, e.Step, string(att.node.server.ID))
	}
}

// supersededBy replaces the server in a refusal with the new home of the group,
// if it is known. It requests the statuses, which report the new home.
func (o *owner) supersededBy(e *errcode.Error) error {
	o.requestStatus()
	o.mu.Lock()
	defer o.mu.Unlock()
	return errcode.Wrap(e, errcode.Superseded, e.Step, string(o.successor))
}
