package proof

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/statement"
)

// disabledMechanisms selects the mechanisms that are disabled. They are disabled by
// fakes and settings around the product's code and not in it.
type disabledMechanisms struct {
	// majorityAck, if set, disables the wait for a majority: commits are acknowledged
	// once the primary has them.
	majorityAck bool
	// orderIDs, if set, disables the detection of repeated orders: servers do not
	// receive the ids of orders.
	orderIDs bool
	// singleAttempts, if set, disables the single attempt of writes without an order
	// id: they are repeated after an unknown outcome.
	singleAttempts bool
	// sessionFloors, if set, disables the caution with sessions of unknown floor: homes
	// treat it as no floor.
	sessionFloors bool
	// homeClaims, if set, disables the claims of homes: they have no effect at the
	// servers.
	homeClaims bool
	// majoritySeals, if set, disables the wait for seals: wardens promote without the
	// seals of a majority.
	majoritySeals bool
	// freshStatus, if set, disables the need for a fresh status: homes whose dialer has
	// useStatusCache set get the last known status of servers that they cannot reach.
	freshStatus bool
	// closeUnread, if set, disables the close of connections with an unread answer:
	// they are reused.
	closeUnread bool
	// exactOutcomes, if set, disables the report of unknown outcomes: callers get the
	// outcome not run instead.
	exactOutcomes bool
	// risingRevisions, if set, disables the check of revisions: proxies apply the
	// document of any peer, even an older one.
	risingRevisions bool
	// documentPolling, if set, disables the poll for new documents: processes read the
	// first revision only.
	documentPolling bool
	// conditionalWrites, if set, disables the conditions of writes: operators overwrite
	// each other's changes.
	conditionalWrites bool
	// changeRecords, if set, disables the lookup of change ids: operators do not see the
	// records of published changes.
	changeRecords bool
	// leavingVMs, if set, disables the notice of leaving VMs: processes get an empty list.
	leavingVMs bool
	// plannedDrain, if set, disables the drain: planned stops end proxies at once.
	plannedDrain bool
}

func (d disabledMechanisms) wrapGateway(r statement.Runner) statement.Runner {
	if !d.singleAttempts {
		return r
	}
	return retryingRunner{r}
}

// wrapEntry wraps the runner that proxies call for their callers.
func (d disabledMechanisms) wrapEntry(r statement.Runner) statement.Runner {
	if !d.exactOutcomes {
		return r
	}
	return notRunRunner{r}
}

func (d disabledMechanisms) wrapHome(r statement.Runner) statement.Runner {
	if !d.sessionFloors {
		return r
	}
	return noFloorRunner{r}
}

// wrapControl wraps a home's control connection to a server. c is nil if the server
// could not be reached.
func (d disabledMechanisms) wrapControl(c backend.Control, dialErr error, cache *statusCache) (backend.Control, error) {
	if d.freshStatus && (dialErr == nil || cache.enabled.Load()) {
		return &cachedControl{Control: c, cache: cache}, nil
	}
	if dialErr != nil {
		return nil, dialErr
	}
	if d.homeClaims {
		return &ignoredClaimControl{Control: c}, nil
	}
	return c, nil
}

// statusCache holds the last status that a process received from a server.
type statusCache struct {
	enabled *atomic.Bool

	mu     sync.Mutex
	status cluster.ServerStatus
}

// cachedControl answers with the cached status if the server cannot be reached.
type cachedControl struct {
	backend.Control
	cache *statusCache
}

func (c *cachedControl) statusOrCached(status cluster.ServerStatus, err error) (cluster.ServerStatus, error) {
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	if err == nil {
		c.cache.status = status
	}
	if err != nil && c.cache.enabled.Load() && c.cache.status.Server != "" && !errcode.Is(err, errcode.Superseded) {
		cached := c.cache.status
		cached.Replayed = cluster.Position{Term: cached.Term} // keeps reads from being sent to it
		return cached, nil
	}
	return status, err
}

func (c *cachedControl) Status(ctx context.Context) (cluster.ServerStatus, error) {
	if c.Control == nil {
		return c.statusOrCached(cluster.ServerStatus{}, providertest.ErrUnavailable)
	}
	return c.statusOrCached(c.Control.Status(ctx))
}

func (c *cachedControl) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	if c.Control == nil {
		return cluster.ServerStatus{}, providertest.ErrUnavailable
	}
	return c.Control.Claim(ctx, claim)
}

func (c *cachedControl) Close() error {
	if c.Control == nil {
		return nil
	}
	return c.Control.Close()
}

type retryingRunner struct{ statement.Runner }

func (r retryingRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	result, err := r.Runner.Run(ctx, req, conv)
	if err != nil && req.First.Class == statement.ClassWrite && errcode.Is(err, errcode.Unknown) {
		return r.Runner.Run(ctx, req, conv)
	}
	return result, err
}

// notRunRunner reports requests of unknown outcome as not run.
type notRunRunner struct{ statement.Runner }

func (r notRunRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	result, err := r.Runner.Run(ctx, req, conv)
	if err != nil && errcode.From(err).Code.Outcome == errcode.OutcomeUnknown {
		err = errcode.Wrap(err, errcode.ConnectionLost, "run", string(req.Group))
	}
	return result, err
}

type noFloorRunner struct{ statement.Runner }

func (r noFloorRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	sent := *req
	sent.FloorExact = true
	return r.Runner.Run(ctx, &sent, conv)
}

// ignoredClaimControl answers claims as if they were accepted but does not send them,
// and returns a home's own claim as the server's status.
type ignoredClaimControl struct {
	backend.Control
	claim backend.Claim
}

func (c *ignoredClaimControl) Status(ctx context.Context) (cluster.ServerStatus, error) {
	status, err := c.Control.Status(ctx)
	if err == nil && c.claim.Epoch > 0 {
		status.Epoch, status.Home = c.claim.Epoch, c.claim.Home
	}
	return status, err
}

func (c *ignoredClaimControl) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	c.claim = claim
	return c.Status(ctx)
}
