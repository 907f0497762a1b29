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

// disabledMechanisms turn mechanisms off, in the fakes around the product only.
type disabledMechanisms struct {
	// majorityAck acknowledges once the primary has committed.
	majorityAck bool
	// orderIDs keeps the ids of orders from the servers.
	orderIDs bool
	// singleAttempts repeats requests of unknown outcome that have no order id.
	singleAttempts bool
	// sessionFloors takes an unknown floor of a session for none.
	sessionFloors bool
	// homeClaims lets servers take claims of homes without effect.
	homeClaims bool
	// majoritySeals lets wardens promote without the seals of a majority.
	majoritySeals bool
	// freshStatus shows homes that are set to trust the last known status of
	// servers that they cannot reach.
	freshStatus bool
	// closeUnread hands connections with an unread answer out again.
	closeUnread bool
	// exactOutcomes reports every failure as not run.
	exactOutcomes bool
	// risingRevisions puts the document of any peer in force at proxies.
	risingRevisions bool
	// documentPolling shows processes the first revision only.
	documentPolling bool
	// conditionalWrites lets operators overwrite each other's changes.
	conditionalWrites bool
	// changeRecords keeps the record of changes from operators.
	changeRecords bool
	// leavingVMs keeps the list of VMs from processes.
	leavingVMs bool
	// plannedDrain stops proxies without their drain.
	plannedDrain bool
}

func (d disabledMechanisms) wrapGateway(r statement.Runner) statement.Runner {
	if !d.singleAttempts {
		return r
	}
	return retryingRunner{r}
}

// wrapEntry changes what callers hear from their proxy.
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

// wrapControl changes what a home hears from a server. c is nil when the
// server could not be reached.
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

// statusCache is the last status that a process heard from a server.
type statusCache struct {
	enabled *atomic.Bool

	mu     sync.Mutex
	status cluster.ServerStatus
}

// cachedControl answers for a server that cannot be reached.
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
		cached.Replayed = cluster.Position{Term: cached.Term} // reads do not try to go there
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

// notRunRunner calls what failed not run.
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

// ignoredClaimControl answers claims as if they were accepted, and shows each
// home its own claim.
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
