package front

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/sqlclass"
	"github.com/rattancove/rattancove/internal/statement"
)

// boundary tells which message ended a batch.
type boundary uint8

const (
	// boundaryNone marks a batch that is still being collected.
	boundaryNone boundary = iota
	boundaryQuery
	boundarySync
	// boundaryFlush marks a batch whose ReadyForQuery the caller did not ask for.
	boundaryFlush
	// boundaryCopyData marks a piece of a COPY.
	boundaryCopyData
)

// Kinds of messages in batch.asked besides the protocol's own types.
const (
	extendedDescribeStatement = 'd'
	extendedDescribePortal    = 'D'
)

// batch is a batch under collection together with what the answer must look like.
type batch struct {
	statement.Batch
	boundary  boundary
	responses responseRewriter
	// extended holds the types of the caller's messages of the extended protocol.
	extended []byte
	// executedTexts holds the texts that the batch runs, in order.
	executedTexts []*sqlclass.Analysis
	// preparedTexts holds the texts that the batch parses or describes. They tell the
	// options of a batch that runs nothing.
	preparedTexts []*sqlclass.Analysis
	// executesUnknownText is set when the batch runs a text that is not known, such
	// as that of a portal of an earlier batch.
	executesUnknownText bool
	// portals maps the portals that the batch binds to their texts.
	portals []portal
	// includesUnnamed is set once the batch carries the unnamed statement.
	includesUnnamed bool
	// serverMessages counts the messages for the server besides the final Sync.
	serverMessages int
	// err refuses the batch before any of it runs.
	err error
}

type portal struct {
	name      string
	statement *preparedStatement
}

// executesText reports whether the batch runs a text, and not only prepares some.
func (b *batch) executesText() bool { return len(b.executedTexts) > 0 || b.executesUnknownText }

// forward adds a message whose answer goes to the caller.
func (b *batch) forward(message []byte) {
	b.Messages = append(b.Messages, message...)
	b.serverMessages++
	b.responses.expected = append(b.responses.expected, expectedResponse{action: actionForward})
}

// forwardHidden adds a message that the caller did not send.
func (b *batch) forwardHidden(message []byte) {
	b.Messages = append(b.Messages, message...)
	b.serverMessages++
	b.responses.expected = append(b.responses.expected, expectedResponse{action: actionDrop})
}

// answerLocally adds a local answer.
func (b *batch) answerLocally(messages ...pgproto3.BackendMessage) {
	b.responses.expected = append(b.responses.expected, expectedResponse{action: actionInsert, local: encode(messages...)})
}

// refuse keeps the first error.
func (b *batch) refuse(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *batch) bindPortal(name string, d *preparedStatement) {
	for i := range b.portals {
		if b.portals[i].name == name {
			b.portals[i].statement = d
			return
		}
	}
	b.portals = append(b.portals, portal{name: name, statement: d})
}

func (b *batch) portalStatement(name string) *preparedStatement {
	for _, p := range b.portals {
		if p.name == name {
			return p.statement
		}
	}
	return nil
}

// requirePrepared lists a definition that the connection must know.
func (b *batch) requirePrepared(d *preparedStatement) {
	for _, p := range b.Prepared {
		if p.Name == d.serverName {
			return
		}
	}
	b.Prepared = append(b.Prepared, statement.Prepared{Name: d.serverName, Parse: d.parseMessage})
}

// classify sets the class from the texts that the batch runs.
func (b *batch) classify() {
	b.Class = combinedClass(b.executedTexts, b.executesUnknownText)
}

func combinedClass(executed []*sqlclass.Analysis, unknown bool) statement.Class {
	switch {
	case unknown:
		return statement.ClassWrite
	case len(executed) == 0:
		return statement.ClassRead
	case len(executed) == 1:
		return executed[0].Class
	}
	reads := isReadOnly(executed[1:])
	switch first := executed[0].Class; {
	case first == statement.ClassRead && reads:
		return statement.ClassRead
	case first == statement.ClassBeginReadOnly && reads:
		return statement.ClassBeginReadOnly
	case first == statement.ClassBegin, first == statement.ClassBeginReadOnly:
		return statement.ClassBegin
	default:
		return statement.ClassWrite
	}
}

func isReadOnly(executed []*sqlclass.Analysis) bool {
	for _, a := range executed {
		if a.Class != statement.ClassRead {
			return false
		}
	}
	return true
}

// statements calls yield for each statement that the batch runs, in order.
func (b *batch) statements(yield func(sqlclass.Statement) bool) {
	for _, a := range b.executedTexts {
		for _, s := range a.Statements {
			if !yield(s) {
				return
			}
		}
	}
}

// endsTransaction reports whether the batch runs nothing but COMMIT or ROLLBACK.
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

// encode returns the messages in wire form. Encoding fails only for messages
// beyond 1 GiB, which the callers of encode never build.
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
