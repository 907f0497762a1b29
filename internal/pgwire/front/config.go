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

// Defaults of Config and of the limits in the environment document.
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

// Directory is the part of the environment document that a Server needs. Its
// methods are called for each connection or request and must not block.
type Directory interface {
	// Account returns the account of a user in a database group. The second result
	// is false if the user may not use the group.
	Account(user string, group cluster.GroupName) (Account, bool)
	// Limits returns the limits in force.
	Limits() environment.Limits
	// Freshness returns the kind of read with the given name in the document.
	Freshness(name string) (statement.Freshness, bool)
}

// Account describes a user of a database group, as the document defines it.
type Account struct {
	Customer string
	// MaxCallers is the maximum number of the customer's connections to this proxy;
	// zero means no limit.
	MaxCallers int
	// Verifier is the SCRAM-SHA-256 verifier in PostgreSQL's format. If it is
	// empty, the user needs no password.
	Verifier string
}

// Config holds the settings of a Server. A zero value stands for its default.
type Config struct {
	// Proxy is the ID of this proxy.
	Proxy cluster.ProxyID
	// TLSConfig returns the TLS configuration for a new caller. It is called for
	// each one, so that reloaded certificates take effect. If it is nil, TLS is not
	// offered.
	TLSConfig func() *tls.Config
	// RequireTLS refuses callers that do not use TLS.
	RequireTLS bool
	// ServerVersion is the server version that is reported to callers.
	ServerVersion string
	// StartupTimeout bounds the time from accept to the end of authentication.
	StartupTimeout time.Duration
	// MaxUnauthenticated is the maximum number of connections that have not
	// authenticated yet.
	MaxUnauthenticated int
	// MessageTimeout bounds the time from the first to the last byte of a message.
	MessageTimeout time.Duration
	// WriteTimeout bounds a single write to a caller.
	WriteTimeout time.Duration
	// MaxPreparedPerCaller is the maximum number of named prepared statements of
	// one caller.
	MaxPreparedPerCaller int
	// MaxPreparedBytes bounds the memory for the prepared statements of all
	// callers; equal ones are shared.
	MaxPreparedBytes int64
	// MaxBufferBytes bounds the memory for messages and batches larger than a few
	// KiB.
	MaxBufferBytes int64
	// Admit is called for each new caller. If it returns an error, which must be an
	// *errcode.Error, the caller is refused. It may be nil.
	Admit func() error
	// ForwardCancel forwards a cancel request whose key this proxy did not issue.
	// It may be nil.
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

// effectiveLimits returns the document's limits with zero values replaced by their
// defaults, except for limits where zero means no limit.
func effectiveLimits(directory Directory) environment.Limits {
	limits := directory.Limits()
	limits.MessageBytes = cmp.Or(limits.MessageBytes, DefaultMaxMessageBytes)
	limits.StatementTime = cmp.Or(limits.StatementTime, DefaultStatementTimeout)
	limits.TransactionTime = cmp.Or(limits.TransactionTime, DefaultTransactionTimeout)
	limits.IdleInTransaction = cmp.Or(limits.IdleInTransaction, DefaultIdleInTransactionTimeout)
	return limits
}
