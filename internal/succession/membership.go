package succession

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// abandonAfter is the time for which a failover waits for servers that are no longer
// listed, or have never responded, and may hold the only copy of an acknowledged write. A
// primary that crashed returns with its log; one that is still missing after this time is
// given up. The platform has a missing entry treated as gone two seconds after its store
// is back, so only time in which changes of the list were heard of counts.
const abandonAfter = 30 * time.Second

// Member is one run of a server. A server that has restarted may have lost its data
// and is another member.
type Member struct {
	ID        cluster.ServerID `json:"id"`
	StartTime int64            `json:"start"`
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartTime, b.StartTime))
}

// Membership tells which servers may hold acknowledged writes of a group: every
// acknowledged write is stored on 1 + SyncReplicas of Members. A server that is no
// longer listed stays a member until the listed servers are known to have all
// acknowledged writes without it. Slices are sorted and must not be modified.
type Membership struct {
	Members []Member
	// Known is set once Members is known to be complete. Before, servers may have
	// left the group before the first lease holder listed it.
	Known bool
	// listed holds the listed servers, which have not changed since listedSince.
	listed      []Member
	listedSince time.Time
	// heardSince is the time since which changes of the list have been heard of.
	heardSince time.Time
	// departing holds the members that were listed as leaving.
	departing []Member
	// abandoned holds the members that abandon has removed.
	abandoned []Member
}

// settled reports whether only listed servers are members.
func (m Membership) settled() bool { return m.Known && len(m.Members) == len(m.listed) }

// size returns the number of servers that may hold acknowledged writes. While the
// members are not known, a group is assumed to have as many servers as it needs to
// acknowledge writes after any of them has failed.
func (m Membership) size(g Group) int {
	if m.Known {
		return len(m.Members)
	}
	return max(len(m.Members), 1+2*max(g.SyncReplicas, 1))
}

// noneCanReturn reports whether each member is a server with a final log, or an earlier
// run of one. No other log can turn up then: what a server lost when it started again
// is not waited for.
func (m Membership) noneCanReturn(logs []finalLog) bool {
	if !m.Known || len(logs) == 0 {
		return false
	}
	for _, member := range m.Members {
		if !slices.ContainsFunc(logs, func(l finalLog) bool { return l.server.ID == member.ID }) {
			return false
		}
	}
	return true
}

// merge adds the members of a record.
func (m Membership) merge(r Record) Membership {
	m.Members = unionOfMembers(m.Members, r.Members)
	m.Known = m.Known || len(r.Members) > 0
	return m
}

// update adds the listed servers and removes those that are no longer needed.
func (m Membership) update(g Group, v View, now time.Time) Membership {
	listed := make([]Member, 0, len(g.Servers))
	for _, s := range g.Servers {
		member := Member{ID: s.ID, StartTime: s.StartTime}
		listed = append(listed, member)
		if s.Leaving && !slices.Contains(m.departing, member) {
			m.departing = unionOfMembers(m.departing, []Member{member})
		}
	}
	slices.SortFunc(listed, compareMembers)
	if v.GroupStale || m.heardSince.IsZero() {
		m.heardSince = now
	}
	if !slices.Equal(listed, m.listed) {
		m.listed, m.listedSince = listed, now
		m.Members = unionOfMembers(m.Members, listed)
	}
	if !m.settled() && !v.PriorPromotionPossible && listedHaveAll(g, v, m.listedSince) {
		m.Members, m.Known, m.abandoned = m.listed, true, nil
		m.departing = slices.DeleteFunc(slices.Clone(m.departing), func(member Member) bool { return !slices.Contains(listed, member) })
	}
	return m
}

// abandon removes the members that are not listed, and the listed ones that have never
// responded, once the list has been heard and has not changed for abandonAfter. Those that were listed as
// leaving do not return, so they are removed at once if the old primary, whose log is known,
// has left as well.
func (m Membership) abandon(v View, departedPrimary cluster.ServerID, now time.Time) Membership {
	expired := now.Sub(m.listedSince) >= abandonAfter && now.Sub(m.heardSince) >= abandonAfter
	left := func(member Member) bool {
		if slices.Contains(m.listed, member) {
			return expired && v.Servers[member.ID].RequestedAt.IsZero()
		}
		return expired || departedPrimary != "" && member.ID != departedPrimary && slices.Contains(m.departing, member)
	}
	if !slices.ContainsFunc(m.Members, left) && (m.Known || !expired) {
		return m
	}
	m.abandoned = slices.DeleteFunc(slices.Clone(m.Members), func(member Member) bool { return !left(member) })
	m.Members, m.Known = slices.DeleteFunc(slices.Clone(m.Members), left), m.Known || expired
	return m
}

// listedHaveAll reports whether each write that was acknowledged before since is stored
// on the primary and SyncReplicas replicas that are listed. The primary has all of them;
// a replica does if it has received what the primary reported after since.
func listedHaveAll(g Group, v View, since time.Time) bool {
	p, leading, ok := primary(g, v)
	if !ok || !leading.reachable(p) || !leading.RequestedAt.After(since) || leading.Status.Term < maxServerTerm(v) {
		return false
	}
	replicas := 0
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if r.ID != p.ID && o.reachable(r) && o.RequestedAt.After(since) && o.Status.Role == cluster.RoleReplica &&
			o.Status.Term == leading.Status.Term && !o.lostRecords() && !o.Status.Received.Less(leading.Status.Received) {
			replicas++
		}
	}
	return replicas >= max(g.SyncReplicas, 1)
}

func unionOfMembers(a, b []Member) []Member {
	union := slices.Concat(a, b)
	slices.SortFunc(union, compareMembers)
	return slices.Compact(union)
}
