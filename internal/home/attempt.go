package home

import (
	"context"
	"errors"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/order"
	"github.com/rattancove/rattancove/internal/pool"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statement"
)

// cancelGrace is the time that a canceled statement has to respond.
const cancelGrace = time.Second

// sqlStateReadOnly is the SQLSTATE of a write on a read-only server.
const sqlStateReadOnly = "25006"

// settingReadOnly is the setting that makes a server refuse writes outside explicit transactions.
const settingReadOnly = "default_transaction_read_only"

// errTermChanged reports that the primary was replaced while a request ran.
var errTermChanged = errors.New("the primary was replaced")

// errNoResponse reports that nothing was received on a connection within the first-byte timeout.
var errNoResponse = errors.New("the connection is silent")

// attempt is one attempt of a request on one connection. It owns the connection
// until end is called, and the slot until the server has completed the batch.
type attempt struct {
	owner   *owner
	request *request
	node    *node
	conn    *pool.Conn
	slot    *rank.Slot
	// routing is the routing state in whose term the server was chosen.
	routing *route.Group
	// outcome tracks the outcome of the request over its attempts, and after the first
	// batch of a transaction that of the current batch.
	outcome *order.Attempts
	result  statement.Result
	// termCtx is canceled when the primary is replaced; it is the owner's context on
	// replicas.
	termCtx context.Context
	// permits is where a permit is to be released at the end of a transaction on
	// the primary; nil if none is held.
	permits *transactionPermits
	// termProven is set once a response was forwarded after a proof of the term.
	termProven bool
	// broken is set when the connection must not be reused, and brokenBy if an error is why.
	broken   bool
	brokenBy error
	// wrote is set once the transaction may have written.
	wrote bool
	// transactionOpen is set while the connection is in a transaction.
	transactionOpen bool
	// required is the position that the chosen server's data must have reached.
	required cluster.Position
}

// beginAttempt acquires a slot and a connection. It starts again if the chosen replica
// was marked as leaving in the meantime, since a new connection may take long.
func (o *owner) beginAttempt(ctx context.Context, r *request, lane rank.Lane) (*attempt, error) {
	for {
		att, err := o.beginAttemptOnce(ctx, r, lane)
		if err != nil || att.onPrimary() || !o.isLeaving(att.node) {
			return att, err
		}
		att.end(false)
	}
}

func (o *owner) isLeaving(n *node) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return n.leaving
}

func (o *owner) beginAttemptOnce(ctx context.Context, r *request, lane rank.Lane) (*attempt, error) {
	att, err := o.selectServer(ctx, r, lane)
	if err != nil {
		return nil, err
	}
	slot := att.slot
	if att.node == nil {
		slot.Release()
		return nil, errcode.New(errcode.ConnectionLost, "server removed", string(slot.Server))
	}
	if att.node.server.ID != att.routing.Primary {
		att.termCtx = o.ctx
	}
	if err := att.connect(ctx); err != nil {
		slot.MarkFailed()
		slot.Release()
		if ctx.Err() == nil {
			slot.MarkRefused()
		}
		return nil, err
	}
	att.result = statement.Result{
		Server: att.node.server.ID, Home: o.home.config.ID,
		Primary: att.onPrimary(), Reason: slot.Reason,
	}
	return att, nil
}

// selectServer acquires a slot at a server that is eligible in the current term.
// A choice that was made before the primary changed is repeated: it would treat
// the replaced primary as a replica, and the promotion may have discarded the
// floor.
func (o *owner) selectServer(ctx context.Context, r *request, lane rank.Lane) (*attempt, error) {
	for {
		before := o.routing.Load()
		q, err := o.routeQuery(r)
		if err != nil {
			return nil, err
		}
		slot, chosen, required, err := o.acquire(ctx, r, lane, q)
		if err != nil {
			return nil, err
		}
		att := &attempt{owner: o, request: r, slot: slot, node: o.node(slot.Server), required: required}
		att.termCtx, att.routing = o.currentTerm()
		if before.Term == att.routing.Term && chosen.Term == att.routing.Term && chosen.Primary == att.routing.Primary {
			return att, nil
		}
		slot.Release()
	}
}

// currentTerm returns the routing state and a context that is canceled when its term ends.
func (o *owner) currentTerm() (context.Context, *route.Group) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.termCtx, o.routing.Load()
}

func (att *attempt) connect(ctx context.Context) error {
	if att.conn = att.node.pool.TryGet(att.request.Organisation); att.conn != nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, att.request.deadline)
	defer cancel()
	defer context.AfterFunc(att.termCtx, cancel)()
	conn, err := att.node.pool.Get(ctx, att.request.Organisation)
	if err != nil {
		return errcode.Wrap(err, errcode.ConnectionLost, "connect", string(att.node.server.ID))
	}
	att.conn = conn
	return nil
}

func (att *attempt) onPrimary() bool { return att.node.server.ID == att.routing.Primary }

// end returns the slot and the connection. Resetting the connection rolls back
// an open transaction.
func (att *attempt) end(openTransaction bool) {
	att.slot.Release()
	if att.permits != nil {
		att.permits.release(att.request.Organisation)
	}
	if att.broken {
		att.node.pool.Discard(att.conn, att.brokenBy)
		return
	}
	dirty := openTransaction || att.transactionOpen
	if dirty {
		rollbacksTotal.Inc()
	}
	att.node.pool.Return(att.conn, dirty)
}

// exchange runs one batch. If the exchange does not complete, the connection is
// marked broken.
//
// A positive firstByteTimeout aborts the exchange if nothing was sent to the
// caller within it, because the network path may silently drop packets. It is
// given only for attempts that can be retried. The idle connections of the pool
// are then probed.
func (att *attempt) exchange(ctx context.Context, x *backend.Exchange, firstByteTimeout time.Duration) (backend.Result, error) {
	if x.Settings == nil {
		x.Settings = att.request.Settings
	}
	x.OrderID = att.request.OrderID
	x.WantPosition = true
	x.OnBatchEnd = att.slot.Release
	runCtx, stop := context.WithCancelCause(context.WithoutCancel(ctx))
	defer stop(nil)
	defer context.AfterFunc(att.termCtx, func() { stop(errTermChanged) })()
	defer context.AfterFunc(ctx, func() { att.cancelStatement(runCtx, stop) })()
	if firstByteTimeout > 0 {
		timer := time.AfterFunc(firstByteTimeout, func() { att.abortIfSilent(stop) })
		defer timer.Stop()
	}
	begun := time.Now()
	att.request.sent = true
	response, err := att.conn.Exchange(runCtx, x, att.request.conv)
	if err != nil {
		att.slot.MarkFailed()
		att.broken, att.brokenBy = true, err
		att.node.reportOutOfStep(err)
		return response, att.annotateError(err, context.Cause(runCtx))
	}
	att.transactionOpen = response.Tx != backend.TxIdle
	att.owner.learnPosition(att, response.Position, begun)
	att.broken = response.MustClose
	if response.ServerError != nil {
		return response, response.ServerError
	}
	return response, nil
}

// annotateError adds the cause if the home itself ended an exchange. The outcome
// remains the one that the adapter reported.
func (att *attempt) annotateError(err, cause error) error {
	if !errors.Is(cause, errTermChanged) && !errors.Is(cause, errNoResponse) {
		return err
	}
	e := errcode.From(err)
	code := errcode.ConnectionLost
	if e.Code.Outcome == errcode.OutcomeUnknown {
		code = errcode.Unknown
	}
	return errcode.Wrap(errors.Join(cause, err), code, e.Step, string(att.node.server.ID))
}

// cancelStatement asks the server to cancel the statement and aborts the exchange after cancelGrace.
func (att *attempt) cancelStatement(runCtx context.Context, stop context.CancelCauseFunc) {
	defer stop(nil)
	ctx, cancel := context.WithTimeout(runCtx, cancelGrace)
	defer cancel()
	_ = att.conn.Cancel(ctx)
	<-ctx.Done()
}

// readOnlySettings returns the session's settings with writes disabled. Reads at
// the primary run with them, so that a statement that was classified as a read
// but writes is refused there as it is on a replica.
func (r *request) readOnlySettings() []statement.Setting {
	settings := make([]statement.Setting, 0, len(r.Settings)+1)
	for _, s := range r.Settings {
		if s.Name != settingReadOnly {
			settings = append(settings, s)
		}
	}
	return append(settings, statement.Setting{Name: settingReadOnly, Value: "on"})
}

// abortIfSilent aborts an exchange if nothing was sent to the caller yet.
func (att *attempt) abortIfSilent(stop context.CancelCauseFunc) {
	if att.request.conv.started.Load() {
		return
	}
	silentConnectionsTotal.Inc()
	stop(errNoResponse)
	att.node.pool.ProbeAll()
}

// acknowledge is called with a complete response that is held back. It returns
// nil once the response may be forwarded. The response to a repeated order needs
// the same proof as the first one, which may have been returned without it.
func (att *attempt) acknowledge(ctx context.Context, response backend.Result) error {
	_ = att.outcome.Fire(order.EventAnswer)
	repeat := response.Deduplicated && !att.owner.home.disabled.repeatProof
	if !response.Committed && !repeat {
		return att.acknowledgeUncommitted(ctx, response)
	}
	att.slot.Release()
	position, err := att.owner.awaitAck(ctx, att.request, att.routing.Term, response.Position)
	if err != nil {
		_ = att.outcome.Fire(order.EventFail)
		return errcode.Wrap(err, errcode.Unknown, "acknowledge", string(att.node.server.ID))
	}
	_ = att.outcome.Fire(order.EventAcknowledge)
	att.result.Position = position
	return nil
}

// acknowledgeUncommitted returns nil if the response to a batch that committed
// nothing may be forwarded. As the response may contain data, it needs a proof of
// the term unless an earlier batch of the transaction had one.
func (att *attempt) acknowledgeUncommitted(ctx context.Context, response backend.Result) error {
	var err error
	switch {
	case response.SQLState == sqlStateReadOnly && response.Tx == backend.TxIdle && !att.stillPrimary(ctx):
		err = errcode.Wrap(errTermChanged, errcode.NoPrimary, "write", string(att.node.server.ID))
	case !att.termProven:
		err = att.owner.proofGate(att.request, att.routing.Term)(ctx)
	}
	if err != nil {
		_ = att.outcome.Fire(order.EventRefuse)
		return err
	}
	_ = att.outcome.Fire(order.EventAcknowledge)
	return nil
}

// stillPrimary queries whether the server that refused a write is the primary of
// the term in which the attempt began. If it is, the refusal is returned to the
// caller.
func (att *attempt) stillPrimary(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o := att.owner
	seq := o.startProof()
	isPrimary := false
	err := o.await(ctx, func() (bool, error) {
		r := o.view.reports[att.node.server.ID]
		isPrimary = r.status.Role == cluster.RolePrimary && r.status.Term == att.routing.Term
		return r.proofSeq >= seq, nil
	})
	return err == nil && isPrimary
}

// awaitAck waits until a committed write may be acknowledged and records it. A
// position of an earlier term was assigned by a replaced primary: the current
// log may not contain it, even if it is at a later position.
func (o *owner) awaitAck(ctx context.Context, r *request, term cluster.Term, p cluster.Position) (cluster.Position, error) {
	if r.ack == environment.AckServer {
		return p, o.awaitServerAck(ctx, r, max(term, p.Term), p)
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	o.pendingAcks.Add(1)
	defer o.pendingAcks.Add(-1)
	term = max(term, p.Term)
	seq := o.startProof()
	err := o.await(ctx, func() (bool, error) {
		if o.view.term > term && !o.home.disabled.quorumProof {
			return false, errTermChanged
		}
		if !p.Known() {
			primary := o.view.reports[o.view.primary]
			if primary.proofSeq < seq || primary.status.Term != term {
				return false, nil
			}
			p = primary.status.Received
		}
		if p.Term < term && !o.home.disabled.quorumProof {
			return false, errTermChanged
		}
		requirement := proofRequirement{proofSeq: seq, claim: o.claim, term: term}
		if o.ranks.Policy(r.rank).Ack != environment.AckPrimary && !o.home.disabled.replicationWait {
			requirement.received = p
		}
		if !o.view.proven(requirement) && !o.home.disabled.quorumProof {
			return false, nil
		}
		o.recordAcknowledged(r.Session, p)
		return true, nil
	})
	return p, err
}

// recordAcknowledged records an acknowledged write. The caller holds the lock.
func (o *owner) recordAcknowledged(session string, p cluster.Position) {
	o.highWater = cluster.MaxPosition(o.highWater, p)
	o.sessionFloors.record(session, p)
	o.defaultFloor = cluster.MaxPosition(o.defaultFloor, o.sessionFloors.evictedFloor)
	o.commits = o.commits.With(route.Sample{At: time.Now(), Position: p})
	o.rebuildRouting()
}

// ackedWritesSurvivePromotion reports whether no promotion can discard an
// acknowledged write: all ranks wait for a majority, and no promotion happens
// without one.
func (o *owner) ackedWritesSurvivePromotion() bool {
	if o.spec.Promotion.NoMajority == environment.NoMajorityPromote {
		return false
	}
	for r := range cluster.Rank(cluster.RankCount) {
		if o.ranks.Policy(r).Ack == environment.AckPrimary {
			return false
		}
	}
	return true
}
