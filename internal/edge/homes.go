package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// homeInterval is the longest time between two looks at which groups this
	// process should own.
	homeInterval = 500 * time.Millisecond
	// foreignTime is how long a group is kept whose home should be another
	// process: the views of the others agree within one round of pings, and
	// what it holds open is taken from the few connections of the servers.
	foreignTime = time.Second
)

// view implements gateway.Members over the view of the members.
type view struct{ edge *Edge }

// HomeOf implements gateway.Members.
func (v view) HomeOf(group cluster.GroupName) cluster.ProxyID {
	m, ok := v.edge.members.Snapshot().HomeOf(group)
	if !ok {
		return ""
	}
	return cluster.ProxyID(m.ID)
}

// Relay implements gateway.Members.
func (v view) Relay(exclude ...cluster.ProxyID) cluster.ProxyID {
	var ids []cluster.ProxyID
	for _, m := range v.edge.members.Snapshot().Alive(member.RoleProxy) {
		if id := cluster.ProxyID(m.ID); !slices.Contains(exclude, id) {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return ids[rand.IntN(len(ids))]
}

// Runner implements gateway.Members.
func (v view) Runner(id cluster.ProxyID) statement.Runner {
	entry, ok := v.edge.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: string(id)})
	if !ok {
		return nil
	}
	return v.edge.statements.Client(entry.Member.Address)
}

// keepHomes owns the groups whose home this process is in its view, gives up
// the others, and passes the catalog on to the homes.
func (e *Edge) keepHomes(ctx context.Context) error {
	foreign := map[cluster.GroupName]time.Time{}
	for ctx.Err() == nil {
		members, changed := e.members.Changed(), e.tracker.Changed()
		expiry := e.tracker.Expire(time.Now())
		if expiry == 0 || expiry > homeInterval {
			expiry = homeInterval
		}
		state := e.tracker.State()
		document := state.Document()
		e.home.SetDocument(document)
		draining := state.Draining()
		for _, g := range document.Groups {
			for _, s := range g.Servers {
				e.home.SetLeaving(s.ID, draining[s.ID])
			}
			e.assign(g.Name, foreign)
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

// assign owns a group or gives it up.
func (e *Edge) assign(group cluster.GroupName, foreign map[cluster.GroupName]time.Time) {
	if (view{e}).HomeOf(group) == e.config.ID {
		delete(foreign, group)
		if err := e.home.Own(group); err != nil {
			eventOwnFailed.Log(&e.log).Str("group", string(group)).Err(err).Send()
		}
		return
	}
	since, ok := foreign[group]
	switch {
	case !ok:
		foreign[group] = time.Now()
	case time.Since(since) >= foreignTime:
		e.home.Disown(group)
	}
}
