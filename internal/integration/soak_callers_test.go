package integration

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// stockStaleness and browseStaleness are the staleness bounds of the stock and
	// browse routes.
	stockStaleness  = 2500 * time.Millisecond
	browseStaleness = 1500 * time.Millisecond
	// responseTimeout bounds the wait for a response; the routes' timeout is 1 s.
	responseTimeout = 4 * time.Second
	// maxThinkTime is the maximum pause between two operations of a session.
	maxThinkTime = 60 * time.Millisecond
)

// refusalCodes are the error codes that guarantee that no write of the attempt was
// committed.
var refusalCodes = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN", "DENIED"}

// soakCaller is a session of a caller that reconnects when its connection ends.
type soakCaller struct {
	soak     *soak
	name     string
	key      string // empty without organisations
	kind     string // orders, stock or browse
	group    string
	random   *rand.Rand
	conn     net.Conn
	reader   *bufio.Reader
	edge     *soakEdge
	tag      string
	requests int
	// single is written by single statements, and first together with its pair in
	// transactions.
	single, first *item
	itemSets      int
	// inTransaction is set while a transaction is open, and began is when its first
	// statement or the last statement outside of a transaction was sent.
	inTransaction bool
	began         time.Time
	// ownWrites holds the number of the last write of each item that was acknowledged
	// on this connection.
	ownWrites map[string]int
	// prepared holds the prepared statements of the connection by name.
	prepared map[string]string
}

var errCallerClosed = errors.New("the connection is closed")

func (c *soakCaller) run(ctx context.Context) {
	c.replaceItems()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			sleep(ctx, 50*time.Millisecond)
			continue
		}
		if err := c.runOperation(); err != nil {
			c.close()
		}
		sleep(ctx, time.Duration(c.random.Int64N(int64(maxThinkTime))))
		if c.random.IntN(200) == 0 {
			c.close() // reconnect from time to time
		}
	}
	c.close()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// replaceItems replaces the items of the session. It is called after a write of
// unknown outcome, which may take effect later than the next write.
func (c *soakCaller) replaceItems() {
	if c.kind == "browse" {
		return
	}
	c.itemSets++
	h := c.soak.history
	c.single = h.newItem(c.group, fmt.Sprintf("%s-%d-single", c.name, c.itemSets))
	c.first = h.newItem(c.group, fmt.Sprintf("%s-%d-first", c.name, c.itemSets))
	c.first.pair = h.newItem(c.group, fmt.Sprintf("%s-%d-second", c.name, c.itemSets))
}

// connect connects to a process in rotation. Some callers with keys ignore the rotation.
func (c *soakCaller) connect() bool {
	if c.key != "" && !c.soak.plannedOnly && c.random.IntN(4) == 0 {
		return c.connectTo(c.soak.randomEdge(c.random))
	}
	return c.connectTo(c.soak.randomEdgeInRotation(c.random))
}

func (c *soakCaller) connectTo(e *soakEdge) bool {
	c.edge = e
	conn, err := net.DialTimeout("tcp", c.edge.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.ownWrites, c.prepared = conn, bufio.NewReader(conn), map[string]int{}, map[string]string{}
	c.tag = ""
	_, err = c.roundTrip(fmt.Sprintf("STARTUP %s-%s %s", c.group, c.kind, cmp.Or(c.key, c.name)))
	if err == nil && c.random.IntN(2) == 0 {
		c.tag = dataOf(c.name, c.random.IntN(1_000_000))
		_, _, err = c.query("SET tag " + c.tag)
	}
	if err == nil && c.random.IntN(2) == 0 {
		err = c.prepare()
	}
	if err != nil {
		c.close()
	}
	return err == nil
}

// prepare prepares a read and a write under names that other sessions use for statements
// of their own.
func (c *soakCaller) prepare() error {
	for name, definition := range map[string]string{"READ": "READ " + c.name, "WRITE": "WRITE " + c.name} {
		_, code, err := c.query("PARSE " + name + " " + definition)
		if err != nil || code != "" {
			return cmp.Or(err, errCallerClosed)
		}
		c.prepared[name] = definition
	}
	return nil
}

// textOf returns a statement, which is a prepared one at times.
func (c *soakCaller) textOf(verb, arguments string) string {
	if c.prepared[verb] != "" && c.random.IntN(2) == 0 {
		return "EXECUTE " + verb + " " + arguments
	}
	return verb + " " + arguments
}

func (c *soakCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// query runs one statement and returns the data and the error code, if any. After
// an error the connection is unusable.
func (c *soakCaller) query(text string) (data, code string, err error) {
	c.requests++
	id := fmt.Sprintf("%s.%d", c.name, c.requests)
	sent := time.Now()
	if !c.inTransaction {
		c.began = sent
	}
	if c.soak.organisations != nil {
		c.soak.organisations.addSent(id, c.keyed(sent))
	}
	c.soak.exchanges.addSent(id, text, c.prepared)
	a, err := c.roundTrip("QUERY " + id + " " + text)
	if err == nil {
		c.soak.exchanges.addAnswer(id, a)
	}
	if err != nil && !errors.Is(err, errCallerClosed) {
		c.soak.history.increment("requests cut off")
		if c.soak.plannedOnly && strings.HasPrefix(strings.TrimPrefix(text, "EXECUTE "), "WRITE ") {
			c.soak.history.addUnread(id)
		}
		if c.soak.plannedOnly && (c.inTransaction || c.edge.inRotation.Load() || time.Since(sent) > idleCloseTime) {
			c.soak.history.addViolation("planned stops cut off nothing", "%s of %s at %s: %v", text, c.name, c.edge.name, err)
		}
	}
	if len(a.rows) > 0 {
		data = a.rows[len(a.rows)-1]
	}
	return data, a.code, err
}

// roundTrip sends a line and reads the response up to READY.
func (c *soakCaller) roundTrip(line string) (callerAnswer, error) {
	sent := time.Now()
	_ = c.conn.SetDeadline(sent.Add(responseTimeout))
	if _, err := io.WriteString(c.conn, line+"\r\n"); err != nil {
		return callerAnswer{}, errCallerClosed // an idle session may be closed
	}
	if _, err := c.reader.Peek(1); err != nil && c.closedWhileIdle(line, err) {
		return callerAnswer{}, errCallerClosed
	}
	a, err := readAnswer(c.reader)
	if c.soak.organisations != nil && (err == nil || a.code != "") {
		c.soak.organisations.checkAnswer(c.keyed(sent), a.code, line)
	}
	if a.code != "" && strings.HasPrefix(line, "STARTUP") {
		return a, errCallerClosed
	}
	return a, err
}

// keyed returns a statement of the caller that is sent at the given time.
func (c *soakCaller) keyed(sent time.Time) keyedStatement {
	began := sent
	if c.inTransaction {
		began = c.began
	}
	return keyedStatement{operation: operation{c.name, began}, key: c.key, public: c.soak.isPublic(c.group, c.kind), sent: sent}
}

// closedWhileIdle reports whether a process out of rotation closed the idle session
// while the line was in transit, so that it has not read the line.
func (c *soakCaller) closedWhileIdle(line string, err error) bool {
	return !c.edge.inRotation.Load() && (strings.HasPrefix(line, "STARTUP") || errors.Is(err, io.EOF))
}

func (c *soakCaller) runOperation() error {
	switch n := c.random.IntN(20); {
	case n < 2:
		return c.checkSetting()
	case c.kind == "browse" || n < 11:
		return c.readItem()
	case n < 16:
		return c.write()
	default:
		return c.runTransaction()
	}
}

func (c *soakCaller) checkSetting() error {
	data, code, err := c.query("READ " + userplatform.SettingItemPrefix + "tag")
	if err == nil && code == "" && data != c.tag {
		c.soak.history.addViolation("own settings", "%s sees the setting %q, want %q", c.name, data, c.tag)
	}
	return err
}

// readItem reads an item of this session or of another one.
func (c *soakCaller) readItem() error {
	name := c.soak.history.randomItem(c.random, c.group)
	if c.kind != "browse" && c.random.IntN(2) == 0 {
		name = []string{c.single.name, c.first.name}[c.random.IntN(2)]
	}
	if name == "" {
		return nil
	}
	minNumber := c.minNumber(name, time.Now())
	data, code, err := c.query(c.textOf("READ", name))
	if err == nil && code == "" {
		c.soak.history.checkRead(c.kind, name, data, minNumber)
	}
	return err
}

// minNumber returns the lowest number that a read which begins now may return.
func (c *soakCaller) minNumber(name string, now time.Time) int {
	h := c.soak.history
	switch c.kind {
	case "orders":
		return h.acknowledgedBefore(name, now)
	case "browse":
		return h.acknowledgedBefore(name, now.Add(-browseStaleness))
	default:
		return max(c.ownWrites[name], h.acknowledgedBefore(name, now.Add(-stockStaleness)))
	}
}

// recordOutcome records the outcome of writes. sent is set if a statement was sent
// that may have committed them. It returns err, after which the session is over.
func (c *soakCaller) recordOutcome(sent bool, code string, err error, writes map[*item]int) error {
	outcome := outcomeUnknown
	switch {
	case err == nil && code == "":
		outcome = outcomeAcknowledged
	case !sent || err == nil && slices.Contains(refusalCodes, code):
		outcome = outcomeRefused
	}
	for it, number := range writes {
		c.soak.history.endWrite(it, number, outcome)
		if outcome == outcomeAcknowledged {
			c.ownWrites[it.name] = number
		}
	}
	c.soak.history.increment(map[writeOutcome]string{outcomeUnknown: "writes unknown", outcomeAcknowledged: "writes acknowledged", outcomeRefused: "writes refused"}[outcome])
	if outcome == outcomeUnknown {
		c.replaceItems()
	}
	return err
}

func (c *soakCaller) write() error {
	number, data := c.soak.history.beginWrite(c.single)
	_, code, err := c.query(c.textOf("WRITE", c.single.name+" "+data))
	return c.recordOutcome(true, code, err, map[*item]int{c.single: number})
}

// runTransaction writes two items in one transaction. One in ten is rolled back and
// one in ten is abandoned by closing the connection.
func (c *soakCaller) runTransaction() error {
	h := c.soak.history
	second := c.first.pair
	n1, d1 := h.beginWrite(c.first)
	n2, d2 := h.beginWrite(second)
	writes := map[*item]int{c.first: n1, second: n2}
	minNumber := c.minNumber(c.first.name, time.Now())
	data, code, err := "", "", error(nil)
	defer func() { c.inTransaction = false }()
	for _, text := range []string{"BEGIN", c.textOf("READ", c.first.name), c.textOf("WRITE", c.first.name+" "+d1), c.textOf("WRITE", second.name+" "+d2)} {
		data, code, err = c.query(text)
		if err != nil || code != "" {
			break
		}
		c.inTransaction = true
		if strings.HasPrefix(strings.TrimPrefix(text, "EXECUTE "), "READ") {
			h.checkRead(c.kind+" transaction", c.first.name, data, minNumber)
		}
		sleep(context.Background(), time.Duration(c.random.Int64N(int64(maxThinkTime/2))))
	}
	end := c.random.IntN(10)
	switch {
	case err != nil:
		return c.recordOutcome(false, "", err, writes) // no COMMIT was sent
	case code != "" || end == 0:
		_, _, err = c.query("ROLLBACK")
		return c.recordOutcome(false, "ROLLBACK", err, writes)
	case end == 1:
		c.close()
		return c.recordOutcome(false, "", errCallerClosed, writes)
	}
	_, code, err = c.query("COMMIT")
	return c.recordOutcome(true, code, err, writes)
}
