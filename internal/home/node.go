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
	// reservedConnections are left to control connections of this home, to
	// wardens and to a home that takes over.
	reservedConnections = 4
	// statusInterval is the time between two status calls when nothing waits for one.
	statusInterval = 200 * time.Millisecond
	// grantedInterval replaces statusInterval while the term needs no proof:
	// positions are learned from answers then, and a status only shows whether
	// an unused server works.
	grantedInterval = 700 * time.Millisecond
	// idleAfter is the time without requests after which a group is idle, and
	// idleInterval the time between two status calls of an idle group.
	idleAfter    = 5 * time.Second
	idleInterval = 2 * time.Second
	// searchInterval is the time between two status calls while no primary is reachable.
	searchInterval = 20 * time.Millisecond
	// ackInterval is the time between two status calls while writes wait for replication.
	ackInterval = 2 * time.Millisecond
	// callSpacing is the least time between the beginnings of two status calls.
	// Proofs that are asked for meanwhile share the next call.
	callSpacing = time.Millisecond
	// callTimeout bounds one call on a control connection and its opening.
	callTimeout = 500 * time.Millisecond
	// unclaimedShare is the part of a server's connections that one home may
	// take where nothing is claimed: beside those that an earlier home left open
	// there must be places for as many as usual.
	unclaimedShare = 0.625
	// unusedTime is how long connections beyond the slots stay open without use
	// where no claim ends those of an earlier home: a few times the length of a
	// transaction with pauses.
	unusedTime = 2 * time.Second
	// redialInitial and redialMax bound the wait before a control connection is opened anew.
	redialInitial = 20 * time.Millisecond
	redialMax     = 500 * time.Millisecond
)

// node is an owner's side of one backend server: the pool of data connections
// and the goroutine of the control connection.
type node struct {
	owner  *owner
	server cluster.Server
	pool   *pool.Pool
	ctx    context.Context
	stop   context.CancelFunc
	// kick asks for a status call at once.
	kick chan struct{}
	// pins are held by open transactions, so that some connections always
	// serve single statements.
	pins *pins

	// The owner's lock guards the fields below.

	failing bool
	leaving bool
	// judge follows the outcomes of requests at the server.
	judge outlier.Detector
	lag   lagEstimate
	// behind is set while the replica's data is old.
	behind bool
}

// startNode starts a node. The caller holds the owner's lock.
func (o *owner) startNode(s cluster.Server) *node {
	limit := connectionLimit(s, o.home.config)
	n := &node{owner: o, server: s, kick: make(chan struct{}, 1)}
	n.pins = newPins(limit - s.Slots)
	n.ctx, n.stop = context.WithCancel(o.ctx)
	config := pool.Config{Limit: limit, Dial: n.dial}
	if o.home.config.Unclaimed {
		config.IdleTime, config.KeepIdle = unusedTime, s.Slots
	}
	n.pool = pool.New(config)
	o.workers.Go(n.monitor)
	return n
}

func connectionLimit(s cluster.Server, c Config) int {
	if c.Policy == rank.PolicyStatic {
		return max(s.Connections/max(c.Proxies, 1), 1)
	}
	if c.Unclaimed {
		return max(int(unclaimedShare*float64(s.Connections)), 1)
	}
	return max(s.Connections-reservedConnections, s.Connections/2, 1)
}

func (n *node) dial(ctx context.Context) (backend.Conn, error) {
	conn, err := n.owner.home.dialer.Dial(ctx, n.server, n.owner.name, n.owner.backendClaim())
	if err != nil && n.lockedOut(err) {
		n.owner.home.reclaim(n.owner, n)
	}
	return conn, err
}

// monitor keeps a control connection and reports the server's status until the node stops.
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
		n.owner.observeFailure(n, err)
		delay.Sleep(n.ctx, retry.NextBackOff())
	}
}

func (n *node) dialControl() (backend.Control, error) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	return n.owner.home.dialer.DialControl(ctx, n.server, n.owner.name)
}

// poll calls for the status until a call fails.
func (n *node) poll(control backend.Control, retry backoff.BackOff) error {
	for {
		r := report{known: true, ticket: n.owner.ticket.Load(), begun: time.Now()}
		status, err := n.call(control)
		if err != nil {
			return err
		}
		retry.Reset()
		r.status = status
		r.answered = time.Now()
		n.owner.observe(n, r)
		if err := n.pause(r); err != nil {
			return err
		}
	}
}

// call makes the owner's claim where the server does not have it yet, and
// otherwise asks for the status.
func (n *node) call(control backend.Control) (cluster.ServerStatus, error) {
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

// pause waits until the next call is due: as soon as the spacing allows when a
// proof was asked for since the last call began.
func (n *node) pause(last report) error {
	if spare := callSpacing - time.Since(last.begun); spare > 0 {
		delay.Sleep(n.ctx, spare)
	}
	if n.owner.ticket.Load() > last.ticket {
		return n.ctx.Err()
	}
	interval := statusInterval
	if n.owner.stands() {
		interval = grantedInterval
	}
	if n.owner.idle() {
		interval = idleInterval
	}
	if !n.owner.group.Load().PrimaryReachable() {
		interval = searchInterval
	}
	if n.owner.acking.Load() > 0 {
		interval = ackInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-n.kick:
	case <-timer.C:
	case <-n.ctx.Done():
	}
	return n.ctx.Err()
}

func wake(kick chan<- struct{}) {
	select {
	case kick <- struct{}{}:
	default:
	}
}
