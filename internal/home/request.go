package home

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
	"github.com/rattancove/rattancove/internal/statement"
)

// maxReadAttempts bounds the attempts of one read.
const maxReadAttempts = 4

const (
	// minFirstByteTimeout is the minimum time that a first attempt has to produce
	// its first byte.
	minFirstByteTimeout = 300 * time.Millisecond
	// firstByteCostFactor is the multiple of the average cost that a first attempt may take.
	firstByteCostFactor = 20
)

// request is a request that the owner is processing.
type request struct {
	*statement.Request
	rank     cluster.Rank
	conv     *trackedConversation
	arrived  time.Time
	deadline time.Time
	// objective is the time by which the response should arrive; zero if there is none.
	objective time.Time
	// proofSeq is the number of a proof that was requested after the request
	// arrived, so that it shows the state at some time after the arrival. It is
	// zero if no proof was requested.
	proofSeq uint64
	// sent is set once a batch was sent to a server.
	sent bool
	// failed names servers on which the request has failed.
	failed []cluster.ServerID
	// ack determines when the writes of the request are acknowledged.
	ack environment.AckPolicy
	// attemptNumber is the number of the current attempt, from 1.
	attemptNumber int
	// readOnlyRefused is set when a server refused the request as a write on a
	// read-only session.
	readOnlyRefused bool
}

func (o *owner) newRequest(req *statement.Request, conv statement.Conversation) *request {
	r := &request{
		Request: req, rank: rankOf(req), conv: &trackedConversation{Conversation: conv},
		arrived: time.Now(),
	}
	r.deadline = r.arrived.Add(orDefault(req.Timeout, defaultRequestTimeout))
	if req.Objective != 0 {
		r.objective = r.arrived.Add(req.Objective)
	}
	o.mu.Lock()
	r.ack = o.ranks.Policy(r.rank).Ack
	o.mu.Unlock()
	return r
}

// run executes one request.
func (o *owner) run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	size := int64(len(req.First.Messages))
	if err := o.admit(size); err != nil {
		return statement.Result{}, err
	}
	defer o.requestDone(size)
	r := o.newRequest(req, conv)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(o.ctx, cancel)()
	refund, err := o.admitToQuota(ctx, r)
	if err != nil {
		return statement.Result{}, err
	}
	defer refund()
	o.retryBudget.Deposit()
	if err := o.awaitServing(ctx, r); err != nil {
		return statement.Result{}, err
	}
	if o.needsProof(r) && !o.termIsCurrent() {
		r.proofSeq = o.startProof()
	}
	if req.First.Class == statement.ClassRead || req.First.Class == statement.ClassBeginReadOnly {
		return o.runRead(ctx, r)
	}
	return o.runPrimary(ctx, r)
}

// admitToQuota takes the operation into the quota of its organisation. The returned
// function gives it back if no server was sent the operation.
func (o *owner) admitToQuota(ctx context.Context, r *request) (func(), error) {
	if o.home.config.Quotas == nil || r.Organisation == "" {
		return func() {}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	refund, err := o.home.config.Quotas.Admit(ctx, r.Organisation)
	return func() {
		if !r.sent && refund != nil {
			refund()
		}
	}, err
}

// awaitServing waits until the owner is established. A read with an exact
// floor needs no primary and may run once the claim has been accepted.
func (o *owner) awaitServing(ctx context.Context, r *request) error {
	if o.phase.In(phaseServing) {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	code := errcode.NoHome
	err := o.await(ctx, func() (bool, error) {
		if o.phase.In(phaseClaimed) {
			code = errcode.NoPrimary
			return !o.needsProof(r), nil
		}
		return o.established, nil
	})
	if err != nil && ctx.Err() != nil {
		return errcode.Wrap(err, code, "claim", string(o.name))
	}
	return err
}

// needsProof reports whether the request needs a proof by a majority that this
// owner and its primary are the current ones.
func (o *owner) needsProof(r *request) bool {
	if r.First.Class == statement.ClassWrite && r.ack == environment.AckServer {
		return false
	}
	read := r.First.Class == statement.ClassRead || r.First.Class == statement.ClassBeginReadOnly
	return !read || !r.FloorExact || r.Freshness.Mode == statement.FreshnessLatest
}

// termIsCurrent reports whether the term is known to be current without a proof.
func (o *owner) termIsCurrent() bool {
	terms := o.home.config.Terms
	return terms != nil && terms.Valid(o.name, o.routing.Load().Term)
}

// proofGate returns a function that waits for the proof that the owner and the term
// were current after the request arrived. The proof is requested here if it
// became necessary only because the primary was chosen.
func (o *owner) proofGate(r *request, term cluster.Term) func(context.Context) error {
	if r.proofSeq == 0 && !o.termIsCurrent() {
		r.proofSeq = o.startProof()
	}
	return func(ctx context.Context) error {
		if terms := o.home.config.Terms; terms != nil && terms.Valid(o.name, term) {
			return nil
		}
		if r.proofSeq == 0 {
			r.proofSeq = o.startProof()
		}
		err := o.await(ctx, func() (bool, error) {
			if o.view.term != term {
				return false, errTermChanged
			}
			proven := o.view.proven(proofRequirement{proofSeq: r.proofSeq, claim: o.claim, term: term})
			return proven || o.home.disabled.quorumProof, nil
		})
		if err != nil {
			return errcode.Wrap(err, errcode.NotFresh, "proof of term", string(o.name))
		}
		return nil
	}
}

// floor returns the position that a read of the request must see, and whether it
// covers all that the session must see. The floor of the session itself must be
// part of the current log. Where that is not exact, the home uses its own
// floors; if a promotion discarded records below them, they are lowered to the
// start of the current term.
func (o *owner) floor(r *request) (cluster.Position, bool, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	floor := r.Floor
	known := true
	homeFloor := cluster.Position{}
	if !r.FloorExact && !o.home.disabled.sessionFloors {
		known = !o.shared()
		remembered, ok := o.sessionFloors.floor(r.Session)
		floor = cluster.MaxPosition(floor, remembered)
		switch {
		case r.Session == "":
			homeFloor = o.highWater
		case !ok:
			homeFloor = o.defaultFloor
		}
	}
	if r.Freshness.Mode == statement.FreshnessLatest {
		homeFloor = cluster.MaxPosition(homeFloor, o.highWater)
		known = !o.shared()
	}
	err := o.checkRetained(floor)
	return cluster.MaxPosition(floor, o.view.terms.clamp(homeFloor, o.view.term)), known, err
}

// checkRetained refuses a position that is not in the log of the current term.
// Where the start of a term is unknown, a position counts as retained only if
// the promotion policy keeps every acknowledged write. The caller holds the lock.
func (o *owner) checkRetained(p cluster.Position) error {
	switch o.view.terms.retention(p, o.view.term) {
	case retained:
		return nil
	case undecided:
		if o.ackedWritesSurvivePromotion() {
			return nil
		}
	}
	return errcode.New(errcode.PositionLost, "floor "+p.String(), string(o.name))
}

// routeQuery returns the routing query for the request.
func (o *owner) routeQuery(r *request) (route.Query, error) {
	floor, known, err := o.floor(r)
	return route.Query{
		Class: r.First.Class, Floor: floor, FloorKnown: known, Freshness: r.Freshness,
		Arrived: r.arrived, PrimaryOnly: r.readOnlyRefused, Failed: r.failed,
	}, err
}

// acquire waits for a slot at a server that is eligible for the request. It
// returns the routing state in which the server was chosen, and the position
// that the server's data must have reached.
func (o *owner) acquire(ctx context.Context, r *request, lane rank.Lane, q route.Query) (*rank.Slot, *route.Group, cluster.Position, error) {
	var chosen *route.Group
	var required cluster.Position
	even := o.spreadsLoad()
	slot, err := o.dispatcher.Acquire(ctx, rank.Request{
		Rank: r.rank, Lane: lane, Organisation: r.Organisation, Bytes: len(r.First.Messages), Objective: r.objective, Deadline: r.deadline,
		Eligible: func(id cluster.ServerID, now time.Time) rank.Eligibility {
			routing := o.routing.Load()
			eligibility, position := o.evaluate(&q, routing, id, even, now)
			eligibility.Spare = eligibility.Spare && o.hasIdle(id, r.Organisation)
			if eligibility.OK || eligibility.Spare {
				chosen, required = routing, position
			}
			return eligibility
		},
		Prefers: o.prefers(r, even),
	})
	if err == nil {
		waitSeconds[r.rank].Update(slot.Waited.Seconds())
		return slot, chosen, required, nil
	}
	o.recordRefusal(r, lane, &q, refusalCauseOf(err))
	if !o.routing.Load().PrimaryReachable() && lane == rank.LanePrimary && !errcode.Is(err, errcode.Draining) {
		return nil, nil, required, errcode.Wrap(err, errcode.NoPrimary, "wait for primary", string(o.name))
	}
	return nil, nil, required, err
}

// evaluate decides whether the query may run on one server with a free slot. The
// second result is the position that the server's data must have reached.
func (o *owner) evaluate(q *route.Query, routing *route.Group, id cluster.ServerID, even bool, now time.Time) (rank.Eligibility, cluster.Position) {
	option, ok := route.DecideServer(q, routing, id, now)
	if !ok {
		return rank.Eligibility{}, cluster.Position{}
	}
	if option.ReplayOverdue {
		o.requestReplay(id, even)
	}
	if option.NotBefore.After(now) {
		spare := even && option.Reason == route.ReasonBusy && o.termIsCurrent() && routing.HasFreshReplica(q, now)
		return rank.Eligibility{RetryAt: option.NotBefore, Reason: string(option.Reason), Spare: spare}, cluster.Position{}
	}
	return rank.Eligibility{OK: true, Reason: string(option.Reason)}, option.RequiredPosition
}

// firstByteTimeout returns the time after which an attempt that can be retried is
// aborted if nothing was received: well above the average cost, four times that
// for the second attempt, and unlimited (zero) for later ones.
func (o *owner) firstByteTimeout(r *request) time.Duration {
	limit := max(minFirstByteTimeout, firstByteCostFactor*o.dispatcher.Cost(r.rank))
	switch r.attemptNumber {
	case 1:
	case 2:
		limit *= 4
	default:
		return 0
	}
	if limit >= time.Until(r.deadline)/2 {
		return 0
	}
	return limit
}

func (o *owner) node(id cluster.ServerID) *node {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.nodes[id]
}
