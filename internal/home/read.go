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

// runRead runs a read, or a read-only transaction, where it is fresh enough.
// A read that failed before anything was passed on is repeated elsewhere.
func (o *owner) runRead(ctx context.Context, r *request) (statement.Result, error) {
	for {
		r.attempt++
		result, err := o.tryRead(ctx, r)
		if err == nil {
			return result, nil
		}
		if r.refused {
			return o.runPrimary(ctx, r)
		}
		if r.attempt == maxReadAttempts || !o.mayRepeatRead(r, err) {
			return result, err
		}
		o.noteRetry(r, result.Server, err)
		delay.Sleep(ctx, time.Duration(r.attempt-1)*retryPause)
	}
}

// noteRetry tells why a request is tried again.
func (o *owner) noteRetry(r *request, server cluster.ServerID, err error) {
	retriesTotal.Inc()
	e := errcode.From(err)
	eventRetried.Log(o.home.log).Str("request", r.ID).Str("group", string(o.name)).Str("server", string(server)).
		Int("attempt", r.attempt).Str("code", e.Code.Name).Str("step", e.Step).Dur("after", time.Since(r.arrived)).
		Dur("left", time.Until(r.deadline)).Send()
}

func (o *owner) mayRepeatRead(r *request, err error) bool {
	if r.conv.passed.Load() || !time.Now().Before(r.deadline) {
		return false
	}
	if !transient(err) {
		return false
	}
	return o.budget.TryWithdraw()
}

// transient reports whether another attempt may end differently.
func transient(err error) bool {
	switch errcode.From(err).Code.Name {
	case errcode.ServerBusy.Name, errcode.ReplicaBehind.Name, errcode.NotPrimary.Name,
		errcode.WrongServer.Name, errcode.ServerFailed.Name:
		return true
	}
	return errcode.Is(err, errcode.ConnectionLost) || errcode.Is(err, errcode.Unknown) ||
		errcode.Is(err, errcode.Internal) || errors.Is(err, errTermChanged) || errors.Is(err, errSilent)
}

func (o *owner) tryRead(ctx context.Context, r *request) (statement.Result, error) {
	w, err := o.begin(ctx, r, rank.LaneRead)
	if err != nil {
		return statement.Result{}, err
	}
	w.attempts = order.New(false, r.deadline)
	x := &backend.Exchange{Batch: &r.First, After: w.need}
	if w.onPrimary() || r.ticket != 0 {
		x.Gate = o.gate(r, w.group.Term)
	}
	if w.onPrimary() && r.First.Class == statement.ClassRead && !o.home.config.ExactClasses {
		x.Settings = r.readOnly()
	}
	limited, cancel := o.limitStatement(ctx, r)
	answer, err := w.exchange(limited, x, o.patience(r))
	cancel()
	if err != nil {
		w.end(false)
		o.readFailed(ctx, r, w, err)
		return w.result, o.readError(err, w)
	}
	if answer.ReadOnlyRefused {
		w.end(false)
		r.refused = true
		return w.result, errcode.New(errcode.NotFresh, "read-only server", string(w.node.server.ID))
	}
	w.proven = true
	o.readDone(w, answer.Position)
	if answer.Tx != backend.TxIdle {
		return o.continueTransaction(ctx, w)
	}
	w.end(false)
	return w.result, nil
}

// readDone records a read. at is the server's position after the read, which
// covers all that the read saw; unknown when the server did not tell.
func (o *owner) readDone(w *work, at cluster.Position) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w.node.judge.RecordSuccess(time.Now())
	w.result.Observed = at
	if !at.Known() {
		w.result.Observed = o.view.reports[w.node.server.ID].status.Replayed
	}
	if w.onPrimary() {
		readsPrimaryTotal.Inc()
		return
	}
	for _, s := range w.group.Servers {
		if s.ID == w.node.server.ID && !at.Known() {
			w.result.Observed = s.Replayed
		}
	}
	readsReplicaTotal.Inc()
}

// readFailed notes a failure so that the next attempt goes elsewhere.
func (o *owner) readFailed(ctx context.Context, r *request, w *work, err error) {
	if ctx.Err() != nil || r.conv.left.Load() || errcode.Is(err, errcode.NotFresh) {
		return
	}
	if !w.onPrimary() {
		r.failed = append(r.failed, w.node.server.ID)
	}
	if refused(err) {
		o.refresh() // what was known of the server is out of date
		return
	}
	o.noteFailure(w.node)
}

// refused reports whether a server that works well declined a request.
func refused(err error) bool {
	switch errcode.From(err).Code.Name {
	case errcode.ServerBusy.Name, errcode.ReplicaBehind.Name, errcode.NotPrimary.Name:
		return true
	default:
		return false
	}
}

// readError states that a failed read did not run, whatever the adapter could tell.
func (o *owner) readError(err error, w *work) error {
	e := errcode.From(err)
	if e.Code.Name == errcode.Superseded.Name {
		return o.supersededBy(e)
	}
	if e.Code.Outcome == errcode.OutcomeNotRun {
		return e
	}
	return errcode.Wrap(err, errcode.ConnectionLost, e.Step, string(w.node.server.ID))
}
