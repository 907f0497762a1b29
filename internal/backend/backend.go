package backend

import (
	"context"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// Claim identifies the home on whose behalf a connection is opened. A server
// refuses and ends connections of an epoch below the highest it has accepted,
// and those of the same epoch by another home.
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
	// SQLState is the code of the error that the server answered; empty on success.
	SQLState string
	// ReadOnlyRefused is set when the server refused to run the batch because
	// it is a replica. Nothing ran and nothing was passed to the conversation.
	ReadOnlyRefused bool
	// Committed is set when the exchange ended a transaction that may have written.
	Committed bool
	// Position is the log position after the exchange as the server reported
	// it: the commit position on a primary, the replayed position on a
	// replica. It is only asked for when Exchange.WantPosition is set.
	Position cluster.Position
	// ServerError is set when the server ended the batch with an error in good
	// order: nothing was passed to the conversation, and the connection is usable.
	// Adapters whose callers read the server's errors pass them on instead.
	ServerError *errcode.Error
	// Deduplicated is set when the order id was on record; the recorded answer was passed on.
	Deduplicated bool
}

// Exchange is one batch to run on a connection.
type Exchange struct {
	Batch    *statement.Batch
	Settings []statement.Setting
	// MinPosition is the position that the server's data must have reached; unknown
	// when any will do. An adapter without such a check leaves it out.
	MinPosition cluster.Position
	// OrderID, when set, records the id and the answer in the same database
	// transaction as the batch.
	OrderID string
	// WantPosition asks for the log position in the same round trip.
	WantPosition bool
	// OnBatchEnd is called once the server has ended the batch, and what the adapter
	// ran with it, in good order: before Gate, Release and the rest of the
	// answer. Only the position may still be asked for. It may be nil and may
	// be called again.
	OnBatchEnd func()
	// BeforeFirstByte is called once before the first byte of an answer is passed to the
	// conversation. Its error aborts the exchange. It may be nil.
	BeforeFirstByte func(ctx context.Context) error
	// BeforeFlush is called with the complete answer when HoldAnswer is set,
	// before the held bytes are passed on. Its error aborts the exchange
	// without passing them. It may be nil.
	BeforeFlush func(ctx context.Context, a Result) error
	// BufferResponse keeps the answer back until the exchange is complete.
	BufferResponse bool
}

// Conn is a data connection. It carries one exchange at a time.
type Conn interface {
	Exchange(ctx context.Context, x *Exchange, conv statement.Conversation) (Result, error)
	// Cancel asks the server to stop the running exchange. It may be called
	// while Exchange runs.
	Cancel(ctx context.Context) error
	// Reset returns the connection to its initial session state.
	Reset(ctx context.Context) error
	// Sent reports whether any byte of the last exchange may have reached the server.
	Sent() bool
	Close() error
}

// Control is a control connection. It carries one call at a time. A call that
// returns an error may have taken effect; every call is idempotent by its
// term, epoch and holder.
type Control interface {
	Status(ctx context.Context) (cluster.ServerStatus, error)
	// Claim makes c the highest home claim. The server ends every data
	// connection of a lower epoch and rolls back its transactions.
	Claim(ctx context.Context, c Claim) (cluster.ServerStatus, error)
	// Seal makes the server accept term for holder. A sealed server neither
	// writes nor stores log records of a lower term. A server that accepted
	// the same or a higher term from another holder refuses.
	Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error)
	// Promote makes a server sealed at term by holder the primary of term. The
	// primary opens the term with a log record, so that every position that it
	// reports afterwards is of its own term.
	Promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error)
	// Follow makes the server a replica of leader at term. It discards log
	// records that the leader does not have.
	Follow(ctx context.Context, term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error)
	Close() error
}

// Replication controls the replication of a server where a platform, and not
// the server, is asked to promote. Every call is idempotent by its term and
// returns the status after it; a call that failed may have taken effect.
type Replication interface {
	Status(ctx context.Context) (cluster.ServerStatus, error)
	// Pause makes a replica stop receiving. The term must be above every other
	// that the server knows. A restart of the server undoes it.
	Pause(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
	// Resume makes a paused replica receive again.
	Resume(ctx context.Context) (cluster.ServerStatus, error)
	// StepDown makes a primary of a lower term a replica.
	StepDown(ctx context.Context, term cluster.Term) (cluster.ServerStatus, error)
	Close() error
}

// Dialer opens connections to backend servers.
type Dialer interface {
	Dial(ctx context.Context, s cluster.Server, group cluster.GroupName, c Claim) (Conn, error)
	DialControl(ctx context.Context, s cluster.Server, group cluster.GroupName) (Control, error)
}
