package proxy

import (
	"math/rand/v2"
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/gateway"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/statement"
)

// homeLocator implements gateway.HomeLocator on the membership view of the proxy.
type homeLocator struct {
	self          cluster.ProxyID
	sharing       settings.Sharing
	members       *member.Membership
	peers         *peer.Registry
	proxyContexts *gateway.ProxyContexts
}

// homeLocator returns the membership view used for routing.
func (p *Proxy) homeLocator() homeLocator {
	return homeLocator{
		self: p.settings.ID, sharing: p.settings.Policy.Sharing,
		members: p.process.Members, peers: p.process.StatementPeers, proxyContexts: p.proxyContexts,
	}
}

// HomeOf implements gateway.HomeLocator. Under the static policy every proxy is the home
// of all groups for its own callers.
func (l homeLocator) HomeOf(group cluster.GroupName) cluster.ProxyID {
	if l.sharing == settings.SharingStatic {
		return l.self
	}
	m, ok := l.members.Snapshot().HomeOf(group)
	if !ok {
		return ""
	}
	return cluster.ProxyID(m.ID)
}

// Relay implements gateway.HomeLocator. It picks a random live proxy.
func (l homeLocator) Relay(exclude ...cluster.ProxyID) cluster.ProxyID {
	var ids []cluster.ProxyID
	for _, m := range l.members.Snapshot().Usable(member.RoleProxy) {
		if id := cluster.ProxyID(m.ID); !slices.Contains(exclude, id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}

// Runner implements gateway.HomeLocator.
func (l homeLocator) Runner(id cluster.ProxyID) statement.Runner {
	e, ok := l.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(id)})
	if !ok {
		return nil
	}
	return l.proxyContexts.Bind(id, l.peers.Client(e.Member.Address))
}
