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

// tryTransaction opens a transaction on the primary. It takes a pin first, so
// that open transactions leave connections for single statements.
func (o *owner) tryTransaction(ctx context.Context, r *request, attempts *order.Attempts) (statement.Result, error) {
	n, err := o.acquirePermit(ctx, r)
	if err != nil {
		_ = attempts.Fire(order.EventRefuse)
		return statement.Result{}, err
	}
	w, err := o.beginAttempt(ctx, r, rank.LanePrimary)
	if err != nil {
		n.permits.release()
		_ = attempts.Fire(order.EventRefuse)
		return statement.Result{}, err
	}
	w.outcome = attempts
	w.permits = n.permits
	if w.node != n {
		w.end(false)
		_ = attempts.Fire(order.EventRefuse)
		return w.result, errcode.Wrap(errTermChanged, errcode.NoPrimary, "open transaction", string(n.server.ID))
	}
	return o.runFirst(ctx, w)
}

// acquirePermit waits for a pin at the present primary.
func (o *owner) acquirePermit(ctx context.Context, r *request) (*node, error) {
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	err := o.await(ctx, func() (bool, error) { return o.group.Load().PrimaryReachable(), nil })
	if err != nil && ctx.Err() != nil {
		return nil, errcode.Wrap(err, errcode.NoPrimary, "wait for primary", string(o.name))
	}
	if err != nil {
		return nil, err
	}
	termCtx, group := o.currentTerm()
	n := o.node(group.Primary)
	if n == nil {
		return nil, errcode.Wrap(errTermChanged, errcode.NoPrimary, "open transaction", string(o.name))
	}
	defer context.AfterFunc(termCtx, cancel)()
	if err := n.permits.acquire(ctx, r.rank); err != nil {
		if termCtx.Err() != nil {
			err = errTermChanged
		}
		refused := errcode.Wrap(err, errcode.Overloaded, "open transactions", string(n.server.ID))
		refused.RetryAfter = retryPause
		return nil, refused
	}
	return n, nil
}

// continueTransaction runs the caller's batches until the transaction ends.
func (o *owner) continueTransaction(ctx context.Context, w *attempt) (statement.Result, error) {
	transactionsTotal.Inc()
	ctx, cancel := context.WithDeadline(ctx, w.request.arrived.Add(o.transactionTime()))
	defer cancel()
	defer context.AfterFunc(w.termCtx, cancel)()
	w.grant.Release()
	for {
		batch, err := w.nextBatch(ctx)
		if statement.CallerLeft(err) {
			w.end(true)
			return w.result, nil
		}
		if err != nil {
			w.end(true)
			return w.result, err
		}
		answer, err := w.runStatement(ctx, batch)
		if err != nil {
			w.end(true)
			return w.result, err
		}
		if answer.Tx == backend.TxIdle {
			w.end(false)
			return w.result, nil
		}
	}
}

// nextBatch waits for the caller's next batch within the limits of the document.
func (w *attempt) nextBatch(ctx context.Context) (*statement.Batch, error) {
	idle, cancel := context.WithTimeout(ctx, w.owner.idleTime())
	defer cancel()
	defer context.AfterFunc(w.owner.drainCtx, func() {
		delay.Sleep(idle, drainIdleTime)
		cancel()
	})()
	batch, err := w.request.conv.Next(idle)
	peer := string(w.node.server.ID)
	switch {
	case err == nil:
		return batch, nil
	case statement.CallerLeft(err):
		return nil, err
	case w.owner.drainCtx.Err() != nil:
		return nil, errcode.Wrap(err, errcode.Draining, "wait for caller", string(w.owner.home.config.ID))
	case w.termCtx.Err() != nil:
		return nil, errcode.Wrap(err, errcode.ConnectionLost, "transaction", peer)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return nil, errcode.Wrap(err, errcode.LimitExceeded, "transaction time", peer)
	case idle.Err() != nil && ctx.Err() == nil:
		return nil, errcode.Wrap(err, errcode.IdleTransaction, "wait for caller", peer)
	default:
		return nil, errcode.Wrap(err, errcode.ConnectionLost, "wait for caller", peer)
	}
}

// runStatement runs one batch of an open transaction in a slot of its own.
func (w *attempt) runStatement(ctx context.Context, batch *statement.Batch) (backend.Answer, error) {
	if batch.Settings != nil {
		w.request.Settings = batch.Settings
	}
	ctx, cancel := context.WithTimeout(ctx, w.statementTime())
	defer cancel()
	deadline, _ := ctx.Deadline()
	grant, err := w.owner.dispatcher.Acquire(ctx, rank.Request{
		Rank: w.request.rank, Pinned: w.node.server.ID, Deadline: deadline,
	})
	if err != nil && w.termCtx.Err() != nil {
		return backend.Answer{}, errcode.Wrap(err, errcode.ConnectionLost, "transaction", string(w.node.server.ID))
	}
	if err != nil {
		return backend.Answer{}, err
	}
	defer grant.Release()
	w.grant = grant
	w.outcome = order.New(false, w.request.deadline)
	_ = w.outcome.Fire(order.EventSend)
	x := &backend.Exchange{Batch: batch}
	if w.onPrimary() && holdsAnswer(batch.Class) {
		x.HoldAnswer = true
		x.Release = w.acknowledge
		w.request.deadline = deadline
	}
	answer, err := w.exchange(ctx, x, 0)
	if err != nil {
		return answer, w.resolveStatementError(batch, err)
	}
	return answer, nil
}

// statementTime bounds one statement of a transaction.
func (w *attempt) statementTime() time.Duration {
	limit := w.owner.statementTime()
	if w.owner.home.config.ExactClasses && w.request.Timeout > 0 {
		return min(limit, w.request.Timeout)
	}
	return limit
}

// resolveStatementError tells whether a failed batch may have ended the transaction
// with a commit. If not, the server rolls the transaction back.
func (w *attempt) resolveStatementError(batch *statement.Batch, err error) error {
	e := errcode.From(err)
	if w.outcome.State() != order.StateSent {
		return err // decided when the answer was complete
	}
	if e.Code.Name == errcode.Superseded.Name {
		return w.owner.supersededBy(e)
	}
	if e.Code.Outcome == errcode.OutcomeNotRun {
		return e
	}
	if !w.conn.Sent() || !w.mayCommit(batch.Class) || !w.onPrimary() {
		return errcode.Wrap(err, errcode.ConnectionLost, e.Step, string(w.node.server.ID))
	}
	unknownTotal.Inc()
	return e
}

// mayCommit reports whether a batch inside a transaction may commit it.
func (w *attempt) mayCommit(c statement.Class) bool {
	if w.owner.home.config.ExactClasses {
		return c == statement.ClassCommit
	}
	return holdsAnswer(c)
}

func (o *owner) transactionTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return orDefault(o.limits.TransactionTime, defaultTransactionTime)
}

func (o *owner) idleTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return orDefault(o.limits.IdleInTransaction, defaultIdleTime)
}

func (o *owner) statementTime() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return orDefault(o.limits.StatementTime, defaultTimeout)
}

func orDefault[T ~int64](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}
