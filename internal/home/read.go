package home

import (
	"context"
	"errors"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/order"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/statement"
)

// runRead runs a read, or a read-only transaction, on a server whose data is
// fresh enough. A read that failed before anything was sent to the caller is
// retried on another server.
func (o *owner) runRead(ctx context.Context, r *request) (statement.Result, error) {
	for {
		r.attemptNumber++
		result, err := o.tryRead(ctx, r)
		if err == nil {
			return result, nil
		}
		if r.readOnlyRefused {
			return o.runPrimary(ctx, r)
		}
		if r.attemptNumber == maxReadAttempts || !o.mayRetryRead(r, err) {
			return result, err
		}
		o.logRetry(r, result.Server, err)
		delay.Sleep(ctx, time.Duration(r.attemptNumber-1)*retryDelay)
	}
}

// logRetry counts a retry and logs its cause.
func (o *owner) logRetry(r *request, server cluster.ServerID, err error) {
	retriesTotal.Inc()
	e := errcode.From(err)
	eventRetried.Log(o.home.log).Str("request", r.ID).Str("group", string(o.name)).Str("server", string(server)).
		Int("attempt", r.attemptNumber).Str("code", e.Code.Name).Str("step", e.Step).Dur("after", time.Since(r.arrived)).
		Dur("left", time.Until(r.deadline)).AnErr("cause", e.Cause).Send()
}

func (o *owner) mayRetryRead(r *request, err error) bool {
	if r.conv.started.Load() || !time.Now().Before(r.deadline) {
		return false
	}
	if !transient(err) {
		return false
	}
	return o.retryBudget.TryWithdraw()
}

// transient reports whether a retry may succeed.
func transient(err error) bool {
	switch errcode.From(err).Code.Name {
	case errcode.ServerBusy.Name, errcode.ReplicaBehind.Name, errcode.NotPrimary.Name,
		errcode.WrongServer.Name, errcode.ServerFailed.Name:
		return true
	}
	return errcode.Is(err, errcode.ConnectionLost) || errcode.Is(err, errcode.Unknown) ||
		errcode.Is(err, errcode.Internal) || errors.Is(err, errTermChanged) || errors.Is(err, errNoResponse)
}

func (o *owner) tryRead(ctx context.Context, r *request) (statement.Result, error) {
	att, err := o.beginAttempt(ctx, r, rank.LaneRead)
	if err != nil {
		return statement.Result{}, err
	}
	att.outcome = order.New(false, r.deadline)
	x := &backend.Exchange{Batch: &r.First, MinPosition: att.required}
	if att.onPrimary() || r.proofSeq != 0 {
		x.BeforeFirstByte = o.proofGate(r, att.routing.Term)
	}
	if att.onPrimary() && r.First.Class == statement.ClassRead && !o.home.config.ExactClasses {
		x.Settings = r.readOnlySettings()
	}
	statementCtx, cancel := o.limitStatement(ctx, r)
	response, err := att.exchange(statementCtx, x, o.firstByteTimeout(r))
	cancel()
	if err != nil {
		att.end(false)
		o.recordReadFailure(ctx, r, att, err)
		return att.result, o.resolveReadError(err, att)
	}
	if response.ReadOnlyRefused {
		att.end(false)
		r.readOnlyRefused = true
		return att.result, errcode.New(errcode.NotFresh, "read-only server", string(att.node.server.ID))
	}
	att.termProven = true
	o.recordRead(att, response.Position)
	if response.Tx != backend.TxIdle {
		return o.continueTransaction(ctx, att)
	}
	att.end(false)
	return att.result, nil
}

// recordRead records a completed read. at is the server's position after the
// read, which covers all data that the read saw; it is unknown if the server did
// not report it.
func (o *owner) recordRead(att *attempt, at cluster.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	att.node.outliers.RecordSuccess(time.Now())
	att.result.Observed = at
	if !at.Known() {
		att.result.Observed = o.view.reports[att.node.server.ID].status.Replayed
	}
	if att.onPrimary() {
		readsPrimaryTotal.Inc()
		return
	}
	for _, s := range att.routing.Servers {
		if s.ID == att.node.server.ID && !at.Known() {
			att.result.Observed = s.Replayed
		}
	}
	readsReplicaTotal.Inc()
}

// recordReadFailure records a failure so that the next attempt uses another server.
func (o *owner) recordReadFailure(ctx context.Context, r *request, att *attempt, err error) {
	if ctx.Err() != nil || r.conv.disconnected.Load() || errcode.Is(err, errcode.NotFresh) || isCallersFault(err) {
		return
	}
	if !att.onPrimary() {
		r.failed = append(r.failed, att.node.server.ID)
	}
	if !refusedByServer(err) || errcode.Is(err, errcode.ServerBusy) {
		att.slot.MarkRefused()
	}
	if refusedByServer(err) {
		o.requestStatus() // the last status of the server is out of date
		return
	}
	o.recordExchangeFailure(att.node)
}

// refusedByServer reports whether err is a refusal by a server that is working.
func refusedByServer(err error) bool {
	switch errcode.From(err).Code.Name {
	case errcode.ServerBusy.Name, errcode.ReplicaBehind.Name, errcode.NotPrimary.Name:
		return true
	default:
		return false
	}
}

// isCallersFault reports whether a statement was refused for what it says, or for the memory
// that its answer takes here, which tells nothing about the server.
func isCallersFault(err error) bool {
	return errcode.Is(err, errcode.Malformed) || errcode.Is(err, errcode.LimitExceeded) || errcode.Is(err, errcode.Overloaded)
}

// resolveReadError turns the error of a failed read into one with the outcome "not run",
// since a read changes nothing, whatever outcome the adapter reported.
func (o *owner) resolveReadError(err error, att *attempt) error {
	e := errcode.From(err)
	if e.Code.Name == errcode.Superseded.Name {
		return o.supersededBy(e)
	}
	if e.Code.Outcome == errcode.OutcomeNotRun {
		return e
	}
	return errcode.Wrap(err, errcode.ConnectionLost, e.Step, string(att.node.server.ID))
}
