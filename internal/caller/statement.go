package caller

import "github.com/rattancove/rattancove/internal/errcode"

// Kind tells what a statement asks for.
type Kind uint8

// Kinds of statements.
const (
	// KindMalformed cannot be understood and is refused.
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
)

// Statement is one decoded statement of a caller.
type Statement struct {
	Kind Kind
	// ID is the caller's name for the request; it stands in logs and is passed on.
	ID string
	// Name is the setting of KindSet and the prepared statement of KindPrepare,
	// KindExecute and KindDeallocate.
	Name string
	// Value is the value of KindSet.
	Value string
	// Definition is the definition of KindPrepare, and Writes whether it writes.
	Definition  string
	Writes bool
	// Text is what follows the statement's name in KindExecute, and the whole
	// text of KindRead, KindWrite and KindCommit.
	Text string
}

// State is the transaction state that the caller is shown.
type State uint8

// Transaction states.
const (
	StateIdle State = iota
	StateOpen
	StateFailed
)

// Conn is the caller's connection as an adapter presents it. Reading and
// writing may happen in different goroutines.
type Conn interface {
	// Read returns the next statement. io.EOF means that the caller has left.
	Read() (*Statement, error)
	// Forward returns the messages that carry a statement to a backend server;
	// name replaces the name of a prepared statement.
	Forward(s *Statement, name string) []byte
	// Definition returns the messages that prepare a statement at a server.
	Definition(s *Statement, name string) []byte
	// Answer passes a server's complete answer on, and the state after it.
	Answer(data []byte, after State) error
	// Done answers a statement that the proxy carried out itself.
	Done(after State) error
	// Fail answers a statement with an error.
	Fail(err *errcode.Error, after State) error
}
