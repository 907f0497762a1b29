package proxy

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/home"
)

// Reasons why a home sends no requests to a server.
const (
	reasonLeaving = "its VM is leaving"
	reasonEjected = "it failed too often"
)

// phaseServing is the phase in which a home serves its group.
const phaseServing = "serving"

// localStatus returns the status of a group that this proxy owns, and an error if it
// does not own the group.
func (p *Proxy) localStatus(group cluster.GroupName) (admin.GroupStatus, error) {
	groups := p.home.Status().Groups
	i := slices.IndexFunc(groups, func(g home.GroupStatus) bool { return g.Group == group })
	current := p.process.Documents.Current()
	if i < 0 || current == nil {
		return admin.GroupStatus{}, errcode.New(errcode.NoHome, "group status", string(p.settings.ID))
	}
	spec, _ := current.Document.Group(group)
	return homeStatus(p.settings.ID, groups[i], spec), nil
}

// handleGroupStatus returns the status of a group that this proxy owns to a peer.
func (p *Proxy) handleGroupStatus(_ context.Context, group cluster.GroupName) ([]byte, error) {
	status, err := p.localStatus(group)
	if err != nil {
		return nil, err
	}
	return json.Marshal(status)
}

// homeStatus combines a home's status of a group with the group's entry in the
// document.
func homeStatus(self cluster.ProxyID, g home.GroupStatus, spec environment.Group) admin.GroupStatus {
	s := admin.GroupStatus{
		Name: g.Group, Customers: spec.Customers, Term: g.Term, Epoch: g.Epoch, Home: self, Primary: g.Primary,
		Servers: []admin.ServerStatus{}, Queues: []admin.QueueStatus{},
	}
	for _, server := range g.Servers {
		s.Servers = append(s.Servers, serverStatus(server, spec))
		if server.Server == g.Primary {
			acceptsWrites := server.Reachable && server.Role == cluster.RolePrimary && server.Term == g.Term
			s.Writable = acceptsWrites && g.Phase == phaseServing
		}
	}
	for _, r := range g.Ranks {
		s.Queues = append(s.Queues, admin.QueueStatus{
			Rank: r.Rank, Waiting: r.Queued, Running: r.Running, Refused: r.Refused, Expired: r.Expired,
		})
	}
	return s
}

func serverStatus(s home.ServerStatus, group environment.Group) admin.ServerStatus {
	status := admin.ServerStatus{
		ID: s.Server, Role: s.Role, Reachable: s.Reachable, LagMillis: s.Lag.Milliseconds(),
		Received: s.Received, Replayed: s.Replayed,
		Running: s.Pool.InUse, Connections: s.Pool.Idle + s.Pool.InUse,
	}
	switch {
	case s.Leaving:
		status.UnusedReason = reasonLeaving
	case s.Ejected:
		status.UnusedReason = reasonEjected
	}
	for _, spec := range group.Servers {
		if spec.ID == s.Server {
			status.Address, status.FailureDomain = spec.Address, spec.FailureDomain
			status.Slots, status.Limit = spec.Slots, spec.Connections
		}
	}
	return status
}
