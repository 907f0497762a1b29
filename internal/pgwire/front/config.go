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
	DefaultStartupTime       = 10 * time.Second
	DefaultStartupBytes      = 10_000
	DefaultMaxUnauthorized   = 256
	DefaultMessageBytes      = 16 << 20
	DefaultMessageTime       = time.Minute
	DefaultWriteTime         = 30 * time.Second
	DefaultStatementTime     = time.Minute
	DefaultTransactionTime   = 10 * time.Minute
	DefaultIdleInTransaction = time.Minute
	DefaultPreparedPerCaller = 1000
	DefaultPreparedBytes     = 32 << 20
	DefaultBufferBytes       = 64 << 20
	DefaultServerVersion     = "16.0"
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
	// TLS returns the TLS configuration for a new caller, so that reloaded
	// certificates take effect. TLS is refused when it is nil.
	TLS func() *tls.Config
	// RequireTLS refuses callers that do not ask for TLS.
	RequireTLS bool
	// ServerVersion is reported to callers.
	ServerVersion string
	// StartupTime bounds the time from accept to the end of authentication.
	StartupTime time.Duration
	// MaxUnauthorized bounds the connections that have not authenticated yet.
	MaxUnauthorized int
	// MessageTime bounds the time from the first to the last byte of a message.
	MessageTime time.Duration
	// WriteTime bounds one write to a caller.
	WriteTime time.Duration
	// PreparedPerCaller bounds the named prepared statements of one caller.
	PreparedPerCaller int
	// PreparedBytes bounds the definitions of all prepared statements; callers
	// share equal ones.
	PreparedBytes int64
	// BufferBytes bounds the memory for messages and batches above a few KiB.
	BufferBytes int64
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
	c.StartupTime = cmp.Or(c.StartupTime, DefaultStartupTime)
	c.MaxUnauthorized = cmp.Or(c.MaxUnauthorized, DefaultMaxUnauthorized)
	c.MessageTime = cmp.Or(c.MessageTime, DefaultMessageTime)
	c.WriteTime = cmp.Or(c.WriteTime, DefaultWriteTime)
	c.PreparedPerCaller = cmp.Or(c.PreparedPerCaller, DefaultPreparedPerCaller)
	c.PreparedBytes = cmp.Or(c.PreparedBytes, DefaultPreparedBytes)
	c.BufferBytes = cmp.Or(c.BufferBytes, DefaultBufferBytes)
	return c
}

// limits returns the document's limits with defaults in place of zero, except
// for limits where zero means no bound.
func limits(d Directory) environment.Limits {
	l := d.Limits()
	l.MessageBytes = cmp.Or(l.MessageBytes, DefaultMessageBytes)
	l.StatementTime = cmp.Or(l.StatementTime, DefaultStatementTime)
	l.TransactionTime = cmp.Or(l.TransactionTime, DefaultTransactionTime)
	l.IdleInTransaction = cmp.Or(l.IdleInTransaction, DefaultIdleInTransaction)
	return l
}
