package home

import (
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/pool"
)

// readTarget holds what the choice of a server for a read is based on.
type readTarget struct {
	pool    *pool.Pool
	pollNow chan struct{}
	// near is set for a server in the failure domain of this process.
	near bool
}

// Parts of a preference. An idle connection of the organisation saves the opening of one,
// 12 ms of a slot, and outweighs the way to another failure domain, at most 3.5 ms.
const (
	preferIdleConnection = 2
	preferNear           = 1
)

// prefers returns the preference of a request for servers with an idle connection of its
// organisation, and for those in the failure domain of this process where VMs are of unequal
// capacity; nil if it has none. Requests that take turns at the servers prefer idle
// connections also without an organisation.
func (o *owner) prefers(r *request, even bool) func(cluster.ServerID) int {
	preferOwnDomain := o.home.config.FailureDomain != "" && o.home.unequalVMs.Load()
	if r.Organisation == "" && !even && !preferOwnDomain {
		return nil
	}
	return func(id cluster.ServerID) int {
		preference := 0
		if (r.Organisation != "" || even) && o.hasIdle(id, r.Organisation) {
			preference += preferIdleConnection
		}
		if preferOwnDomain && (*o.readTargets.Load())[id].near {
			preference += preferNear
		}
		return preference
	}
}

// hasIdle reports whether a server has an idle connection of an organisation.
func (o *owner) hasIdle(id cluster.ServerID, organisation string) bool {
	target, ok := (*o.readTargets.Load())[id]
	return ok && target.pool.HasIdle(organisation)
}
