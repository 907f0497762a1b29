package process

import (
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/pgwire/back"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

// Dialer returns a dialer of backend servers that uses the settings.
func (p *Process) Dialer() (backend.Dialer, error) {
	s := p.Settings.Backend
	config := back.Config{
		ConnectTimeout: s.ConnectTimeout, Log: p.Log,
		Credentials: back.Credentials{User: s.User, Password: s.Password.Reveal()},
	}
	if s.TLS.Enabled() {
		keys, err := tlskeys.Load(s.TLS, p.Log)
		if err != nil {
			return nil, eris.Wrap(err, "backend.tls")
		}
		config.TLS = keys.Client
	}
	return back.New(config), nil
}
