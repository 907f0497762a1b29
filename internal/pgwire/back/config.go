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
	// DefaultCancelGrace is the wait for the server's answer after a cancel request.
	DefaultCancelGrace = 500 * time.Millisecond
	// DefaultMaxPrepared bounds the prepared statements of one connection.
	DefaultMaxPrepared = 256
)

// Limits of what is kept in memory.
const (
	// maxFrame bounds one protocol message of a server.
	maxFrame = 64 << 20
	// maxBufferedResponse bounds an answer that is held back until it is complete.
	maxBufferedResponse = 64 << 20
	// maxOrderResponse bounds an answer that is recorded with an order.
	maxOrderResponse = 1 << 20
	// forwardThreshold is the size from which answers are passed on.
	forwardThreshold = 16 << 10
	readBufferBytes  = 32 << 10
	// maxRetainedFrame bounds the buffer that a connection keeps for messages.
	maxRetainedFrame = 256 << 10
)

// Credentials are what the adapter presents to the servers of a group.
type Credentials struct {
	User     string
	Password string
	Database string
}

// DialFunc opens a network connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config holds the settings of a Dialer.
type Config struct {
	// ConnectTimeout bounds opening a connection, ControlTimeout one control call.
	ConnectTimeout time.Duration
	ControlTimeout time.Duration
	CancelGrace    time.Duration
	// TLS returns the client configuration for a server's host name. When it is
	// set, a server that does not offer TLS is an error.
	TLS         func(serverName string) *tls.Config
	Credentials Credentials
	MaxPrepared int
	// Dial reaches a server; nil means TCP.
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
