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
	// boundaryCopy marks a piece of a COPY.
	boundaryCopy
)

// Kinds of messages in batch.asked besides the protocol's own types.
const (
	askedDescribeStatement = 'd'
	askedDescribePortal    = 'D'
)

// batch is a batch under collection together with what the answer must look like.
type batch struct {
	statement.Batch
	boundary boundary
	script   answerScript
	// asked holds the types of the caller's messages of the extended protocol.
	asked []byte
	// executed holds the texts that the batch runs, in order.
	executed []*sqlclass.Analysis
	// prepared holds the texts that the batch parses or describes. They tell the
	// options of a batch that runs nothing.
	prepared []*sqlclass.Analysis
	// unknownText is set when the batch runs a text that is not known, such
	// as that of a portal of an earlier batch.
	unknownText bool
	// portals maps the portals that the batch binds to their texts.
	portals []portal
	// unnamedParsed is set once the batch carries the unnamed statement.
	unnamedParsed bool
	// sent counts the messages for the server besides the final Sync.
	sent int
	// err refuses the batch before any of it runs.
	err error
}

type portal struct {
	name       string
	definition *definition
}

// runs reports whether the batch runs a text, and not only prepares some.
func (b *batch) runs() bool { return len(b.executed) > 0 || b.unknownText }

// forward adds a message whose answer goes to the caller.
func (b *batch) forward(message []byte) {
	b.Messages = append(b.Messages, message...)
	b.sent++
	b.script.steps = append(b.script.steps, step{kind: stepForward})
}

// insert adds a message that the caller did not send.
func (b *batch) insert(message []byte) {
	b.Messages = append(b.Messages, message...)
	b.sent++
	b.script.steps = append(b.script.steps, step{kind: stepSwallow})
}

// answer adds a local answer.
func (b *batch) answer(messages ...pgproto3.BackendMessage) {
	b.script.steps = append(b.script.steps, step{kind: stepLocal, answer: encode(messages...)})
}

// refuse keeps the first error.
func (b *batch) refuse(err error) {
	if b.err == nil {
		b.err = err
	}
}

func (b *batch) bind(name string, d *definition) {
	for i := range b.portals {
		if b.portals[i].name == name {
			b.portals[i].definition = d
			return
		}
	}
	b.portals = append(b.portals, portal{name: name, definition: d})
}

func (b *batch) portal(name string) *definition {
	for _, p := range b.portals {
		if p.name == name {
			return p.definition
		}
	}
	return nil
}

// need lists a definition that the connection must know.
func (b *batch) need(d *definition) {
	for _, p := range b.Prepared {
		if p.Name == d.name {
			return
		}
	}
	b.Prepared = append(b.Prepared, statement.Prepared{Name: d.name, Parse: d.parse})
}

// classify sets the class from the texts that the batch runs.
func (b *batch) classify() {
	b.Class = classOf(b.executed, b.unknownText)
}

func classOf(executed []*sqlclass.Analysis, unknown bool) statement.Class {
	switch {
	case unknown:
		return statement.ClassWrite
	case len(executed) == 0:
		return statement.ClassRead
	case len(executed) == 1:
		return executed[0].Class
	}
	reads := allReads(executed[1:])
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

func allReads(executed []*sqlclass.Analysis) bool {
	for _, a := range executed {
		if a.Class != statement.ClassRead {
			return false
		}
	}
	return true
}

// statements calls yield for each statement that the batch runs, in order.
func (b *batch) statements(yield func(sqlclass.Statement) bool) {
	for _, a := range b.executed {
		for _, s := range a.Statements {
			if !yield(s) {
				return
			}
		}
	}
}

// endsTransaction reports whether the batch runs nothing but COMMIT or ROLLBACK.
func (b *batch) endsTransaction() (commit, ends bool) {
	if len(b.executed) != 1 || b.unknownText {
		return false, false
	}
	s, ok := b.executed[0].Single()
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
