package home

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
)

// claimRetryMax bounds the random delay before the retry of a claim that lost to the
// claim of another home.
const claimRetryMax = 50 * time.Millisecond

// observe records the status of a server.
func (o *owner) observe(n *node, r report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.nodes[n.server.ID] != n {
		return
	}
	n.controlFailed = false
	n.lag.observe(r.status.Replayed, r.begun, r.answered, o.commits)
	if o.view.observe(n.server.ID, r) {
		o.primaryChanged()
	}
	o.logReplicaAge(n, r.status.Replayed, r.answered)
	o.checkClaim(r.status)
	o.samplePrimary()
	o.rebuildRouting()
	o.notifyChanged()
}

// observeControlFailure records that the control connection to a server failed. A server
// that is busy, or whose answers are out of step, stays reachable.
func (o *owner) observeControlFailure(n *node, err error) {
	eventControlFailed.Log(o.home.log).Str("server", string(n.server.ID)).Err(err).Send()
	n.reportOutOfStep(err)
	if failover.ShowsRunning(err) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if n.controlFailed || o.nodes[n.server.ID] != n {
		return
	}
	n.controlFailed = true
	o.rebuildRouting()
	o.notifyChanged()
	o.requestStatus() // detects a new primary immediately
}

// primaryChanged cancels everything that runs at the old primary. The caller
// holds the lock.
func (o *owner) primaryChanged() {
	o.termLearned = time.Now()
	o.termCancel()
	o.termCtx, o.termCancel = context.WithCancel(o.ctx)
	eventPrimaryChanged.Log(o.home.log).Str("group", string(o.name)).
		Str("primary", string(o.view.primary)).Uint64("term", uint64(o.view.term)).Send()
}

// checkClaim supersedes the owner if another home has claimed the group. The caller
// holds the lock.
func (o *owner) checkClaim(s cluster.ServerStatus) {
	if o.phase.In(phaseClaiming) || o.shared() {
		return
	}
	if s.Epoch > o.claim.epoch {
		o.supersede(s.Home)
	}
}

// samplePrimary adds a proven position of the primary to the history. The
// caller holds the lock.
func (o *owner) samplePrimary() {
	if !o.phase.In(phaseServing) {
		return
	}
	at, ok := o.view.sampleTime(o.claim)
	if !ok {
		return
	}
	o.history = o.history.With(route.Sample{At: at, Position: o.view.reports[o.view.primary].status.Received})
}

// rebuildRouting replaces the routing state. The caller holds the lock.
func (o *owner) rebuildRouting() {
	g := &route.Group{Term: o.view.term, ReplicaWait: o.home.replicaWait, History: o.history, Commits: o.commits}
	if o.view.primaryKnown() {
		g.Primary = o.view.primary
	}
	for _, s := range o.spec.Servers {
		g.Servers = append(g.Servers, o.routeServer(o.nodes[s.ID]))
	}
	o.routing.Store(g)
	o.dispatcher.SetPrimary(g.Primary, o.readLimit(g))
}

func (o *owner) routeServer(n *node) route.Server {
	r := o.view.reports[n.server.ID]
	lane := rank.LaneRead
	if n.server.ID == o.view.primary {
		lane = rank.LanePrimary
	}
	return route.Server{
		ID: n.server.ID, Term: r.status.Term, Replayed: r.status.Replayed, Observed: r.begun,
		Lag: n.lag.value, Wait: o.dispatcher.ExpectedWait(cluster.RankNormal, lane),
		Ejected: n.outliers.Ejected(), Leaving: n.leaving, Reachable: r.known && !n.controlFailed,
		Diverged: o.view.terms.retention(r.status.Replayed, o.view.term) == lost,
	}
}

// readLimit returns the number of slots that reads may take at the primary. One
// is reserved for writes when no replica can serve reads.
func (o *owner) readLimit(g *route.Group) int {
	n, ok := o.nodes[g.Primary]
	if !ok {
		return 0
	}
	if g.ReadableReplicas() > 0 || len(o.nodes) == 1 {
		return n.server.Slots
	}
	return max(n.server.Slots-1, 1)
}

// setLeaving records whether a server is about to be removed.
func (o *owner) setLeaving(id cluster.ServerID, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, ok := o.nodes[id]
	if !ok || n.leaving == leaving {
		return
	}
	n.leaving = leaving
	o.rebuildRouting()
}

// claimFor returns the claim to make at a server, and false if there is none to make.
func (o *owner) claimFor(id cluster.ServerID) (backend.Claim, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.claim.epoch == 0 || o.phase.In(phaseSuperseded) {
		return backend.Claim{}, false
	}
	if o.view.reports[id].status.Epoch >= o.claim.epoch {
		return backend.Claim{}, false
	}
	return backend.Claim{Epoch: o.claim.epoch, Home: o.claim.home}, true
}

// startProof requests a proof and returns its number. Every status call that
// begins afterwards counts for it.
func (o *owner) startProof() uint64 {
	proofsTotal.Inc()
	return o.requestStatus()
}

// requestStatus requests an immediate status call to every server and returns the
// proof number that the reports will carry. It takes no lock.
func (o *owner) requestStatus() uint64 {
	seq := o.proofSeq.Add(1)
	o.requestPolls()
	return seq
}

// requestPolls ends the wait for the next status call to every server.
func (o *owner) requestPolls() {
	for _, pollNow := range *o.pollChannels.Load() {
		requestPoll(pollNow)
	}
}

// await waits until check returns true or an error. check is called with the lock
// held, and again after every change of the view or the phase.
func (o *owner) await(ctx context.Context, check func() (bool, error)) error {
	for {
		o.mu.Lock()
		ok, err := check()
		if err == nil && !ok {
			err = o.servingError()
			if o.phase.In(phaseDraining) && o.ctx.Err() == nil {
				err = nil
			}
		}
		changed := o.changed
		o.mu.Unlock()
		if ok || err != nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		case <-o.ctx.Done():
			return errcode.New(errcode.Draining, "home", string(o.home.config.ID))
		}
	}
}

// establish claims the group and then waits for a proof, from which it takes the
// position of the primary.
func (o *owner) establish() {
	if !o.shared() {
		if err := o.claimMajority(); err != nil {
			return
		}
		o.firePhase(transitionClaim)
	}
	seq := o.startProof()
	err := o.await(o.ctx, func() (bool, error) {
		if !o.view.proven(proofRequirement{proofSeq: seq, claim: o.claim, term: o.view.term}) {
			return false, nil
		}
		primary, ok := o.view.reports[o.view.primary]
		if !ok || primary.proofSeq < seq || primary.status.Role != cluster.RolePrimary {
			return false, nil
		}
		o.commits = o.commits.With(route.Sample{At: time.Now(), Position: primary.status.Received})
		o.highWater = primary.status.Received
		o.defaultFloor = primary.status.Received
		o.established = true
		_, _, _ = o.phase.Fire(transitionEstablish)
		o.notifyChanged()
		o.rebuildRouting()
		return true, nil
	})
	if err != nil {
		return
	}
	eventClaimed.Log(o.home.log).Str("group", string(o.name)).Uint64("epoch", uint64(o.claim.epoch)).Send()
}

func (o *owner) firePhase(transition string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, _, _ = o.phase.Fire(transition) // a draining owner stays draining
	o.notifyChanged()
}

// claimMajority claims epochs above every reported one until a majority has
// accepted the claim.
func (o *owner) claimMajority() error {
	for {
		seq := o.startProof()
		err := o.await(o.ctx, func() (bool, error) {
			return o.view.countReportsSince(seq) >= cluster.Majority(o.view.size), nil
		})
		if err != nil {
			return err
		}
		o.requestHandoff()
		majority, err := o.tryClaim()
		if majority || err != nil {
			return err
		}
		delay.Sleep(o.ctx, time.Duration(rand.Int64N(int64(claimRetryMax))))
	}
}

// tryClaim makes one claim. It returns false if no majority can accept it because
// other homes have made claims at the same time.
func (o *owner) tryClaim() (bool, error) {
	o.mu.Lock()
	epoch, _ := o.view.maxEpoch()
	o.claim = claim{epoch: epoch + 1, home: o.home.config.ID}
	o.mu.Unlock()
	o.startProof()
	majority := false
	err := o.await(o.ctx, func() (bool, error) {
		accepted, rejected := o.view.countClaims(o.claim)
		majority = accepted >= cluster.Majority(o.view.size)
		return majority || rejected > o.view.size-cluster.Majority(o.view.size), nil
	})
	return majority, err
}
