package proxy

import (
	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/deployment"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/member"
)

func (p *Proxy) adminConfig() admin.Config {
	return admin.Config{
		Environment: p.settings.Environment,
		Status: &deployment.Source{
			Process: p.process, Role: member.RoleProxy, Records: p.failovers,
			Own: p.localStatus, HomeOf: p.members().HomeOf,
		},
		Documents: p.process.Store,
		Explainer: p,
		Ready:     p.notReadyReason,
		Changed:   p.documentChanged,
		Log:       p.process.Log,
	}
}

// notReadyReason returns why the balancer should send no callers; empty when it should.
func (p *Proxy) notReadyReason() string {
	if p.draining.Load() {
		return "a planned stop has begun"
	}
	return p.process.NotReady()
}

// documentChanged takes up a revision that this process accepted. Its peers
// are told as soon as it is in force here.
func (p *Proxy) documentChanged(r document.Revision) {
	if r.Environment == p.settings.Environment {
		p.process.Documents.Refresh()
	}
}
