package edge

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// homeReconcileInterval is the longest time between two looks at which groups this
	// process should own.
	homeReconcileInterval = 500 * time.Millisecond
	// disownIdleTime is how long a group without requests is kept whose home should
	// be another process: the views of the others agree within one round of pings,
	// and what it holds open is taken from the few connections of the servers.
	disownIdleTime = 400 * time.Millisecond
	// unreachableTime is how long a process that could not be reached is passed over:
	// by then pings tell whether it lives.
	unreachableTime = time.Second
)

// gatewayMembers implements gateway.Members over the view of the members.
type gatewayMembers struct{ edge *Edge }

// placementCache caches where the groups are placed.
type placementCache struct {
	mu       sync.Mutex
	snapshot *member.Snapshot
	version  uint64
	byGroup   map[cluster.GroupName][]member.Member
	// unreachableUntil holds the proxies that could not be reached, until a time.
	unreachableUntil map[cluster.ProxyID]time.Time
}

// placementOf returns the home of a group and the proxy that stands in for it.
func (e *Edge) placementOf(group cluster.GroupName) []member.Member {
	snapshot := e.members.Snapshot()
	version, _ := e.tracker.Versions()
	p := &e.placements
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != snapshot || p.version != version {
		p.snapshot, p.version = snapshot, version
		p.byGroup = snapshot.Place(e.tracker.Groups())
	}
	return p.byGroup[group]
}

// homeOf returns the process that should be the home of a group; empty when none
// is known.
func (e *Edge) homeOf(group cluster.GroupName) cluster.ProxyID {
	placed := e.placementOf(group)
	if len(placed) == 0 {
		return ""
	}
	return cluster.ProxyID(placed[0].ID)
}

// HomeOf implements gateway.Members: a home that could not be reached just now
// is passed over.
func (v gatewayMembers) HomeOf(group cluster.GroupName) cluster.ProxyID {
	placed := v.edge.placementOf(group)
	p := &v.edge.placements
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range placed {
		if id := cluster.ProxyID(m.ID); time.Now().After(p.unreachableUntil[id]) {
			return id
		}
	}
	if len(placed) == 0 {
		return ""
	}
	return cluster.ProxyID(placed[0].ID)
}

// fallbackHome names the process that stands in for a home that cannot be
// reached, which is passed over for a while.
func (e *Edge) fallbackHome(group cluster.GroupName, failed cluster.ProxyID) cluster.ProxyID {
	if failed != e.config.ID {
		e.placements.mu.Lock()
		e.placements.unreachableUntil[failed] = time.Now().Add(unreachableTime)
		e.placements.mu.Unlock()
	}
	return gatewayMembers{e}.HomeOf(group)
}

// Relay implements gateway.Members. A home that cannot be reached is replaced
// by its stand-in, so that no request goes by a third process.
func (gatewayMembers) Relay(...cluster.ProxyID) cluster.ProxyID { return "" }

// Runner implements gateway.Members.
func (v gatewayMembers) Runner(id cluster.ProxyID) statement.Runner {
	entry, ok := v.edge.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(id)})
	if !ok {
		return nil
	}
	return v.edge.lifetimes.Bind(id, v.edge.statementPeers.Client(entry.Member.Address))
}

// reconcileHomes owns the groups whose home this process is in its view, gives up
// the others, and passes the catalog on to the homes.
func (e *Edge) reconcileHomes(ctx context.Context) error {
	for ctx.Err() == nil {
		members, changed := e.members.Changed(), e.tracker.Changed()
		e.lifetimes.Update(e.members.Snapshot())
		expiry := e.tracker.Expire(time.Now())
		if expiry == 0 || expiry > homeReconcileInterval {
			expiry = homeReconcileInterval
		}
		state := e.tracker.State()
		document := state.Document()
		e.markLeavingServers(state, document)
		e.home.SetDocument(document)
		for _, g := range document.Groups {
			e.reconcileGroup(g.Name)
		}
		timer := time.NewTimer(expiry)
		select {
		case <-ctx.Done():
		case <-members:
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// markLeavingServers tells the homes which servers leave, before they can use them.
func (e *Edge) markLeavingServers(state catalog.State, document *environment.Document) {
	draining := state.Draining()
	for _, g := range document.Groups {
		for _, s := range g.Servers {
			e.home.SetLeaving(s.ID, draining[s.ID])
		}
	}
}

// reconcileGroup owns a group, or gives it up once nobody takes this process for its
// home any more.
func (e *Edge) reconcileGroup(group cluster.GroupName) {
	if e.homeOf(group) != e.config.ID {
		if e.home.Idle(group) >= disownIdleTime {
			e.home.Disown(group)
		}
		return
	}
	if err := e.home.Own(group); err != nil {
		eventOwnFailed.Log(&e.log).Str("group", string(group)).Err(err).Send()
	}
}
