package caller

import (
	"errors"

	"github.com/rattancove/rattancove/internal/errcode"
)

// ErrInvalidMessage is returned by Conn.Read for a message that the protocol does not
// have. Nothing more can be read from the connection; what was read before is answered.
var ErrInvalidMessage = errors.New("invalid message")

// ErrInvalidAnswer is returned by Conn.Answer for data that is not one whole answer. None
// of it was sent.
var ErrInvalidAnswer = errors.New("invalid answer")

// Kind is the kind of a statement.
type Kind uint8

// Kinds of statements.
const (
	// KindMalformed is a statement that cannot be decoded; it is refused.
	KindMalformed Kind = iota
	KindBegin
	KindBeginReadOnly
	KindCommit
	KindRollback
	KindRead
	KindWrite
	KindSet
	KindPrepare
	KindExecute
	// KindDeallocate removes a prepared statement.
	KindDeallocate
	// KindTooLong is a statement that exceeds the longest message. It is refused, and
	// nothing more is read.
	KindTooLong
	// KindNoMemory is a long statement that was skipped, since the process holds too many. It
	// is refused.
	KindNoMemory
)

// Statement is a decoded statement of a caller.
type Statement struct {
	Kind Kind
	// ID is the request id given by the caller; it is logged and forwarded.
	ID string
	// Name is the name of the setting of KindSet, or of the prepared statement of
	// KindPrepare, KindExecute and KindDeallocate.
	Name string
	// Value is the value of KindSet.
	Value string
	// Definition is the text that KindPrepare prepares, and Writes whether it writes.
	Definition string
	Writes     bool
	// Text is the text after the statement's name for KindExecute, and the whole
	// text for KindRead, KindWrite and KindCommit.
	Text string
}

// State is the transaction state reported to the caller.
type State uint8

// Transaction states.
const (
	StateIdle State = iota
	StateOpen
	StateFailed
)

// Conn is a caller connection, implemented by a protocol adapter. One goroutine may
// read while another one writes.
type Conn interface {
	// Read returns the next statement. It returns io.EOF when the caller has
	// disconnected.
	Read() (*Statement, error)
	// EndReading makes Read fail once it has returned the statements that were received as a
	// whole. It may be called while another goroutine reads.
	EndReading()
	// Forward encodes a statement for a backend server; name replaces the name of a
	// prepared statement.
	Forward(s *Statement, name string) []byte
	// Definition encodes the messages that prepare a statement at a backend server
	// under name.
	Definition(s *Statement, name string) []byte
	// Answer sends a server's complete answer and the state after it to the caller. It
	// returns ErrInvalidAnswer for data that is not one.
	Answer(data []byte, after State) error
	// Done confirms a statement that the session handled without a server.
	Done(after State) error
	// Fail answers a statement with an error and the state after it.
	Fail(err *errcode.Error, after State) error
}
