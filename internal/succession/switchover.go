package succession

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// blocker is the reason why the replacement of a leaving primary does not begin; empty if
// there is none.
type blocker string

const (
	blockedByNoSuccessor  blocker = "no server that is not leaving is reachable"
	blockedByReplication  blocker = "no server that is not leaving has received what the primary reported"
	blockedByPromotion    blocker = "an earlier promotion may still take effect"
	blockedByPostponement blocker = "the last attempt failed and the next one is not due"
	blockedByLease        blocker = "the promotion lease expires too soon"
)

// switchoverBlocker returns why a planned switchover must not begin. One
// begins only if it can be expected to end with another primary, since the group takes no
// writes meanwhile.
func switchoverBlocker(g Group, v View, s State, now time.Time) blocker {
	p, leading, ok := primary(g, v)
	switch {
	case !ok || !hasSuccessor(g, v, p.ID):
		return blockedByNoSuccessor
	case now.Before(s.PostponedUntil):
		return blockedByPostponement
	case v.LeaseRemaining < minSwitchoverLease:
		return blockedByLease
	case otherPromotionPossible(v, "", now):
		return blockedByPromotion
	case !successorIsLevel(g, v, p, leading):
		return blockedByReplication
	}
	return ""
}

// successorIsLevel reports whether a server that is not leaving has received what the
// primary reported before.
func successorIsLevel(g Group, v View, p Server, leading Observation) bool {
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if r.ID == p.ID || r.Leaving || !o.reachable(r) || o.RequestedAt.Before(leading.RequestedAt) || o.lostRecords() {
			continue
		}
		if o.Status.Role == cluster.RoleReplica && o.Status.Term == leading.Status.Term && !o.Status.Received.Less(leading.Status.Received) {
			return true
		}
	}
	return false
}

// updateOldLog records the end of the old primary's log once it has stepped down. At a
// later term than its own it may have followed a new primary, which shortens the log.
func (s State) updateOldLog(g Group, v View) State {
	if s.Phase != PhasePausing || s.OldPrimary == "" || !oldPrimarySteppedDown(g, v, s) {
		return s
	}
	if o := v.Servers[s.OldPrimary]; o.Status.Term == s.OldTerm && !o.lostRecords() {
		s.OldLogEnd = o.Status.Received
	}
	return s
}

// awaitsReplicas reports whether a switchover still gives the replicas time to receive the
// whole log of the old primary.
func (s State) awaitsReplicas(now time.Time) bool {
	return s.Cause.planned() && now.Sub(s.AttemptStart) <= switchoverTimeout
}

// replicaHasOldLog reports whether a server that could take over has the whole log of the
// old primary.
func replicaHasOldLog(g Group, v View, s State) bool {
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if r.ID != s.OldPrimary && !r.Leaving && o.reachable(r) && !o.lostRecords() && !o.Status.Received.Less(s.OldLogEnd) {
			return true
		}
	}
	return false
}

// departedPrimary returns the old primary if it has stepped down and is no longer listed.
func departedPrimary(g Group, s State) cluster.ServerID {
	if !s.OldLogEnd.Known() || slices.ContainsFunc(g.Servers, func(r Server) bool { return r.ID == s.OldPrimary }) {
		return ""
	}
	return s.OldPrimary
}
