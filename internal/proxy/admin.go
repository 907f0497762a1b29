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
			LocalStatus: p.localStatus, HomeOf: p.homeLocator().HomeOf,
		},
		Documents:        p.process.Store,
		Explainer:        p,
		NotReadyReason:   p.notReadyReason,
		OnDocumentChange: p.documentChanged,
		Log:              p.process.Log,
	}
}

// notReadyReason returns why the load balancer should send no callers to this proxy;
// empty when the proxy is ready.
func (p *Proxy) notReadyReason() string {
	if p.draining.Load() {
		return "a planned stop has begun"
	}
	return p.process.NotReadyReason()
}

// documentChanged makes this proxy fetch a revision that its admin API has just
// accepted. Peers are notified once the revision is in force here.
func (p *Proxy) documentChanged(r document.Revision) {
	if r.Environment == p.settings.Environment {
		p.process.Documents.Refresh()
	}
}
