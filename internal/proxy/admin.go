package proxy

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

// serveAdmin serves the administration API until ctx ends. Without a listener
// in the settings it does nothing.
func (p *Proxy) serveAdmin(ctx context.Context) error {
	s := p.settings.Admin
	if s.Listen == "" {
		return nil
	}
	keys, err := admin.LoadKeys(s.KeysFile, p.process.Log)
	if err != nil {
		return eris.Wrap(err, "admin.keys_file")
	}
	var certificates *tlskeys.Keys
	if s.TLS.Enabled() {
		if certificates, err = tlskeys.Load(s.TLS, p.process.Log); err != nil {
			return eris.Wrap(err, "admin.tls")
		}
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return eris.Wrapf(err, "listen for administration on %s", s.Listen)
	}
	return p.adminServer(keys).Serve(ctx, listener, certificates)
}

func (p *Proxy) adminServer(keys *admin.Keys) *admin.Server {
	return admin.New(admin.Config{
		Environment: p.settings.Environment,
		Status:      p,
		Documents:   p.process.Store,
		Explainer:   p,
		Keys:        keys,
		Ready:       p.notReady,
		Changed:     p.documentChanged,
		Log:         p.process.Log,
	})
}

// notReady returns why the balancer should send no callers; empty when it should.
func (p *Proxy) notReady() string {
	switch {
	case p.draining.Load():
		return "a planned stop has begun"
	case p.process.Documents.Current() == nil:
		return "there is no environment document yet"
	case p.process.Documents.OldDocument():
		return "a newer environment document cannot be ruled out"
	default:
		return ""
	}
}

// documentChanged takes up a revision that this process accepted. Its peers
// are told as soon as it is in force here.
func (p *Proxy) documentChanged(r document.Revision) {
	if r.Environment == p.settings.Environment {
		p.process.Documents.Refresh()
	}
}
