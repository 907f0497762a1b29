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

// switches turn mechanisms off, in the fakes around the product only.
type switches struct {
	// majorityAck acknowledges once the primary has committed.
	majorityAck bool
	// orderIDs keeps the ids of orders from the servers.
	orderIDs bool
	// unknownOnce repeats requests of unknown outcome that have no order id.
	unknownOnce bool
	// floors takes an unknown floor of a session for none.
	floors bool
	// claims lets servers take claims of homes without effect.
	claims bool
	// seals lets wardens promote without the seals of a majority.
	seals bool
	// freshStatus shows homes that are set to trust the last known status of
	// servers that they cannot reach.
	freshStatus bool
	// unread hands connections with an unread answer out again.
	unread bool
	// outcomes reports every failure as not run.
	outcomes bool
	// rising puts the document of any peer in force at proxies.
	rising bool
	// looks shows processes the first revision only.
	looks bool
	// conditions lets operators overwrite each other's changes.
	conditions bool
	// changeIDs keeps the record of changes from operators.
	changeIDs bool
	// leaving keeps the list of VMs from processes.
	leaving bool
	// drain stops proxies without their drain.
	drain bool
}

func (s switches) wrapGateway(r statement.Runner) statement.Runner {
	if !s.unknownOnce {
		return r
	}
	return repeatingRunner{r}
}

// wrapEntry changes what callers hear from their proxy.
func (s switches) wrapEntry(r statement.Runner) statement.Runner {
	if !s.outcomes {
		return r
	}
	return denyingRunner{r}
}

func (s switches) wrapHome(r statement.Runner) statement.Runner {
	if !s.floors {
		return r
	}
	return floorlessRunner{r}
}

// wrapControl changes what a home hears from a server. c is nil when the
// server could not be reached.
func (s switches) wrapControl(c backend.Control, dialErr error, last *lastStatus) (backend.Control, error) {
	if s.freshStatus && (dialErr == nil || last.trusted.Load()) {
		return &trustingControl{Control: c, last: last}, nil
	}
	if dialErr != nil {
		return nil, dialErr
	}
	if s.claims {
		return &unclaimedControl{Control: c}, nil
	}
	return c, nil
}

// lastStatus is the last status that a process heard from a server.
type lastStatus struct {
	trusted *atomic.Bool

	mu     sync.Mutex
	status cluster.ServerStatus
}

// trustingControl answers for a server that cannot be reached.
type trustingControl struct {
	backend.Control
	last *lastStatus
}

func (c *trustingControl) remember(status cluster.ServerStatus, err error) (cluster.ServerStatus, error) {
	c.last.mu.Lock()
	defer c.last.mu.Unlock()
	if err == nil {
		c.last.status = status
	}
	if err != nil && c.last.trusted.Load() && c.last.status.Server != "" && !errcode.Is(err, errcode.Superseded) {
		forged := c.last.status
		forged.Replayed = cluster.Position{Term: forged.Term} // reads do not try to go there
		return forged, nil
	}
	return status, err
}

func (c *trustingControl) Status(ctx context.Context) (cluster.ServerStatus, error) {
	if c.Control == nil {
		return c.remember(cluster.ServerStatus{}, providertest.ErrUnavailable)
	}
	return c.remember(c.Control.Status(ctx))
}

func (c *trustingControl) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	if c.Control == nil {
		return cluster.ServerStatus{}, providertest.ErrUnavailable
	}
	return c.Control.Claim(ctx, claim)
}

func (c *trustingControl) Close() error {
	if c.Control == nil {
		return nil
	}
	return c.Control.Close()
}

type repeatingRunner struct{ statement.Runner }

func (r repeatingRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	result, err := r.Runner.Run(ctx, req, conv)
	if err != nil && req.First.Class == statement.ClassWrite && errcode.Is(err, errcode.Unknown) {
		return r.Runner.Run(ctx, req, conv)
	}
	return result, err
}

// denyingRunner calls what failed not run.
type denyingRunner struct{ statement.Runner }

func (r denyingRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	result, err := r.Runner.Run(ctx, req, conv)
	if err != nil && errcode.From(err).Code.Outcome == errcode.OutcomeUnknown {
		err = errcode.Wrap(err, errcode.ConnectionLost, "run", string(req.Group))
	}
	return result, err
}

type floorlessRunner struct{ statement.Runner }

func (r floorlessRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	sent := *req
	sent.FloorExact = true
	return r.Runner.Run(ctx, &sent, conv)
}

// unclaimedControl answers claims as if they were accepted, and shows each
// home its own claim.
type unclaimedControl struct {
	backend.Control
	claim backend.Claim
}

func (c *unclaimedControl) Status(ctx context.Context) (cluster.ServerStatus, error) {
	status, err := c.Control.Status(ctx)
	if err == nil && c.claim.Epoch > 0 {
		status.Epoch, status.Home = c.claim.Epoch, c.claim.Home
	}
	return status, err
}

func (c *unclaimedControl) Claim(ctx context.Context, claim backend.Claim) (cluster.ServerStatus, error) {
	c.claim = claim
	return c.Status(ctx)
}
