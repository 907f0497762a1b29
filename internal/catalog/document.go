package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

const (
	// maxQueueWait limits the wait for a slot in addition to the request's own
	// deadline.
	maxQueueWait = 10 * time.Second
	// normalFloor and backgroundFloor are shares of slot time that urgent requests
	// cannot use, so that an overload of urgent requests does not starve the other
	// ranks. The rest leaves urgent requests more than their normal load in
	// either deployment.
	normalFloor     = 0.2
	backgroundFloor = 0.05
)

// Document returns the environment document that the homes use.
func (s State) Document() *environment.Document {
	d := &environment.Document{Name: "platform"}
	d.SetDefaults()
	d.Ranks = ranks()
	if s.Configuration == nil {
		return d
	}
	d.Limits.IdleInTransaction = s.Configuration.TransactionIdle
	byGroup := make(map[cluster.GroupName][]Server, len(s.Configuration.Groups))
	for _, e := range s.Servers {
		byGroup[e.Group] = append(byGroup[e.Group], e)
	}
	for _, g := range s.Configuration.Groups {
		d.Groups = append(d.Groups, environment.Group{Name: g.Name, Servers: serversOf(g, byGroup[g.Name])})
	}
	return d
}

// serversOf returns the servers of a group, ordered by id.
func serversOf(g Group, entries []Server) []environment.Server {
	var servers []environment.Server
	for _, e := range entries {
		servers = append(servers, environment.Server{
			ID: e.ID, Address: e.Address, FailureDomain: e.FailureDomain,
			Slots: max(e.Slots, 1), Connections: g.Connections,
		})
	}
	slices.SortFunc(servers, func(a, b environment.Server) int { return cmp.Compare(a.ID, b.ID) })
	return servers
}

// OrganisationRanks returns the ranks of the organisations; nil if there are none.
func (s State) OrganisationRanks() map[string]cluster.Rank {
	if s.Configuration == nil || len(s.Configuration.Organisations) == 0 {
		return nil
	}
	ranks := make(map[string]cluster.Rank, len(s.Configuration.Organisations))
	for _, o := range s.Configuration.Organisations {
		ranks[o.Name] = o.Rank
	}
	return ranks
}

// Leaving returns the servers that are about to shut down.
func (s State) Leaving() map[cluster.ServerID]bool {
	leaving := map[cluster.ServerID]bool{}
	for id, e := range s.Servers {
		if e.Draining {
			leaving[id] = true
		}
	}
	return leaving
}

func ranks() environment.Ranks {
	policy := func(floor float64, queue int) environment.RankPolicy {
		return environment.RankPolicy{Floor: floor, Queue: queue, MaxWait: maxQueueWait, Ack: environment.AckServer}
	}
	return environment.Ranks{
		Urgent:     policy(environment.DefaultUrgentFloor, environment.DefaultUrgentQueue),
		Normal:     policy(normalFloor, environment.DefaultNormalQueue),
		Background: policy(backgroundFloor, environment.DefaultBackgroundQueue),
	}
}
