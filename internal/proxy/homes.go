package proxy

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

// homeInterval is the longest time between two looks at which groups this
// proxy should own.
const homeInterval = time.Second

// foreignTime is how long a group is kept whose home should be another proxy.
// That proxy asks for it well before; see home.Config.Handoff.
const foreignTime = 10 * time.Second

// keepHomes owns the groups whose home this proxy is in its view, gives up the
// others, and passes documents and leaving backend servers on to the homes.
func (p *Proxy) keepHomes(ctx context.Context) error {
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
		p.lives.Update(p.process.Members.Snapshot())
		p.assignHomes()
		select {
		case <-ctx.Done():
			return nil
		case d := <-documents:
			p.home.SetDocument(d.Document)
			recheck = true
		case <-changed:
		case <-time.After(homeInterval):
		}
	}
}

func (p *Proxy) assignHomes() {
	view := p.members()
	for _, group := range p.groups() {
		if view.HomeOf(group) == p.settings.ID {
			// The only failure is a group that the home does not know yet; the
			// next look owns it.
			_ = p.home.Own(group)
			delete(p.foreign, group)
			continue
		}
		p.giveUp(group)
	}
	p.markLeaving()
}

// giveUp disowns a group that the other proxy has not asked for in time.
func (p *Proxy) giveUp(group cluster.GroupName) {
	since, ok := p.foreign[group]
	if !ok {
		p.foreign[group] = time.Now()
		return
	}
	if time.Since(since) >= foreignTime {
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
