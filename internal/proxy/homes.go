package proxy

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

// homeReconcileInterval is the longest time between two checks of which groups this
// proxy should own.
const homeReconcileInterval = time.Second

// disownDelay is how long this proxy keeps a group whose home should be another
// proxy. That proxy normally requests the release much earlier; see
// home.Config.Handoff.
const disownDelay = 10 * time.Second

// reconcileHomes takes ownership of the groups that the membership view assigns to
// this proxy and disowns the others. It also passes new documents, and which backend
// servers are leaving, to the homes.
func (p *Proxy) reconcileHomes(ctx context.Context) error {
	documents, stop := p.process.Documents.Subscribe()
	defer stop()
	recheck := false
	for {
		// While the document may be outdated the directory has no accounts, but
		// connected callers must not be closed for that.
		if recheck && !p.process.Documents.ProofExpired() {
			p.front.RevokeRemovedAccounts()
			recheck = false
		}
		changed := p.process.Members.Changed()
		p.proxyContexts.Update(p.process.Members.Snapshot())
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
	locator := p.homeLocator()
	for _, group := range p.groups() {
		if locator.HomeOf(group) == p.settings.ID {
			// Own fails only for a group that the home does not know yet, and
			// the next reconciliation tries again.
			_ = p.home.Own(group)
			delete(p.misplacedSince, group)
			continue
		}
		p.disownAfterDelay(group)
	}
	p.markLeaving()
}

// disownAfterDelay disowns a group whose new home has not requested its release
// within disownDelay.
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
