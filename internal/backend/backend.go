package backend

import (
	"context"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// Claim identifies the home on whose behalf a connection is opened. A server refuses
// and closes connections with an epoch below the highest that it has accepted, and
// those with the same epoch from another home.
type Claim struct {
	Epoch cluster.Epoch
	Home  cluster.ProxyID
}

// TxStatus is the transaction state after an exchange.
type TxStatus uint8

// Transaction states.
const (
	TxIdle TxStatus = iota
	TxOpen
	TxFailed
)

// Result describes a completed exchange.
type Result struct {
	Tx TxStatus
	// SQLState is the SQLSTATE of the server's error; empty on success.
	SQLState string
	// ReadOnlyRefused is set if the server refused to run the batch because it is a
	// replica. Nothing ran and nothing was passed to the conversation.
	ReadOnlyRefused bool
	// Committed is set if the exchange ended a transaction that may have written.
	Committed bool
	// Position is the log position after the exchange as reported by the server: the
	// commit position on a primary, the replayed position on a replica. It is only
	// requested if Exchange.WantPosition is set.
	Position cluster.Position
	// ServerError is set if the server ended the batch with an error without breaking
	// the protocol: nothing was passed to the conversation, and the connection is
	// usable. Adapters whose callers read the server's errors pass them on instead.
	ServerError *errcode.Error
	// MustClose is set if the connection must be closed and never reused, although the
	// exchange is complete.
	MustClose bool
	// Deduplicated is set if the order ID was already recorded; the recorded response was
	// passed on.
	Deduplicated bool
}

// Exchange is one batch to run on a connection.
type Exchange struct {
	Batch    *statement.Batch
	Settings []statement.Setting
	// MinPosition is the position that the server's data must have reached; unknown if
	// there is no requirement. Adapters that cannot check it ignore it.
	MinPosition cluster.Position
	// OrderID, if set, is recorded with the response in the same database transaction as
	// the batch.
	OrderID string
	// WantPosition requests the log position in the same round trip.
	WantPosition bool
	// OnBatchEnd, if not nil, is called once the server has ended the batch, and whatever
	// the adapter ran with it, without breaking the protocol. The call precedes
	// BeforeFirstByte, BeforeFlush and the rest of the response; at most the position may
	// still be requested. It may be called more than once.
	OnBatchEnd func()
	// BeforeFirstByte, if not nil, is called once before the first byte of a response is
	// passed to the conversation. Its error aborts the exchange.
	BeforeFirstByte func(ctx context.Context) error
	// BeforeFlush, if not nil, is called with the complete result if BufferResponse is
	// set, before the buffered bytes are passed on. Its error aborts the exchange without
	// passing them.
	BeforeFlush func(ctx context.Context, result Result) error
	// BufferResponse holds the response back until the exchange is complete.
	BufferResponse bool
}

// Conn is a data connection. It carries one exchange at a time.
type Conn interface {
	Exchange(ctx context.Context, x *Exchange, conv statement.Conversation) (Result, error)
	// Cancel asks the server to cancel the running exchange. It may be called
	// concurrently with Exchange.
	Cancel(ctx context.Context) error
	// Reset returns the connection to its initial session state.
	Reset(ctx context.Context) error
	// Sent reports whether any byte of the last exchange may have reached the server.
	Sent() bool
	Close() error
}

// Control is a control connection. It carries one call at a time. A call that returns
// an error may still have taken effect; all calls are idempotent by their term, epoch
// and holder.
type Control interface {
	Status(ctx context.Context) (cluster.ServerStatus, error)
	// Claim makes c the highest home claim. The server closes every data connection of
	// a lower epoch and rolls back its transactions.
	Claim(ctx context.Context, c Claim) (cluster.ServerStatus, error)
	// Seal makes the server accept term for holder. A sealed server neither writes nor
	// stores log records of a lower term. A server that has accepted the same term from
	// another holder, or a higher term, refuses.
	Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error)
	// Promote makes a server that holder has sealed at term the primary of term. The
	// primary begins the term with a log record, so that every position that it reports
	// afterwards is of its own term.
	Promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error)
	// Follow makes the server a replica of leader at term. The server discards log
	// records that the leader does not have.
	Follow(ctx context.Context, term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error)
	Close() error
}

// Replication controls the replication of a server whose promotions are requested from a
// platform instead of the server. All calls are idempotent by their term and return the
// status after the call; a call that failed may still have taken effect.
type Replication interface {
	Status(ctx context.Context) (cluster.ServerStatus, error)
	// Pause makes a replica stop receiving. The term must be above every other term
	// known to the server. A restart of the server ends the pause.
	Pause(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
	// Resume makes a paused replica receive again.
	Resume(ctx context.Context) (cluster.ServerStatus, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
	Close() error
}

// Dialer opens connections to backend servers.
type Dialer interface {
	// Dial opens a data connection on which only statements of the organisation may run. It
	// is empty where callers have no organisation.
	Dial(ctx context.Context, s cluster.Server, group cluster.GroupName, organisation string, c Claim) (Conn, error)
	DialControl(ctx context.Context, s cluster.Server, group cluster.GroupName) (Control, error)
}
