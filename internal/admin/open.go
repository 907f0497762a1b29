package admin

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/connlimit"
	"github.com/rattancove/rattancove/internal/settings"
	"github.com/rattancove/rattancove/internal/tlskeys"
)

// maxConns bounds the connections: those of the requests that are served at a time, and as
// many that are idle.
const maxConns = 2 * maxConcurrentRequests

// Open opens the listener configured in the settings and returns a function that
// serves the API of config on it until its context ends. It sets config.Keys from
// the key file. Invalid files cause an error here, before anything is served. If the
// settings have no listen address, the returned function serves nothing.
func Open(s settings.Admin, config Config) (func(context.Context) error, error) {
	if s.Listen == "" {
		return func(context.Context) error { return nil }, nil
	}
	var err error
	if config.Keys, err = LoadKeys(s.KeysFile, config.Log); err != nil {
		return nil, eris.Wrap(err, "admin.keys_file")
	}
	var certificates *tlskeys.Keys
	if s.TLS.Enabled() {
		if certificates, err = tlskeys.Load(s.TLS, config.Log); err != nil {
			return nil, eris.Wrap(err, "admin.tls")
		}
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen for administration API on %s", s.Listen)
	}
	listener = connlimit.New(listener, "administration", func() int { return maxConns })
	server := New(config)
	return func(ctx context.Context) error { return server.Serve(ctx, listener, certificates) }, nil
}
