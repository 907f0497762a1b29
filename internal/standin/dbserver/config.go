package dbserver

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Defaults of Config.
const (
	DefaultSlots              = 2
	DefaultConnections        = 16
	DefaultControlConnections = 4
	DefaultConnectDelay       = 12 * time.Millisecond
)

// Auth is how a server checks callers.
type Auth string

// Kinds of authentication.
const (
	AuthTrust     Auth = "trust"
	AuthCleartext Auth = "cleartext"
	AuthSCRAM     Auth = "scram"
)

// Config describes one server.
type Config struct {
	ID cluster.ServerID
	// Dir keeps the database file; empty means a new temporary directory that
	// is removed on Close.
	Dir string
	// Primary makes the server the primary of term 1 at the start.
	Primary bool
	// Leader is the primary that the server follows at term 1 at the start.
	Leader cluster.Server
	// Schema is run on the primary at the start and shipped to the replicas.
	Schema string
	// Slots is the number of statements that execute at once.
	Slots int
	// Connections limits the connections; ControlConnections are kept for
	// control beyond it.
	Connections        int
	ControlConnections int
	// ConnectDelay is the time that opening a connection takes.
	ConnectDelay time.Duration
	// ReplayLag is the time between receiving and replaying a log record.
	ReplayLag time.Duration
	// TLS is offered when it is set.
	TLS      *tls.Config
	Auth     Auth
	User     string
	Password string
	// Dial reaches the leader; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	Log  zerolog.Logger
}

func (c Config) withDefaults() Config {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	if c.ControlConnections == 0 {
		c.ControlConnections = DefaultControlConnections
	}
	if c.Auth == "" {
		c.Auth = AuthTrust
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return c
}
