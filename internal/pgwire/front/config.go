package front

import (
	"cmp"
	"context"
	"crypto/tls"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/statement"
)

// Defaults of Config.
const (
	DefaultStartupTimeout           = 10 * time.Second
	maxStartupBytes                 = 10_000
	DefaultMaxUnauthenticated       = 256
	DefaultMaxMessageBytes          = 16 << 20
	DefaultMessageTimeout           = time.Minute
	DefaultWriteTimeout             = 30 * time.Second
	DefaultStatementTimeout         = time.Minute
	DefaultTransactionTimeout       = 10 * time.Minute
	DefaultIdleInTransactionTimeout = time.Minute
	DefaultMaxPreparedPerCaller     = 1000
	DefaultMaxPreparedBytes         = 32 << 20
	DefaultMaxBufferBytes           = 64 << 20
	DefaultServerVersion            = "16.0"
)

// Directory is what the callers' side needs of the environment document. Its
// methods are called for each connection or request and must not block.
type Directory interface {
	// Account finds the account of a user in a database group. The second
	// result is false when the user may not use the group.
	Account(user string, group cluster.GroupName) (Account, bool)
	// Limits returns the limits in force.
	Limits() environment.Limits
	// Freshness finds a kind of read by its name in the document.
	Freshness(name string) (statement.Freshness, bool)
}

// Account is what the document says of a user in a database group.
type Account struct {
	Customer string
	// MaxCallers bounds the customer's connections on this proxy; zero means no bound.
	MaxCallers int
	// Verifier is the SCRAM-SHA-256 verifier in PostgreSQL's form. A user
	// without one is let in without a password.
	Verifier string
}

// Config holds the settings of a Server. Zero values take the defaults.
type Config struct {
	// Proxy is the identity of this proxy.
	Proxy cluster.ProxyID
	// TLSConfig returns the TLS configuration for a new caller, so that reloaded
	// certificates take effect. TLS is refused when it is nil.
	TLSConfig func() *tls.Config
	// RequireTLS refuses callers that do not ask for TLS.
	RequireTLS bool
	// ServerVersion is reported to callers.
	ServerVersion string
	// StartupTimeout bounds the time from accept to the end of authentication.
	StartupTimeout time.Duration
	// MaxUnauthenticated bounds the connections that have not authenticated yet.
	MaxUnauthenticated int
	// MessageTimeout bounds the time from the first to the last byte of a message.
	MessageTimeout time.Duration
	// WriteTimeout bounds one write to a caller.
	WriteTimeout time.Duration
	// MaxPreparedPerCaller bounds the named prepared statements of one caller.
	MaxPreparedPerCaller int
	// MaxPreparedBytes bounds the definitions of all prepared statements; callers
	// share equal ones.
	MaxPreparedBytes int64
	// MaxBufferBytes bounds the memory for messages and batches above a few KiB.
	MaxBufferBytes int64
	// Admit is asked before each new caller; its error, an *errcode.Error,
	// refuses the caller. It may be nil.
	Admit func() error
	// ForwardCancel passes on a cancel request whose key this proxy did not
	// issue. It may be nil.
	ForwardCancel func(ctx context.Context, key CancelKey)
	Logger        zerolog.Logger
}

func (c Config) withDefaults() Config {
	c.ServerVersion = cmp.Or(c.ServerVersion, DefaultServerVersion)
	c.StartupTimeout = cmp.Or(c.StartupTimeout, DefaultStartupTimeout)
	c.MaxUnauthenticated = cmp.Or(c.MaxUnauthenticated, DefaultMaxUnauthenticated)
	c.MessageTimeout = cmp.Or(c.MessageTimeout, DefaultMessageTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.MaxPreparedPerCaller = cmp.Or(c.MaxPreparedPerCaller, DefaultMaxPreparedPerCaller)
	c.MaxPreparedBytes = cmp.Or(c.MaxPreparedBytes, DefaultMaxPreparedBytes)
	c.MaxBufferBytes = cmp.Or(c.MaxBufferBytes, DefaultMaxBufferBytes)
	return c
}

// effectiveLimits returns the document's limits with defaults in place of zero, except
// for limits where zero means no bound.
func effectiveLimits(directory Directory) environment.Limits {
	limits := directory.Limits()
	limits.MessageBytes = cmp.Or(limits.MessageBytes, DefaultMaxMessageBytes)
	limits.StatementTime = cmp.Or(limits.StatementTime, DefaultStatementTimeout)
	limits.TransactionTime = cmp.Or(limits.TransactionTime, DefaultTransactionTimeout)
	limits.IdleInTransaction = cmp.Or(limits.IdleInTransaction, DefaultIdleInTransactionTimeout)
	return limits
}
