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
	// objectStatement and objectPortal are the object types in Describe and Close
	// messages.
	objectStatement = 'S'
	objectPortal    = 'P'
	// maxBatchSizeFactor is the maximum size of a batch as a multiple of the
	// message limit.
	maxBatchSizeFactor = 4
)

var syncMessage = []byte{msgSync, 0, 0, 0, 4}

// addMessage adds one of the caller's messages to the current batch. It reports
// whether the batch is complete. An error that is an *errcode.Error ends the
// connection with a FATAL error.
func (c *caller) addMessage(messageType byte, message []byte) (bool, error) {
	if c.discardingUntilSync {
		return false, c.discardUntilSync(messageType)
	}
	if c.batch == nil {
		c.batch = &batch{}
	}
	b := c.batch
	if len(b.Messages)+len(message) > maxBatchSizeFactor*c.maxMessageBytes {
		return false, errcode.Wrap(errOversize, errcode.LimitExceeded, "collect", "")
	}
	if len(b.Messages)+len(message) > uncountedBatchBytes {
		if err := c.reserveMemory(len(message)); err != nil {
			return false, err
		}
	}
	body := message[headerBytes:]
	switch messageType {
	case msgQuery:
		return c.addQuery(b, body)
	case msgParse:
		return false, c.addParse(b, body)
	case msgBind:
		return false, c.addBind(b, message)
	case msgDescribe:
		return false, c.addDescribe(b, message)
	case msgExecute:
		return false, c.addExecute(b, message)
	case msgClose:
		return false, c.addClose(b, message)
	case msgFlush:
		return c.addFlush(b)
	case msgSync:
		b.boundary = boundarySync
		b.Messages = append(b.Messages, syncMessage...)
		return true, nil
	case msgFunctionCall:
		b.boundary = boundaryQuery
		b.executesUnknownText = true
		b.Messages = append(b.Messages, message...)
		b.serverMessages++
		b.rewriter.expected = append(b.rewriter.expected, expectedResponse{action: actionForwardRest})
		return true, nil
	case msgCopyData, msgCopyDone, msgCopyFail:
		// The caller sent this before it received the end of its COPY.
		return false, nil
	case msgTerminate:
		return false, io.EOF
	default:
		return false, protocolError("collect")
	}
}

// discardUntilSync drops a message that follows an error in the extended protocol.
// A Sync ends this.
func (c *caller) discardUntilSync(messageType byte) error {
	switch messageType {
	case msgTerminate:
		return io.EOF
	case msgSync:
		c.discardingUntilSync = false
		c.sendReady(c.txStatus)
	}
	return nil
}

func (c *caller) addQuery(b *batch, body []byte) (bool, error) {
	text, rest, ok := cutCString(body)
	if !ok || len(rest) != 0 {
		return false, protocolError("query")
	}
	b.boundary = boundaryQuery
	c.unnamed = nil
	analysis := sqlclass.Analyze(text)
	remaining, err := c.runLocalPrefix(b, &analysis, text)
	if err != nil {
		b.refuse(err)
		return true, nil
	}
	if remaining == "" && len(b.rewriter.expected) > 0 {
		return true, nil
	}
	c.addExecutedText(b, &analysis)
	query := pgproto3.Query{String: remaining}
	b.Messages, err = query.Encode(b.Messages)
	if err != nil {
		return false, errcode.Wrap(err, errcode.LimitExceeded, "query", "")
	}
	b.serverMessages++
	if len(b.rewriter.expected) > 0 {
		b.rewriter.expected = append(b.rewriter.expected, expectedResponse{action: actionForwardRest})
	}
	return true, nil
}

// runLocalPrefix runs the statements at the start of text that the proxy handles
// itself and returns the rest of the text.
func (c *caller) runLocalPrefix(b *batch, a *sqlclass.Analysis, text string) (string, error) {
	for len(a.Statements) > 0 && isLocal(a.Statements[0]) {
		r, err := c.runLocal(a.Statements[0])
		if err != nil {
			return "", err
		}
		b.respondLocally(r.queryResponse()...)
		a.Statements = a.Statements[1:]
	}
	for _, s := range a.Statements {
		if isLocal(s) {
			return "", unsupported("a statement for the proxy after others in one text")
		}
	}
	if len(b.rewriter.expected) == 0 {
		return text, nil
	}
	if len(a.Statements) == 0 {
		return "", nil
	}
	a.Class = sqlclass.Analyze(text[a.Statements[0].Start:]).Class
	return text[a.Statements[0].Start:], nil
}

// parseBodyBytes returns the size of the body that holds the fields of a Parse message and
// nothing else.
func parseBodyBytes(parse *pgproto3.Parse) int {
	const zeroBytes, countBytes, oidBytes = 2, 2, 4
	return len(parse.Name) + len(parse.Query) + zeroBytes + countBytes + oidBytes*len(parse.ParameterOIDs)
}

func (c *caller) addParse(b *batch, body []byte) error {
	var parse pgproto3.Parse
	if err := parse.Decode(body); err != nil {
		return errcode.Wrap(err, errcode.Protocol, "parse", "")
	}
	if len(body) != parseBodyBytes(&parse) {
		return protocolError("parse")
	}
	b.extendedTypes = append(b.extendedTypes, msgParse)
	name := parse.Name
	stmt, err := newPreparedStatement(&parse)
	if err != nil {
		return errcode.Wrap(err, errcode.LimitExceeded, "parse", "")
	}
	if name != "" {
		stmt, ok := c.server.statements.intern(stmt)
		if !ok || !c.named.define(name, stmt, c.server.config.MaxPreparedPerCaller) {
			b.refuse(errcode.New(errcode.LimitExceeded, "parse", "prepared statements"))
			return nil
		}
		b.respondLocally(&pgproto3.ParseComplete{})
		if !stmt.isLocal() {
			b.requirePrepared(stmt)
		}
		return nil
	}
	c.unnamed = stmt
	if stmt.isLocal() {
		b.respondLocally(&pgproto3.ParseComplete{})
		return nil
	}
	b.includesUnnamed = true
	b.preparedTexts = append(b.preparedTexts, &stmt.analysis)
	b.forward(stmt.parseMessage)
	return nil
}

// resolveStatement returns the statement and its server-side name for a name that
// the caller uses, and ensures that it is prepared on the connection. The statement
// is nil if the caller has not defined it; the server then returns its usual error.
func (c *caller) resolveStatement(b *batch, name string) (*preparedStatement, string) {
	if name == "" {
		return c.resolveUnnamed(b)
	}
	stmt, ok := c.named.byName[name]
	switch {
	case ok && stmt.isLocal():
		return stmt, ""
	case ok:
		b.requirePrepared(stmt)
		return stmt, stmt.serverName
	case strings.HasPrefix(name, serverNamePrefix):
		return nil, undefinedName
	default:
		return nil, name
	}
}

// resolveUnnamed adds the Parse message of an earlier batch again, because the
// connection may be a different one now.
func (c *caller) resolveUnnamed(b *batch) (*preparedStatement, string) {
	stmt := c.unnamed
	if stmt == nil {
		return nil, undefinedName
	}
	if !stmt.isLocal() && !b.includesUnnamed {
		b.forwardHidden(stmt.parseMessage)
		b.includesUnnamed = true
	}
	return stmt, ""
}

func (c *caller) addBind(b *batch, message []byte) error {
	portalName, rest, ok := cutCString(message[headerBytes:])
	if !ok {
		return protocolError("bind")
	}
	name, rest, ok := cutCString(rest)
	if !ok {
		return protocolError("bind")
	}
	b.extendedTypes = append(b.extendedTypes, msgBind)
	stmt, serverName := c.resolveStatement(b, name)
	b.bindPortal(portalName, stmt)
	if stmt != nil && stmt.isLocal() {
		b.respondLocally(&pgproto3.BindComplete{})
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

func (c *caller) addDescribe(b *batch, message []byte) error {
	objectType, name, err := parseObjectName(message, "describe")
	if err != nil {
		return err
	}
	if objectType == objectPortal {
		b.extendedTypes = append(b.extendedTypes, extendedDescribePortal)
		if stmt := b.portalStatement(name); stmt != nil && stmt.isLocal() {
			b.respondLocally(c.describeLocal(stmt)...)
			return nil
		}
		b.forward(message)
		return nil
	}
	b.extendedTypes = append(b.extendedTypes, extendedDescribeStatement)
	stmt, serverName := c.resolveStatement(b, name)
	if stmt != nil && stmt.isLocal() {
		b.respondLocally(&pgproto3.ParameterDescription{})
		b.respondLocally(c.describeLocal(stmt)...)
		return nil
	}
	if stmt != nil {
		b.preparedTexts = append(b.preparedTexts, &stmt.analysis)
	}
	describe := pgproto3.Describe{ObjectType: objectStatement, Name: serverName}
	rewritten, err := describe.Encode(nil)
	if err != nil {
		return protocolError("describe")
	}
	b.forward(rewritten)
	return nil
}

func (c *caller) addExecute(b *batch, message []byte) error {
	name, rest, ok := cutCString(message[headerBytes:])
	if !ok || len(rest) != 4 {
		return protocolError("execute")
	}
	b.extendedTypes = append(b.extendedTypes, msgExecute)
	stmt := b.portalStatement(name)
	if stmt == nil {
		b.executesUnknownText = true
		b.forward(message)
		return nil
	}
	if stmt.isLocal() {
		c.executeLocal(b, stmt)
		return nil
	}
	c.addExecutedText(b, &stmt.analysis)
	b.forward(message)
	return nil
}

func (c *caller) addClose(b *batch, message []byte) error {
	objectType, name, err := parseObjectName(message, "close")
	if err != nil {
		return err
	}
	b.extendedTypes = append(b.extendedTypes, msgClose)
	if objectType == objectPortal {
		b.forward(message)
		return nil
	}
	if name == "" {
		c.unnamed = nil
	} else {
		c.named.remove(name)
	}
	b.respondLocally(&pgproto3.CloseComplete{})
	return nil
}

// addFlush ends the batch at a Flush. Outside a transaction block the server would
// commit at this point, so the batch is refused if it executes a statement.
func (c *caller) addFlush(b *batch) (bool, error) {
	if len(b.extendedTypes) == 0 {
		return false, nil
	}
	if c.txStatus == txIdle && (len(b.executedTexts) > 0 || b.executesUnknownText) {
		b.refuse(unsupported("Flush after Execute outside a transaction block"))
	}
	b.boundary = boundaryFlush
	b.Messages = append(b.Messages, syncMessage...)
	return true, nil
}

// addExecutedText records that the batch executes a text.
func (c *caller) addExecutedText(b *batch, a *sqlclass.Analysis) {
	b.executedTexts = append(b.executedTexts, a)
	for _, s := range a.Statements {
		if s.Kind == sqlclass.KindSessionBound {
			b.refuse(unsupported(s.Name))
		}
	}
}

func parseObjectName(message []byte, step string) (objectType byte, name string, err error) {
	body := message[headerBytes:]
	if len(body) < 2 || (body[0] != objectStatement && body[0] != objectPortal) {
		return 0, "", protocolError(step)
	}
	name, rest, ok := cutCString(body[1:])
	if !ok || len(rest) != 0 {
		return 0, "", protocolError(step)
	}
	return body[0], name, nil
}

// setLength sets the length field in the header of a complete message.
func setLength(message []byte) []byte {
	binary.BigEndian.PutUint32(message[1:], uint32(len(message)-1))
	return message
}
