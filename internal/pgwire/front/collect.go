package front

import (
	"encoding/binary"
	"io"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/sqlclass"
)

// Types of frontend messages.
const (
	msgBind         = 'B'
	msgClose        = 'C'
	msgCopyData     = 'd'
	msgCopyDone     = 'c'
	msgCopyFail     = 'f'
	msgDescribe     = 'D'
	msgExecute      = 'E'
	msgFlush        = 'H'
	msgFunctionCall = 'F'
	msgParse        = 'P'
	msgPassword     = 'p'
	msgQuery        = 'Q'
	msgSync         = 'S'
	msgTerminate    = 'X'
)

const (
	// objectStatement and objectPortal stand in Describe and Close.
	objectStatement = 'S'
	objectPortal    = 'P'
	// batchBytesFactor bounds a batch as a multiple of the message limit.
	batchBytesFactor = 4
)

var syncMessage = []byte{msgSync, 0, 0, 0, 4}

// take adds one message of the caller to the batch under collection. It
// reports whether the batch is complete. An *errcode.Error ends the connection.
func (c *caller) take(kind byte, message []byte) (bool, error) {
	if c.discarding {
		return false, c.discard(kind)
	}
	if c.batch == nil {
		c.batch = &batch{}
	}
	b := c.batch
	if len(b.Messages)+len(message) > batchBytesFactor*c.messageBytes {
		return false, errcode.Wrap(errOversize, errcode.LimitExceeded, "collect", "")
	}
	if len(b.Messages)+len(message) > uncountedBatchBytes {
		if err := c.reserve(len(message)); err != nil {
			return false, err
		}
	}
	body := message[headerBytes:]
	switch kind {
	case msgQuery:
		return c.takeQuery(b, body)
	case msgParse:
		return false, c.takeParse(b, body)
	case msgBind:
		return false, c.takeBind(b, message)
	case msgDescribe:
		return false, c.takeDescribe(b, message)
	case msgExecute:
		return false, c.takeExecute(b, message)
	case msgClose:
		return false, c.takeClose(b, message)
	case msgFlush:
		return c.takeFlush(b)
	case msgSync:
		b.boundary = boundarySync
		b.Messages = append(b.Messages, syncMessage...)
		return true, nil
	case msgFunctionCall:
		b.boundary = boundaryQuery
		b.unknownText = true
		b.Messages = append(b.Messages, message...)
		b.sent++
		b.script.steps = append(b.script.steps, step{kind: stepRest})
		return true, nil
	case msgCopyData, msgCopyDone, msgCopyFail:
		// The caller had not seen yet that its COPY ended.
		return false, nil
	case msgTerminate:
		return false, io.EOF
	default:
		return false, protocolError("collect")
	}
}

// discard drops messages up to Sync after an error in the extended protocol.
func (c *caller) discard(kind byte) error {
	switch kind {
	case msgTerminate:
		return io.EOF
	case msgSync:
		c.discarding = false
		c.ready(c.tx)
	}
	return nil
}

func (c *caller) takeQuery(b *batch, body []byte) (bool, error) {
	text, rest, ok := cutString(body)
	if !ok || len(rest) != 0 {
		return false, protocolError("query")
	}
	b.boundary = boundaryQuery
	c.unnamed = nil
	analysis := sqlclass.Analyze(text)
	remaining, err := c.localPrefix(b, &analysis, text)
	if err != nil {
		b.refuse(err)
		return true, nil
	}
	if remaining == "" && len(b.script.steps) > 0 {
		return true, nil
	}
	c.execute(b, &analysis)
	query := pgproto3.Query{String: remaining}
	b.Messages, err = query.Encode(b.Messages)
	if err != nil {
		return false, errcode.Wrap(err, errcode.LimitExceeded, "query", "")
	}
	b.sent++
	if len(b.script.steps) > 0 {
		b.script.steps = append(b.script.steps, step{kind: stepRest})
	}
	return true, nil
}

// localPrefix answers the statements at the start of text that concern only
// the proxy and returns the rest of the text.
func (c *caller) localPrefix(b *batch, a *sqlclass.Analysis, text string) (string, error) {
	for len(a.Statements) > 0 && isLocal(a.Statements[0]) {
		r, err := c.runLocal(a.Statements[0])
		if err != nil {
			return "", err
		}
		b.answer(r.queryAnswer()...)
		a.Statements = a.Statements[1:]
	}
	for _, s := range a.Statements {
		if isLocal(s) {
			return "", unsupported("a statement for the proxy after others in one text")
		}
	}
	if len(b.script.steps) == 0 {
		return text, nil
	}
	if len(a.Statements) == 0 {
		return "", nil
	}
	a.Class = sqlclass.Analyze(text[a.Statements[0].Start:]).Class
	return text[a.Statements[0].Start:], nil
}

func (c *caller) takeParse(b *batch, body []byte) error {
	var p pgproto3.Parse
	if err := p.Decode(body); err != nil {
		return errcode.Wrap(err, errcode.Protocol, "parse", "")
	}
	b.asked = append(b.asked, msgParse)
	name := p.Name
	d, err := newDefinition(&p)
	if err != nil {
		return errcode.Wrap(err, errcode.LimitExceeded, "parse", "")
	}
	if name != "" {
		d, room := c.server.statements.share(d)
		if !room || !c.prepared.put(name, d, c.server.config.MaxPreparedPerCaller) {
			b.refuse(errcode.New(errcode.LimitExceeded, "parse", "prepared statements"))
			return nil
		}
		b.answer(&pgproto3.ParseComplete{})
		if !d.local() {
			b.need(d)
		}
		return nil
	}
	c.unnamed = d
	if d.local() {
		b.answer(&pgproto3.ParseComplete{})
		return nil
	}
	b.unnamedParsed = true
	b.prepared = append(b.prepared, &d.analysis)
	b.forward(d.parse)
	return nil
}

// refer returns the definition and the server-side name for a statement name
// and makes sure that the connection knows it. The definition is nil when the
// caller has none; the server then answers with its own error.
func (c *caller) refer(b *batch, name string) (*definition, string) {
	if name == "" {
		return c.referUnnamed(b)
	}
	d, ok := c.prepared.byName[name]
	switch {
	case ok && d.local():
		return d, ""
	case ok:
		b.need(d)
		return d, d.name
	case strings.HasPrefix(name, serverNamePrefix):
		return nil, missingName
	default:
		return nil, name
	}
}

// referUnnamed repeats the Parse of an earlier batch, because the connection
// may be another one now.
func (c *caller) referUnnamed(b *batch) (*definition, string) {
	d := c.unnamed
	if d == nil {
		return nil, missingName
	}
	if !d.local() && !b.unnamedParsed {
		b.insert(d.parse)
		b.unnamedParsed = true
	}
	return d, ""
}

func (c *caller) takeBind(b *batch, message []byte) error {
	portalName, rest, ok := cutString(message[headerBytes:])
	if !ok {
		return protocolError("bind")
	}
	name, rest, ok := cutString(rest)
	if !ok {
		return protocolError("bind")
	}
	b.asked = append(b.asked, msgBind)
	d, serverName := c.refer(b, name)
	b.bind(portalName, d)
	if d != nil && d.local() {
		b.answer(&pgproto3.BindComplete{})
		return nil
	}
	rewritten := []byte{msgBind, 0, 0, 0, 0}
	rewritten = append(rewritten, portalName...)
	rewritten = append(rewritten, 0)
	rewritten = append(rewritten, serverName...)
	rewritten = append(rewritten, 0)
	rewritten = append(rewritten, rest...)
	b.forward(setLength(rewritten))
	return nil
}

func (c *caller) takeDescribe(b *batch, message []byte) error {
	object, name, err := objectName(message, "describe")
	if err != nil {
		return err
	}
	if object == objectPortal {
		b.asked = append(b.asked, askedDescribePortal)
		if d := b.portal(name); d != nil && d.local() {
			b.answer(c.describeLocal(d)...)
			return nil
		}
		b.forward(message)
		return nil
	}
	b.asked = append(b.asked, askedDescribeStatement)
	d, serverName := c.refer(b, name)
	if d != nil && d.local() {
		b.answer(&pgproto3.ParameterDescription{})
		b.answer(c.describeLocal(d)...)
		return nil
	}
	if d != nil {
		b.prepared = append(b.prepared, &d.analysis)
	}
	describe := pgproto3.Describe{ObjectType: objectStatement, Name: serverName}
	rewritten, err := describe.Encode(nil)
	if err != nil {
		return protocolError("describe")
	}
	b.forward(rewritten)
	return nil
}

func (c *caller) takeExecute(b *batch, message []byte) error {
	name, rest, ok := cutString(message[headerBytes:])
	if !ok || len(rest) != 4 {
		return protocolError("execute")
	}
	b.asked = append(b.asked, msgExecute)
	d := b.portal(name)
	if d == nil {
		b.unknownText = true
		b.forward(message)
		return nil
	}
	if d.local() {
		c.executeLocal(b, d)
		return nil
	}
	c.execute(b, &d.analysis)
	b.forward(message)
	return nil
}

func (c *caller) takeClose(b *batch, message []byte) error {
	object, name, err := objectName(message, "close")
	if err != nil {
		return err
	}
	b.asked = append(b.asked, msgClose)
	if object == objectPortal {
		b.forward(message)
		return nil
	}
	if name == "" {
		c.unnamed = nil
	} else {
		c.prepared.remove(name)
	}
	b.answer(&pgproto3.CloseComplete{})
	return nil
}

// takeFlush ends the batch early. Outside a transaction block the server would
// commit there, so statements must not have been executed before a Flush.
func (c *caller) takeFlush(b *batch) (bool, error) {
	if len(b.asked) == 0 {
		return false, nil
	}
	if c.tx == txIdle && (len(b.executed) > 0 || b.unknownText) {
		b.refuse(unsupported("Flush after Execute outside a transaction block"))
	}
	b.boundary = boundaryFlush
	b.Messages = append(b.Messages, syncMessage...)
	return true, nil
}

// execute notes that the batch runs a text.
func (c *caller) execute(b *batch, a *sqlclass.Analysis) {
	b.executed = append(b.executed, a)
	for _, s := range a.Statements {
		if s.Kind == sqlclass.KindSessionBound {
			b.refuse(unsupported(s.Name))
		}
	}
}

func objectName(message []byte, at string) (object byte, name string, err error) {
	body := message[headerBytes:]
	if len(body) < 2 || (body[0] != objectStatement && body[0] != objectPortal) {
		return 0, "", protocolError(at)
	}
	name, rest, ok := cutString(body[1:])
	if !ok || len(rest) != 0 {
		return 0, "", protocolError(at)
	}
	return body[0], name, nil
}

// setLength writes the length of a complete message into its header.
func setLength(message []byte) []byte {
	binary.BigEndian.PutUint32(message[1:], uint32(len(message)-1))
	return message
}
