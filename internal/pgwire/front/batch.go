package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

// boundary states which message ended a batch.
type boundary uint8

const (
	// boundaryNone marks a batch that is not complete yet.
	boundaryNone boundary = iota
	boundaryQuery
	boundarySync
	// boundaryFlush marks a batch that ended with Flush, so the caller expects no
	// ReadyForQuery.
	boundaryFlush
	// boundaryCopyData marks a chunk of COPY data.
	boundaryCopyData
)

// Values of batch.extendedTypes for Describe, which the protocol has only one
// message type for.
const (
	extendedDescribeStatement = 'd'
	extendedDescribePortal    = 'D'
)

// batch is a batch of messages and what is needed to respond to it.
type batch struct {
	statement.Batch
	boundary boundary
	rewriter responseRewriter
	// extendedTypes holds the types of the caller's messages in the extended
	// protocol, in order.
	extendedTypes []byte
	// executedTexts holds the SQL texts that the batch executes, in order.
	executedTexts []*sqlclass.Analysis
	// preparedTexts holds the SQL texts that the batch parses or describes. Their
	// options apply to a batch that executes nothing.
	preparedTexts []*sqlclass.Analysis
	// executesUnknownText is set if the batch executes a text that is not known,
	// for example that of a portal of an earlier batch.
	executesUnknownText bool
	// portals holds the portals that the batch binds and their statements.
	portals []portal
	// includesUnnamed is set once the batch contains the Parse message of the
	// unnamed statement.
	includesUnnamed bool
	// serverMessages is the number of messages for the server, without the final
	// Sync.
	serverMessages int
	// err is the error with which the batch is refused before any of it runs; nil
	// if it is not refused.
	err error
}

type portal struct {
	name      string
	statement *preparedStatement
}

// executesText reports whether the batch executes a text rather than only preparing
// some.
func (b *batch) executesText() bool { return len(b.executedTexts) > 0 || b.executesUnknownText }

// forward adds a message whose response is forwarded to the caller.
func (b *batch) forward(message []byte) {
	b.Messages = append(b.Messages, message...)
	b.serverMessages++
	b.rewriter.expected = append(b.rewriter.expected, expectedResponse{action: actionForward})
}

// forwardHidden adds a message that the caller did not send. Its response is
// dropped.
func (b *batch) forwardHidden(message []byte) {
	b.Messages = append(b.Messages, message...)
	b.serverMessages++
	b.rewriter.expected = append(b.rewriter.expected, expectedResponse{action: actionDrop})
}

// respondLocally adds a response that the proxy generates.
func (b *batch) respondLocally(messages ...pgproto3.BackendMessage) {
	b.rewriter.expected = append(b.rewriter.expected, expectedResponse{action: actionInsert, local: encode(messages...)})
}

// refuse sets the error of the batch. The first error is kept.
func (b *batch) refuse(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *batch) bindPortal(name string, stmt *preparedStatement) {
	for i := range b.portals {
		if b.portals[i].name == name {
			b.portals[i].statement = stmt
			return
		}
	}
	b.portals = append(b.portals, portal{name: name, statement: stmt})
}

func (b *batch) portalStatement(name string) *preparedStatement {
	for _, p := range b.portals {
		if p.name == name {
			return p.statement
		}
	}
	return nil
}

// requirePrepared adds a statement that must be prepared on the connection.
func (b *batch) requirePrepared(stmt *preparedStatement) {
	for _, p := range b.Prepared {
		if p.Name == stmt.serverName {
			return
		}
	}
	b.Prepared = append(b.Prepared, statement.Prepared{Name: stmt.serverName, Parse: stmt.parseMessage})
}

// classify sets the class of the batch from the texts that it executes.
func (b *batch) classify() {
	b.Class = combinedClass(b.executedTexts, b.executesUnknownText)
}

func combinedClass(texts []*sqlclass.Analysis, unknown bool) statement.Class {
	switch {
	case unknown:
		return statement.ClassWrite
	case len(texts) == 0:
		return statement.ClassRead
	case len(texts) == 1:
		return texts[0].Class
	}
	onlyReads := isReadOnly(texts[1:])
	switch first := texts[0].Class; {
	case first == statement.ClassRead && onlyReads:
		return statement.ClassRead
	case first == statement.ClassBeginReadOnly && onlyReads:
		return statement.ClassBeginReadOnly
	case first == statement.ClassBegin, first == statement.ClassBeginReadOnly:
		return statement.ClassBegin
	default:
		return statement.ClassWrite
	}
}

func isReadOnly(texts []*sqlclass.Analysis) bool {
	for _, a := range texts {
		if a.Class != statement.ClassRead {
			return false
		}
	}
	return true
}

// statements calls yield for each statement that the batch executes, in order.
func (b *batch) statements(yield func(sqlclass.Statement) bool) {
	for _, a := range b.executedTexts {
		for _, s := range a.Statements {
			if !yield(s) {
				return
			}
		}
	}
}

// endsTransaction reports whether the batch consists of a single COMMIT or
// ROLLBACK.
func (b *batch) endsTransaction() (commit, ends bool) {
	if len(b.executedTexts) != 1 || b.executesUnknownText {
		return false, false
	}
	s, ok := b.executedTexts[0].Single()
	if !ok {
		return false, false
	}
	return s.Kind == sqlclass.KindCommit, s.Kind == sqlclass.KindCommit || s.Kind == sqlclass.KindRollback
}

// encode returns the encoded messages. Encoding fails only for messages larger than
// 1 GiB, which are never passed to it.
func encode(messages ...pgproto3.BackendMessage) []byte {
	var data []byte
	for _, m := range messages {
		encoded, err := m.Encode(data)
		if err != nil {
			return data
		}
		data = encoded
	}
	return data
}
