package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/succession"
)

// maxObservers is the maximum number of other processes that are asked to probe a primary.
const maxObservers = 5

// probeTimeout bounds the probe by an observer.
const probeTimeout = 600 * time.Millisecond

// successionGroups returns the groups in the catalog with the state of their servers.
func (e *Edge) successionGroups() []succession.Group {
	state := e.tracker.State()
	document := state.Document()
	groups := make([]succession.Group, 0, len(document.Groups))
	for _, g := range document.Groups {
		group := succession.Group{Name: g.Name, SyncReplicas: state.Configuration.SyncReplicas(g.Name)}
		for _, s := range g.Servers {
			entry := state.Servers[s.ID]
			group.Servers = append(group.Servers, succession.Server{
				Server: s.Cluster(), Leaving: entry.Draining, StartTime: entry.Started,
			})
		}
		groups = append(groups, group)
	}
	return groups
}

// serversStale reports whether this process hears of no changes of the servers, neither from
// the store nor from a process that follows it.
func (e *Edge) serversStale() bool {
	return e.subscriber.Ended() == nil && e.follower.ServersUnreachable()
}

// candidateIndex returns this process's index, by ID, among the live processes that may
// acquire the promotion lease.
func (e *Edge) candidateIndex() int {
	index := 0
	for _, m := range e.members.Snapshot().Usable(member.RoleProxy) {
		if m.ID < string(e.config.ID) {
			index++
		}
	}
	return index
}

// queryObservers asks up to maxObservers other processes, the home of the group
// first, whether they can reach a server. Those that do not answer are not counted.
func (e *Edge) queryObservers(ctx context.Context, group cluster.GroupName, s cluster.Server) succession.ObserverReport {
	report := succession.ObserverReport{QueriedAt: time.Now()}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, m := range e.observers(group) {
		calls.Go(func() {
			reply, err := e.controlPeers.Client(m.Address).Probe(ctx, &peerpb.ProbeRequest{
				Group: string(group), Server: string(s.ID), Address: s.Address, TimeoutNanos: int64(probeTimeout),
			})
			if err != nil {
				return // an observer that cannot be reached is not counted
			}
			mu.Lock()
			defer mu.Unlock()
			if reply.GetReachable() {
				report.Reachable++
				return
			}
			report.Unreachable++
		})
	}
	calls.Wait()
	return report
}

// observers returns up to maxObservers other members, the home of the group first.
func (e *Edge) observers(group cluster.GroupName) []member.Member {
	home := string(e.homeOf(group))
	members := slices.DeleteFunc(e.members.Snapshot().Usable(member.RoleProxy), func(m member.Member) bool {
		return m.ID == string(e.config.ID)
	})
	slices.SortStableFunc(members, func(a, b member.Member) int {
		switch {
		case a.ID == home && b.ID != home:
			return -1
		case b.ID == home && a.ID != home:
			return 1
		}
		return 0
	})
	return members[:min(len(members), maxObservers)]
}
