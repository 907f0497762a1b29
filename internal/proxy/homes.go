package proxy

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

// homeReconcileInterval is the longest time between two looks at which groups this
// proxy should own.
const homeReconcileInterval = time.Second

// disownDelay is how long a group is kept whose home should be another proxy.
// That proxy asks for it well before; see home.Config.Handoff.
const disownDelay = 10 * time.Second

// reconcileHomes owns the groups whose home this proxy is in its view, gives up the
// others, and passes documents and leaving backend servers on to the homes.
func (p *Proxy) reconcileHomes(ctx context.Context) error {
	documents, stop := p.process.Documents.Subscribe()
	defer stop()
	recheck := false
	for {
		// While the document may be out of date the directory lets nobody in,
		// but callers that are connected stay.
		if recheck && !p.process.Documents.Outdated() {
			p.front.Recheck()
			recheck = false
		}
		changed := p.process.Members.Changed()
		p.lifetimes.Update(p.process.Members.Snapshot())
		p.reconcileGroups()
		select {
		case <-ctx.Done():
			return nil
		case d := <-documents:
			p.home.SetDocument(d.Document)
			recheck = true
		case <-changed:
		case <-time.After(homeReconcileInterval):
		}
	}
}

func (p *Proxy) reconcileGroups() {
	view := p.members()
	for _, group := range p.groups() {
		if view.HomeOf(group) == p.settings.ID {
			// The only failure is a group that the home does not know yet; the
			// next look owns it.
			_ = p.home.Own(group)
			delete(p.misplacedSince, group)
			continue
		}
		p.disownAfterDelay(group)
	}
	p.markLeaving()
}

// disownAfterDelay disowns a group that the other proxy has not asked for in time.
func (p *Proxy) disownAfterDelay(group cluster.GroupName) {
	since, ok := p.misplacedSince[group]
	if !ok {
		p.misplacedSince[group] = time.Now()
		return
	}
	if time.Since(since) >= disownDelay {
		p.home.Disown(group)
	}
}

func (p *Proxy) markLeaving() {
	current := p.process.Documents.Current()
	if current == nil {
		return
	}
	for _, g := range current.Document.Groups {
		p.markLeavingServers(g.Servers)
	}
}

func (p *Proxy) markLeavingServers(servers []environment.Server) {
	for _, s := range servers {
		p.home.SetLeaving(s.ID, p.process.Members.Leaving(s.Address))
	}
}
