package home

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/outlier"
	"github.com/rattancove/rattancove/internal/pool"
	"github.com/rattancove/rattancove/internal/rank"
)

const (
	// reservedConnections is the number of a server's connections that are kept
	// free for control connections of this home, for wardens and for a home that
	// takes over.
	reservedConnections = 4
	// statusInterval is the time between two status calls when no request waits for one.
	statusInterval = 200 * time.Millisecond
	// currentTermInterval replaces statusInterval while the term needs no proof:
	// positions are then learned from responses, and a status call only checks
	// that an unused server works.
	currentTermInterval = 700 * time.Millisecond
	// A group is idle after idleThreshold without requests; idleInterval is the
	// time between two status calls of an idle group.
	idleThreshold = 5 * time.Second
	idleInterval  = 2 * time.Second
	// noPrimaryInterval is the time between two status calls while no primary is reachable.
	noPrimaryInterval = 20 * time.Millisecond
	// ackInterval is the time between two status calls while writes wait for replication.
	ackInterval = 2 * time.Millisecond
	// minCallInterval is the minimum time between the starts of two status calls.
	// Proofs that are requested in between share the next call.
	minCallInterval = time.Millisecond
	// callTimeout bounds one call on a control connection, and opening one.
	callTimeout = 500 * time.Millisecond
	// noClaimsShare is the fraction of a server's connections that one home may
	// use where no claims are made: even while the connections of an earlier home
	// are still open, the usual number must be available.
	noClaimsShare = 0.625
	// unusedConnTimeout is how long connections in excess of the slots stay open
	// without use where no claim closes those of an earlier home. It is a few times
	// the length of a transaction with pauses.
	unusedConnTimeout = 2 * time.Second
	// redialInitial and redialMax bound the backoff before a control connection is reopened.
	redialInitial = 20 * time.Millisecond
	redialMax     = 500 * time.Millisecond
)

// node is an owner's state for one backend server: the pool of data connections
// and the goroutine of the control connection.
type node struct {
	owner  *owner
	server cluster.Server
	pool   *pool.Pool
	ctx    context.Context
	stop   context.CancelFunc
	// pollNow requests an immediate status call.
	pollNow chan struct{}
	// permits limits the open transactions, so that some connections remain
	// available for single statements.
	permits *transactionPermits

	// The owner's lock guards the fields below.

	// controlFailed is set while the control connection is down.
	controlFailed bool
	leaving       bool
	// outliers tracks the outcomes of requests at the server.
	outliers outlier.Detector
	lag      lagEstimate
	// behind is set while the age of the replica's data exceeds behindAfter.
	behind bool
}

// startNode starts a node for s. The caller holds the owner's lock.
func (o *owner) startNode(s cluster.Server) *node {
	limit := connectionLimit(s, o.home.config)
	n := &node{owner: o, server: s, pollNow: make(chan struct{}, 1)}
	n.permits = newTransactionPermits(limit - s.Slots)
	n.ctx, n.stop = context.WithCancel(o.ctx)
	config := pool.Config{Limit: limit, Dial: n.dial, OnResetError: n.reportOutOfStep}
	if o.home.config.NoClaims {
		config.IdleTime, config.KeepIdle = unusedConnTimeout, s.Slots
	}
	n.pool = pool.New(config)
	o.workers.Go(n.monitor)
	return n
}

func connectionLimit(s cluster.Server, c Config) int {
	if c.Policy == rank.PolicyStatic {
		return max(s.Connections/max(c.Proxies, 1), 1)
	}
	if c.NoClaims {
		return max(int(noClaimsShare*float64(s.Connections)), 1)
	}
	return max(s.Connections-reservedConnections, s.Connections/2, 1)
}

// dial opens a connection on which only statements of the organisation may run.
func (n *node) dial(ctx context.Context, organisation string) (backend.Conn, error) {
	conn, err := n.owner.home.dialer.Dial(ctx, n.server, n.owner.name, organisation, n.owner.backendClaim())
	n.reportOutOfStep(err)
	if err != nil && n.connectionsExhausted(err) {
		n.owner.home.reclaim(n.owner, n)
	}
	return conn, err
}

// monitor maintains a control connection and polls the server's status until the node stops.
func (n *node) monitor() {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = redialInitial
	retry.MaxInterval = redialMax
	for n.ctx.Err() == nil {
		control, err := n.dialControl()
		if err == nil {
			err = n.poll(control, retry)
			_ = control.Close()
		}
		if n.ctx.Err() != nil {
			return
		}
		n.owner.observeControlFailure(n, err)
		delay.Sleep(n.ctx, retry.NextBackOff())
	}
}

func (n *node) dialControl() (backend.Control, error) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	return n.owner.home.dialer.DialControl(ctx, n.server, n.owner.name)
}

// poll requests the status repeatedly until a call fails.
func (n *node) poll(control backend.Control, retry backoff.BackOff) error {
	for {
		r := report{known: true, proofSeq: n.owner.proofSeq.Load(), asked: time.Now()}
		r.begun = r.asked
		status, err := n.claimOrStatus(control)
		if err != nil {
			return err
		}
		retry.Reset()
		r.status = status
		r.answered = time.Now()
		n.owner.observe(n, r)
		if err := n.waitForNextCall(r); err != nil {
			return err
		}
	}
}

// claimOrStatus makes the owner's claim if the server does not have it yet, and
// otherwise queries the status.
func (n *node) claimOrStatus(control backend.Control) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	statusCallsTotal.Inc()
	if c, ok := n.owner.claimFor(n.server.ID); ok {
		status, err := control.Claim(ctx, c)
		if err == nil {
			return status, nil
		}
	}
	return control.Status(ctx)
}

// waitForNextCall waits until the next call is due. If a proof was requested
// since the last call began, that is after minCallInterval. Withheld acknowledgements share
// the calls that are made every copiesInterval.
func (n *node) waitForNextCall(last report) error {
	if spare := minCallInterval - time.Since(last.begun); spare > 0 {
		delay.Sleep(n.ctx, spare)
	}
	if n.owner.proofSeq.Load() > last.proofSeq {
		return n.ctx.Err()
	}
	interval := statusInterval
	if n.owner.termIsCurrent() {
		interval = currentTermInterval
	}
	if n.owner.isIdle() {
		interval = idleInterval
	}
	if !n.owner.routing.Load().PrimaryReachable() {
		interval = noPrimaryInterval
	}
	if n.owner.pendingCopies.Load() > 0 {
		interval = copiesInterval
	}
	if n.owner.pendingAcks.Load() > 0 {
		interval = ackInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-n.pollNow:
		if n.owner.pendingCopies.Load() > 0 && n.owner.proofSeq.Load() == last.proofSeq {
			delay.Sleep(n.ctx, copiesInterval-time.Since(last.begun))
		}
	case <-timer.C:
	case <-n.ctx.Done():
	}
	return n.ctx.Err()
}

func requestPoll(pollNow chan<- struct{}) {
	select {
	case pollNow <- struct{}{}:
	default:
	}
}
