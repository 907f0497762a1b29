package home

import (
	"context"
	"errors"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/order"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/statement"
)

// tryTransaction opens a transaction on the primary. It acquires a permit first,
// so that open transactions leave connections for single statements.
func (o *owner) tryTransaction(ctx context.Context, r *request, attempts *order.Attempts) (statement.Result, error) {
	n, err := o.acquirePermit(ctx, r)
	if err != nil {
		_ = attempts.Fire(order.EventRefuse)
		return statement.Result{}, err
	}
	att, err := o.beginAttempt(ctx, r, rank.LanePrimary)
	if err != nil {
		n.permits.release(r.Organisation)
		_ = attempts.Fire(order.EventRefuse)
		return statement.Result{}, err
	}
	att.outcome = attempts
	att.permits = n.permits
	if att.node != n {
		att.end(false)
		_ = attempts.Fire(order.EventRefuse)
		return att.result, errcode.Wrap(errTermChanged, errcode.NoPrimary, "open transaction", string(n.server.ID))
	}
	return o.runFirstBatch(ctx, att)
}

// acquirePermit waits for a transaction permit at the current primary.
func (o *owner) acquirePermit(ctx context.Context, r *request) (*node, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err := o.await(ctx, func() (bool, error) { return o.routing.Load().PrimaryReachable(), nil })
	if err != nil && ctx.Err() != nil {
		return nil, errcode.Wrap(err, errcode.NoPrimary, "wait for primary", string(o.name))
	}
	if err != nil {
		return nil, err
	}
	termCtx, routing := o.currentTerm()
	n := o.node(routing.Primary)
	if n == nil {
		return nil, errcode.Wrap(errTermChanged, errcode.NoPrimary, "open transaction", string(o.name))
	}
	defer context.AfterFunc(termCtx, cancel)()
	if err := n.permits.acquire(ctx, r.rank, o.permitHolder(r)); err != nil {
		if termCtx.Err() != nil {
			err = errTermChanged
		}
		if termCtx.Err() == nil && (errors.Is(err, errTooManyTransactions) || errors.Is(err, context.DeadlineExceeded)) {
			o.recordRefusal(r, rank.LanePrimary, nil, causeTransactions)
		}
		refused := errcode.Wrap(err, errcode.Overloaded, "open transactions", string(n.server.ID))
		refused.RetryAfter = retryDelay
		return nil, refused
	}
	return n, nil
}

// permitHolder returns the organisation of a request and its weight.
func (o *owner) permitHolder(r *request) permitHolder {
	o.mu.Lock()
	defer o.mu.Unlock()
	return permitHolder{organisation: r.Organisation, weight: rank.Weight(r.Organisation, o.organisations)}
}

// continueTransaction runs the caller's batches until the transaction ends.
func (o *owner) continueTransaction(ctx context.Context, att *attempt) (statement.Result, error) {
	transactionsTotal.Inc()
	ctx, cancel := context.WithDeadline(ctx, att.request.arrived.Add(o.transactionTimeout()))
	defer cancel()
	defer context.AfterFunc(att.termCtx, cancel)()
	att.slot.Release()
	for {
		batch, err := att.nextBatch(ctx)
		if statement.CallerDisconnected(err) {
			att.end(true)
			return att.result, nil
		}
		if err != nil {
			att.end(true)
			return att.result, err
		}
		response, err := att.runStatement(ctx, batch)
		if err != nil {
			att.end(true)
			return att.result, err
		}
		if response.Tx == backend.TxIdle {
			att.end(false)
			return att.result, nil
		}
	}
}

// nextBatch waits for the caller's next batch within the time limits of the document.
func (att *attempt) nextBatch(ctx context.Context) (*statement.Batch, error) {
	idleCtx, cancel := context.WithTimeout(ctx, att.owner.idleInTransactionTimeout())
	defer cancel()
	defer context.AfterFunc(att.owner.drainCtx, func() {
		delay.Sleep(idleCtx, drainIdleTimeout)
		cancel()
	})()
	batch, err := att.request.conv.Next(idleCtx)
	server := string(att.node.server.ID)
	switch {
	case err == nil:
		return batch, nil
	case statement.CallerDisconnected(err):
		return nil, err
	case att.owner.drainCtx.Err() != nil:
		return nil, errcode.Wrap(err, errcode.Draining, "wait for caller", string(att.owner.home.config.ID))
	case att.termCtx.Err() != nil:
		return nil, errcode.Wrap(err, errcode.ConnectionLost, "transaction", server)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, errcode.Wrap(err, errcode.LimitExceeded, "transaction time", server)
	case idleCtx.Err() != nil && ctx.Err() == nil:
		return nil, errcode.Wrap(err, errcode.IdleTransaction, "wait for caller", server)
	default:
		return nil, errcode.Wrap(err, errcode.ConnectionLost, "wait for caller", server)
	}
}

// runStatement runs one batch of an open transaction in its own slot.
func (att *attempt) runStatement(ctx context.Context, batch *statement.Batch) (backend.Result, error) {
	if batch.Settings != nil {
		att.request.Settings = batch.Settings
	}
	if err := att.refuseCommit(ctx, batch.Class); err != nil {
		return backend.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, att.statementTimeout())
	defer cancel()
	deadline, _ := ctx.Deadline()
	slot, err := att.owner.dispatcher.Acquire(ctx, rank.Request{
		Rank: att.request.rank, Organisation: att.request.Organisation, Pinned: att.node.server.ID, Deadline: deadline,
	})
	if err != nil && att.termCtx.Err() != nil {
		return backend.Result{}, errcode.Wrap(err, errcode.ConnectionLost, "transaction", string(att.node.server.ID))
	}
	if err != nil {
		return backend.Result{}, err
	}
	defer slot.Release()
	att.slot = slot
	att.outcome = order.New(false, att.request.deadline)
	_ = att.outcome.Fire(order.EventSend)
	x := &backend.Exchange{Batch: batch}
	if att.onPrimary() && buffersResponse(batch.Class) {
		x.BufferResponse = true
		x.BeforeFlush = att.acknowledge
		att.request.deadline = deadline
	}
	response, err := att.exchange(ctx, x, 0)
	if err != nil {
		return response, att.resolveStatementError(batch, err)
	}
	return response, nil
}

// refuseCommit returns an error if the transaction must be rolled back because the
// acknowledgement of its COMMIT could not be passed on. One that has written nothing has
// nothing to acknowledge.
func (att *attempt) refuseCommit(ctx context.Context, c statement.Class) error {
	if !att.onPrimary() || !att.mayCommit(c) {
		att.wrote = att.wrote || !c.ReadOnly()
		return nil
	}
	if !att.wrote && c == statement.ClassCommit {
		return nil
	}
	if due := att.owner.firstGrantDue(att.request, att.routing.Term); !due.IsZero() {
		att.owner.awaitGrant(ctx, att.routing.Term, due)
	}
	if refusal := att.owner.refuseUnconfirmed(att.request, att.routing.Term); refusal != nil {
		return errcode.Wrap(refusal, errcode.RolledBack, "commit", string(att.node.server.ID))
	}
	return nil
}

// statementTimeout returns the time limit of one statement of a transaction.
func (att *attempt) statementTimeout() time.Duration {
	limit := att.owner.statementTimeout()
	if att.owner.home.config.ExactClasses && att.request.Timeout > 0 {
		return min(limit, att.request.Timeout)
	}
	return limit
}

// resolveStatementError returns the error of a failed batch with its outcome: unknown
// if the batch may have committed the transaction; otherwise the server rolls the
// transaction back.
func (att *attempt) resolveStatementError(batch *statement.Batch, err error) error {
	e := errcode.From(err)
	if att.outcome.State() != order.StateSent {
		return err // the outcome was determined when the response was complete
	}
	if e.Code.Name == errcode.Superseded.Name {
		return att.owner.supersededBy(e)
	}
	if e.Code.Outcome == errcode.OutcomeNotRun {
		return e
	}
	if !att.conn.Sent() || !att.mayCommit(batch.Class) || !att.onPrimary() {
		return errcode.Wrap(err, errcode.ConnectionLost, e.Step, string(att.node.server.ID))
	}
	unknownOutcomesTotal.Inc()
	return e
}

// mayCommit reports whether a batch inside a transaction may commit it.
func (att *attempt) mayCommit(c statement.Class) bool {
	if att.owner.home.config.ExactClasses {
		return c == statement.ClassCommit
	}
	return buffersResponse(c)
}

func (o *owner) transactionTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return orDefault(o.limits.TransactionTime, defaultTransactionTimeout)
}

func (o *owner) idleInTransactionTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return orDefault(o.limits.IdleInTransaction, defaultIdleInTransactionTimeout)
}

func (o *owner) statementTimeout() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return orDefault(o.limits.StatementTime, defaultRequestTimeout)
}

func orDefault[T ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
