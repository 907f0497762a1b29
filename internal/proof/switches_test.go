package proof

import (
	"context"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
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
	// seals lets wardens believe that every server accepted a seal.
	seals bool
}

func (s switches) wrapGateway(r statement.Runner) statement.Runner {
	if !s.unknownOnce {
		return r
	}
	return repeatingRunner{r}
}

func (s switches) wrapHome(r statement.Runner) statement.Runner {
	if !s.floors {
		return r
	}
	return floorlessRunner{r}
}

func (s switches) wrapControl(f *fleet, c backend.Control, server cluster.Server, group cluster.GroupName, _ string) backend.Control {
	if s.claims {
		c = &unclaimedControl{Control: c}
	}
	if s.seals {
		c = &unsealedControl{Control: c, fleet: f, server: server.ID, group: group}
	}
	return c
}

type repeatingRunner struct{ statement.Runner }

func (r repeatingRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	result, err := r.Runner.Run(ctx, req, conv)
	if err != nil && req.First.Class == statement.ClassWrite && errcode.Is(err, errcode.Unknown) {
		return r.Runner.Run(ctx, req, conv)
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

// unsealedControl forges the answers to seals of servers that cannot be reached.
type unsealedControl struct {
	backend.Control
	fleet  *fleet
	server cluster.ServerID
	group  cluster.GroupName
}

func (c *unsealedControl) Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	status, err := c.Control.Seal(ctx, term, holder)
	if err != nil && !errcode.Is(err, errcode.Superseded) {
		status = cluster.ServerStatus{Server: c.server, Role: cluster.RoleSealed, Term: term, SealHolder: holder}
		return status, nil
	}
	return status, err
}
