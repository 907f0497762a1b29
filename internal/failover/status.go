package failover

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Observation is what this warden knows of one server.
type Observation struct {
	// Status is the last status that the server reported.
	Status cluster.ServerStatus
	// RequestedAt is the time before the request for Status was sent; zero when the
	// server never answered.
	RequestedAt time.Time
	// FailingSince is the time before the first of an unbroken run of failed
	// fresh connections; zero while the server answers.
	FailingSince time.Time
	// LastFailure is the time before the last failed fresh connection.
	LastFailure time.Time
	// ConsecutiveFailures counts the run.
	ConsecutiveFailures int
}

// hasStatus reports whether the server ever answered.
func (o Observation) hasStatus() bool { return !o.RequestedAt.IsZero() }

// reachable reports whether the server answered the last request.
func (o Observation) reachable() bool { return o.hasStatus() && o.FailingSince.IsZero() }

// ProbeResult is an observer's answer about one server.
type ProbeResult struct {
	Server    cluster.ServerID
	Reachable bool
	// Role and Term are empty when the server lives but had no place for
	// another connection.
	Role cluster.Role
	Term cluster.Term
}

// ObserverReport is what another process found by fresh connections.
type ObserverReport struct {
	Observer string
	// QueriedAt is the time before this warden asked.
	QueriedAt time.Time
	Probes    []ProbeResult
}

// GroupStatus is the observed state of a group.
type GroupStatus struct {
	Servers map[cluster.ServerID]Observation
	Reports []ObserverReport
	Intent  IntentResult
}

// reachable returns the ids of the servers that answer, in order of the spec.
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

// primary returns the server that is, as far as known, the primary of the
// highest term: one that said so, or the leader that a replica of a higher
// term names. The second result is false when there is none.
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

// Primary returns the server that is, as far as known, the primary of the
// highest term; empty when there is none.
func (g GroupStatus) Primary(spec GroupSpec) cluster.ServerID {
	id, _, _ := g.primary(spec)
	return id
}

// sealedBy returns the statuses of the servers that hold the seal of an
// attempt, ordered as in the spec.
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

// following reports whether a server is a replica of the primary at its term
// and has no log records beyond it.
func (g GroupStatus) following(id, primary cluster.ServerID) bool {
	s, p := g.Servers[id].Status, g.Servers[primary].Status
	return s.Role == cluster.RoleReplica && s.Term == p.Term && s.Leader == primary && !g.diverged(id, primary)
}

// diverged reports whether a server holds log records that the primary lacks.
func (g GroupStatus) diverged(id, primary cluster.ServerID) bool {
	s, p := g.Servers[id], g.Servers[primary]
	return !s.RequestedAt.After(p.RequestedAt) && p.Status.Received.Less(s.Status.Received)
}

// majorityPosition returns the highest position that a majority of the group has
// stored, the primary included. The second result is false when too few of the
// servers that follow the primary answer.
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
