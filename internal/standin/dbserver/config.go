package dbserver

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Default values of Config.
const (
	DefaultSlots              = 2
	DefaultConnections        = 16
	DefaultControlConnections = 4
	DefaultConnectDelay       = 12 * time.Millisecond
)

// Auth is the method by which a server authenticates clients.
type Auth string

// Authentication methods.
const (
	AuthTrust     Auth = "trust"
	AuthCleartext Auth = "cleartext"
	AuthSCRAM     Auth = "scram"
)

// Config configures one server.
type Config struct {
	ID cluster.ServerID
	// Dir is the directory of the database file and the journal. If empty, the
	// server uses a temporary directory, which Close removes.
	Dir string
	// Primary starts the server as the primary of term 1.
	Primary bool
	// Leader is the primary of term 1 that the server replicates from on start.
	Leader cluster.Server
	// Schema is SQL that the primary executes on start and replicates.
	Schema string
	// Slots is the maximum number of statements that execute concurrently.
	Slots int
	// Connections is the connection limit; ControlConnections is the number of
	// additional connections that are reserved for control.
	Connections        int
	ControlConnections int
	// ConnectDelay is the simulated time to open a connection.
	ConnectDelay time.Duration
	// ReplayLag is the delay between receiving a log record and replaying it.
	ReplayLag time.Duration
	// TLS enables TLS if it is not nil.
	TLS      *tls.Config
	Auth     Auth
	User     string
	Password string
	// Dial connects to the leader. The default is TCP.
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
