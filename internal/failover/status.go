package failover

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Observation is the state of one server as observed by this warden.
type Observation struct {
	// Status is the last status that the server reported.
	Status cluster.ServerStatus
	// RequestedAt is the time before the request for Status was sent; zero if the
	// server has never responded.
	RequestedAt time.Time
	// FailingSince is the time before the first of the current run of failed new
	// connections; zero while the server is reachable.
	FailingSince time.Time
	// LastFailure is the time before the last failed new connection.
	LastFailure time.Time
	// ConsecutiveFailures is the length of the current run of failures.
	ConsecutiveFailures int
}

// hasStatus reports whether the server has ever responded.
func (o Observation) hasStatus() bool { return !o.RequestedAt.IsZero() }

// reachable reports whether the server responded to the last request.
func (o Observation) reachable() bool { return o.hasStatus() && o.FailingSince.IsZero() }

// ProbeResult is an observer's result for one server.
type ProbeResult struct {
	Server    cluster.ServerID
	Reachable bool
	// Role and Term are empty if the server is running but has reached its connection
	// limit.
	Role cluster.Role
	Term cluster.Term
}

// ObserverReport is the result of the probes that another process made on new
// connections.
type ObserverReport struct {
	Observer string
	// QueriedAt is the time before the observer was queried.
	QueriedAt time.Time
	Probes    []ProbeResult
}

// GroupStatus is the observed state of a group.
type GroupStatus struct {
	Servers map[cluster.ServerID]Observation
	Reports []ObserverReport
	Intent  IntentResult
}

// reachable returns the IDs of the reachable servers, in the order of the spec.
func (g GroupStatus) reachable(spec GroupSpec) []cluster.ServerID {
	var ids []cluster.ServerID
	for _, s := range spec.Servers {
		if g.Servers[s.ID].reachable() {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// maxTerm returns the highest term that any server has reported.
func (g GroupStatus) maxTerm() cluster.Term {
	var term cluster.Term
	for _, o := range g.Servers {
		term = max(term, o.Status.Term)
	}
	return term
}

// primary returns the server that is, as far as known, the primary of the highest
// term: one that reported so, or the one that a replica of a higher term follows. The
// second result is the term, and the third is false if no primary is known.
func (g GroupStatus) primary(spec GroupSpec) (cluster.ServerID, cluster.Term, bool) {
	var id cluster.ServerID
	var term cluster.Term
	for _, s := range spec.Servers {
		o := g.Servers[s.ID]
		if o.hasStatus() && o.Status.Role == cluster.RolePrimary && o.Status.Term > term {
			id, term = s.ID, o.Status.Term
		}
	}
	for _, s := range spec.Servers {
		o := g.Servers[s.ID]
		if o.hasStatus() && o.Status.Role == cluster.RoleReplica && o.Status.Leader != "" && o.Status.Term > term {
			id, term = o.Status.Leader, o.Status.Term
		}
	}
	return id, term, id != ""
}

// Primary returns the server that is, as far as known, the primary of the highest
// term; empty if none is known.
func (g GroupStatus) Primary(spec GroupSpec) cluster.ServerID {
	id, _, _ := g.primary(spec)
	return id
}

// sealedBy returns the statuses of the servers that hold the seal of an attempt, in
// the order of the spec.
func (g GroupStatus) sealedBy(spec GroupSpec, a Attempt) []cluster.ServerStatus {
	var sealed []cluster.ServerStatus
	for _, s := range spec.Servers {
		o := g.Servers[s.ID]
		if o.hasStatus() && o.Status.Term == a.Term && o.Status.SealHolder == a.Holder && o.Status.Role != cluster.RoleReplica {
			sealed = append(sealed, o.Status)
		}
	}
	return sealed
}

// following reports whether a server is a replica of the primary at its term and has
// no log records beyond the primary's.
func (g GroupStatus) following(id, primary cluster.ServerID) bool {
	s, p := g.Servers[id].Status, g.Servers[primary].Status
	return s.Role == cluster.RoleReplica && s.Term == p.Term && s.Leader == primary && !g.diverged(id, primary)
}

// diverged reports whether a server holds log records that the primary lacks.
func (g GroupStatus) diverged(id, primary cluster.ServerID) bool {
	s, p := g.Servers[id], g.Servers[primary]
	return !s.RequestedAt.After(p.RequestedAt) && p.Status.Received.Less(s.Status.Received)
}

// majorityPosition returns the highest position stored by a majority of the group,
// the primary included. The second result is false if too few of the servers that
// follow the primary are reachable.
func (g GroupStatus) majorityPosition(spec GroupSpec, primary cluster.ServerID) (cluster.Position, bool) {
	positions := []cluster.Position{g.Servers[primary].Status.Received}
	for _, id := range g.reachable(spec) {
		if id != primary && g.following(id, primary) {
			positions = append(positions, g.Servers[id].Status.Received)
		}
	}
	if len(positions) < spec.majority() {
		return cluster.Position{}, false
	}
	slices.SortFunc(positions, func(a, b cluster.Position) int { return b.Compare(a) })
	return positions[spec.majority()-1], true
}
