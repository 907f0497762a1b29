package edge

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// homeReconcileInterval is the longest time between two checks of which groups
	// this process should own.
	homeReconcileInterval = 500 * time.Millisecond
	// disownIdleTime is how long a group must be without requests before it is
	// disowned when another process should be its home. The membership views of the
	// processes converge within one ping round, and an owned group keeps connections
	// open, of which the backend servers have few.
	disownIdleTime = 400 * time.Millisecond
	// unreachableTime is how long a process that could not be reached is not chosen
	// as a home; after that, pings have shown whether it is alive.
	unreachableTime = time.Second
)

// homeLocator implements gateway.HomeLocator on the membership view of the process.
type homeLocator struct{ edge *Edge }

// placementCache caches the placement of groups on processes for one membership
// snapshot and catalog version.
type placementCache struct {
	mu       sync.Mutex
	snapshot *member.Snapshot
	version  uint64
	byGroup  map[cluster.GroupName][]member.Member
	// unreachableUntil holds the processes that could not be reached, and until when
	// they are not chosen.
	unreachableUntil map[cluster.ProxyID]time.Time
}

// placementOf returns the home of a group, followed by its fallback home.
func (e *Edge) placementOf(group cluster.GroupName) []member.Member {
	snapshot := e.members.Snapshot()
	version, _ := e.tracker.Versions()
	p := &e.placements
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != snapshot || p.version != version {
		// Most changes of the members do not move any group.
		if p.snapshot == nil || p.version != version || !snapshot.PlacesLike(p.snapshot) {
			p.byGroup = snapshot.Place(e.tracker.Groups())
		}
		p.snapshot, p.version = snapshot, version
	}
	return p.byGroup[group]
}

// homeOf returns the process that should be the home of a group; empty when no
// process is known.
func (e *Edge) homeOf(group cluster.GroupName) cluster.ProxyID {
	placed := e.placementOf(group)
	if len(placed) == 0 {
		return ""
	}
	return cluster.ProxyID(placed[0].ID)
}

// HomeOf implements gateway.HomeLocator. It skips a home that was unreachable within
// the last unreachableTime.
func (l homeLocator) HomeOf(group cluster.GroupName) cluster.ProxyID {
	placed := l.edge.placementOf(group)
	p := &l.edge.placements
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

// fallbackHome marks the failed home as unreachable for unreachableTime and
// returns the fallback home, which serves the group in its place.
func (e *Edge) fallbackHome(group cluster.GroupName, failed cluster.ProxyID) cluster.ProxyID {
	if failed != e.config.ID {
		e.placements.mu.Lock()
		e.placements.unreachableUntil[failed] = time.Now().Add(unreachableTime)
		e.placements.mu.Unlock()
	}
	return homeLocator{e}.HomeOf(group)
}

// Relay implements gateway.HomeLocator. Requests are never relayed by a third
// process, because the fallback home serves the groups of a home that cannot be
// reached.
func (homeLocator) Relay(...cluster.ProxyID) cluster.ProxyID { return "" }

// Runner implements gateway.HomeLocator.
func (l homeLocator) Runner(id cluster.ProxyID) statement.Runner {
	entry, ok := l.edge.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(id)})
	if !ok {
		return nil
	}
	return l.edge.proxyContexts.Bind(id, l.edge.statementPeers.Client(entry.Member.Address))
}

// reconcileHomes passes catalog changes on to the homes of this process, takes
// ownership of the groups that its membership view assigns to it, and disowns the
// others. It runs at every change and at least every homeReconcileInterval.
func (e *Edge) reconcileHomes(ctx context.Context) error {
	for ctx.Err() == nil {
		members, changed := e.members.Changed(), e.tracker.Changed()
		e.proxyContexts.Update(e.members.Snapshot())
		expiry := e.tracker.Expire(time.Now())
		if expiry == 0 || expiry > homeReconcileInterval {
			expiry = homeReconcileInterval
		}
		state := e.tracker.State()
		document := state.Document()
		e.markLeavingServers(state, document)
		e.setQuotaLimits(state.Configuration)
		e.home.SetDocument(document)
		e.home.SetOrganisations(state.OrganisationRanks())
		e.home.SetUnequalVMs(e.members.Snapshot().UnequalWeights())
		for _, g := range document.Groups {
			e.reconcileGroup(g.Name)
		}
		e.forgetHomes(document)
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

// setQuotaLimits applies the limits of the organisations of a configuration.
func (e *Edge) setQuotaLimits(c *catalog.Configuration) {
	if e.quotas == nil || c == e.quotaConfiguration {
		return
	}
	e.quotaConfiguration = c
	limits := quotaLimits(c)
	e.quotas.setLimits(limits)
	e.quotaDealer.setLimits(limits)
}

// markLeavingServers passes on to the homes which backend servers are leaving. It runs
// before the document is set, so that no home uses such a server.
func (e *Edge) markLeavingServers(state catalog.State, document *environment.Document) {
	leaving := state.Leaving()
	for _, g := range document.Groups {
		for _, s := range g.Servers {
			e.home.SetLeaving(s.ID, leaving[s.ID])
		}
	}
}

// reconcileGroup takes ownership of a group when this process should be its home.
// Otherwise it disowns the group once no request has arrived for disownIdleTime.
func (e *Edge) reconcileGroup(group cluster.GroupName) {
	if e.homeOf(group) != e.config.ID {
		if e.home.Idle(group) >= disownIdleTime {
			e.home.Disown(group)
			delete(e.homesStarted, group)
		}
		return
	}
	if err := e.home.Own(group); err != nil {
		eventOwnFailed.Log(&e.log).Str("group", string(group)).Err(err).Send()
		return
	}
	if _, ok := e.homesStarted[group]; !ok {
		e.homesStarted[group] = struct{}{}
		e.logPlacement(group)
	}
}

// forgetHomes forgets the groups that are no longer in the document, and counts the others.
func (e *Edge) forgetHomes(document *environment.Document) {
	maps.DeleteFunc(e.homesStarted, func(group cluster.GroupName, _ struct{}) bool {
		return !slices.ContainsFunc(document.Groups, func(g environment.Group) bool { return g.Name == group })
	})
	homesOwned.Set(uint64(len(e.homesStarted)))
}

// logPlacement logs why this process is the home of a group.
func (e *Edge) logPlacement(group cluster.GroupName) {
	e.placements.mu.Lock()
	snapshot, placed := e.placements.snapshot, e.placements.byGroup
	e.placements.mu.Unlock()
	homes := placed[group]
	if len(homes) == 0 || homes[0].ID != string(e.config.ID) {
		return // moved again meanwhile
	}
	reason := snapshot.Reason(group, homes[0], placed)
	eventHomeStarted.Log(&e.log).Str("group", string(group)).Uint32("weight", reason.Weight).Bool("weight_known", reason.Known).
		Int("homes", reason.Homes).Int("rank", reason.Rank).Int("of_equal_weight", reason.Members).Send()
}
