package back

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rs/zerolog"
)

// Defaults of Config.
const (
	DefaultConnectTimeout = 2 * time.Second
	DefaultControlTimeout = 2 * time.Second
	// DefaultCancelGrace is the time to wait for the server's response after a cancel request.
	DefaultCancelGrace = 500 * time.Millisecond
	// DefaultMaxPrepared is the maximum number of prepared statements per connection.
	DefaultMaxPrepared = 256
)

// Limits on memory use.
const (
	// maxFrame is the maximum size of a protocol message from a server, in bytes.
	maxFrame = 64 << 20
	// maxBufferedResponse is the maximum size of a response that is buffered until it is
	// complete, in bytes.
	maxBufferedResponse = 64 << 20
	// maxOrderResponse is the maximum size of a response recorded with an order, in bytes.
	maxOrderResponse = 1 << 20
	// forwardThreshold is the number of buffered bytes at which a response is forwarded.
	forwardThreshold = 16 << 10
	readBufferBytes  = 32 << 10
	// maxRetainedFrame is the maximum size of the message buffer that a connection keeps
	// between messages, in bytes.
	maxRetainedFrame = 256 << 10
)

// Credentials authenticate the adapter to the servers of a group.
type Credentials struct {
	User     string
	Password string
	Database string
}

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config holds the settings of a Dialer.
type Config struct {
	// ConnectTimeout limits opening a connection, ControlTimeout one control call.
	ConnectTimeout time.Duration
	ControlTimeout time.Duration
	CancelGrace    time.Duration
	// TLS returns the client configuration for a server's host name. If it is set,
	// connecting to a server that does not offer TLS fails.
	TLS         func(serverName string) *tls.Config
	Credentials Credentials
	MaxPrepared int
	// Dial opens the network connection to a server; nil means TCP.
	Dial DialFunc
	Log  zerolog.Logger
}

func (c Config) withDefaults() Config {
	setDefault(&c.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&c.ControlTimeout, DefaultControlTimeout)
	setDefault(&c.CancelGrace, DefaultCancelGrace)
	setDefault(&c.MaxPrepared, DefaultMaxPrepared)
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", address)
		}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
