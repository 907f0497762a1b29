package integration

import (
	"bufio"
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
	// stockStaleness and browseStaleness are the ages of data that the routes accept.
	stockStaleness  = 2500 * time.Millisecond
	browseStaleness = 1500 * time.Millisecond
	// answerTime bounds the wait for an answer; the routes allow a second.
	answerTime = 4 * time.Second
	// idleTime is the longest pause between two operations of a session.
	idleTime = 60 * time.Millisecond
)

// promises are the codes after which nothing of an attempt may be kept.
var promises = []string{"BUSY", "ABORTED", "LAGGING", "READONLY", "MOVED", "MAXCONN"}

// soakCaller is a session that reconnects when its connection ends.
type soakCaller struct {
	soak   *soak
	name   string
	kind   string // orders, stock or browse
	group  string
	random *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
	edge   *soakEdge
	tag    string
	ids    int
	// single and first are written alone, and together with its pair.
	single, first *item
	items         int
	// open is set inside a transaction.
	open bool
	// own holds the numbers that this connection was told of, by item.
	own map[string]int
}

var errCallerClosed = errors.New("the connection is closed")

func (c *soakCaller) run(ctx context.Context) {
	c.renew()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			pause(ctx, 50*time.Millisecond)
			continue
		}
		if err := c.operate(); err != nil {
			c.close()
		}
		pause(ctx, time.Duration(c.random.Int64N(int64(idleTime))))
		if c.random.IntN(200) == 0 {
			c.close() // sessions end and begin anew
		}
	}
	c.close()
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// renew takes fresh items: an earlier write whose outcome is unknown may be
// carried out late.
func (c *soakCaller) renew() {
	if c.kind == "browse" {
		return
	}
	c.items++
	l := c.soak.ledger
	c.single = l.newItem(c.group, fmt.Sprintf("%s-%d-single", c.name, c.items))
	c.first = l.newItem(c.group, fmt.Sprintf("%s-%d-first", c.name, c.items))
	c.first.pair = l.newItem(c.group, fmt.Sprintf("%s-%d-second", c.name, c.items))
}

func (c *soakCaller) connect() bool { return c.connectTo(c.soak.anyEdge(c.random)) }

func (c *soakCaller) connectTo(e *soakEdge) bool {
	c.edge = e
	conn, err := net.DialTimeout("tcp", c.edge.callers, time.Second)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.own = conn, bufio.NewReader(conn), map[string]int{}
	c.tag = ""
	_, _, err = c.say(fmt.Sprintf("STARTUP %s-%s %s", c.group, c.kind, c.name))
	if err == nil && c.random.IntN(2) == 0 {
		c.tag = fmt.Sprintf("%s-%d", c.name, c.random.IntN(1_000_000))
		_, _, err = c.query("SET tag " + c.tag)
	}
	if err != nil {
		c.close()
	}
	return err == nil
}

func (c *soakCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// query runs one statement and returns the data and the error code, if any. An
// error means that the connection is over.
func (c *soakCaller) query(text string) (data, code string, err error) {
	c.ids++
	id := fmt.Sprintf("%s.%d", c.name, c.ids)
	sent := time.Now()
	data, code, err = c.say("QUERY " + id + " " + text)
	if err != nil && !errors.Is(err, errCallerClosed) {
		c.soak.ledger.count("requests cut off")
		if c.soak.planned && strings.HasPrefix(text, "WRITE ") {
			c.soak.ledger.unread(text)
		}
		if c.soak.planned && (c.open || c.edge.inRotation.Load() || time.Since(sent) > closingTime) {
			c.soak.ledger.violate("planned stops cut off nothing", "%s of %s at %s: %v", text, c.name, c.edge.name, err)
		}
	}
	return data, code, err
}

// say sends a line and reads the answer up to READY.
func (c *soakCaller) say(line string) (data, code string, err error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerTime))
	if _, err := io.WriteString(c.conn, line+"\r\n"); err != nil {
		return "", "", errCallerClosed // an idle session may be closed
	}
	for read := 0; ; read++ {
		answer, err := c.reader.ReadString('\n')
		if err != nil && read == 0 && c.idleClosed(line, err) {
			return "", "", errCallerClosed
		}
		if err != nil {
			return "", "", err
		}
		word, rest, _ := strings.Cut(strings.TrimRight(answer, "\r\n"), " ")
		switch word {
		case "DATAROW":
			data = rest
		case "ERROR":
			code, _, _ = strings.Cut(rest, " ")
			if strings.HasPrefix(line, "STARTUP") {
				return "", code, errCallerClosed
			}
		case "READY":
			return data, code, nil
		}
	}
}

// idleClosed reports whether a session that was idle was closed in order while
// the line was on its way: the process has not read it.
func (c *soakCaller) idleClosed(line string, err error) bool {
	return !c.edge.inRotation.Load() && (strings.HasPrefix(line, "STARTUP") || errors.Is(err, io.EOF))
}

func (c *soakCaller) operate() error {
	switch n := c.random.IntN(20); {
	case n < 2:
		return c.checkTag()
	case c.kind == "browse" || n < 11:
		return c.readAny()
	case n < 16:
		return c.write()
	default:
		return c.transact()
	}
}

func (c *soakCaller) checkTag() error {
	data, code, err := c.query("READ " + userplatform.SettingItemPrefix + "tag")
	if err == nil && code == "" && data != c.tag {
		c.soak.ledger.violate("own settings", "%s sees the setting %q, want %q", c.name, data, c.tag)
	}
	return err
}

// readAny reads an item of the session, or of another one.
func (c *soakCaller) readAny() error {
	name := c.soak.ledger.anyItem(c.random, c.group)
	if c.kind != "browse" && c.random.IntN(2) == 0 {
		name = []string{c.single.name, c.first.name}[c.random.IntN(2)]
	}
	if name == "" {
		return nil
	}
	floor := c.floor(name, time.Now())
	data, code, err := c.query("READ " + name)
	if err == nil && code == "" {
		c.soak.ledger.saw(c.kind, name, data, floor)
	}
	return err
}

// floor returns the least number that a read which begins now must show.
func (c *soakCaller) floor(name string, now time.Time) int {
	l := c.soak.ledger
	switch c.kind {
	case "orders":
		return l.floor(name, now)
	case "browse":
		return l.floor(name, now.Add(-browseStaleness))
	default:
		return max(c.own[name], l.floor(name, now.Add(-stockStaleness)))
	}
}

// settle notes the end of writes and returns an error if the session is over.
func (c *soakCaller) settle(sent bool, code string, err error, writes map[*item]int) error {
	f := fateUnknown
	switch {
	case err == nil && code == "":
		f = fateAcknowledged
	case !sent || err == nil && slices.Contains(promises, code):
		f = fateRefused
	}
	for it, number := range writes {
		c.soak.ledger.end(it, number, f)
		if f == fateAcknowledged {
			c.own[it.name] = number
		}
	}
	c.soak.ledger.count(map[fate]string{fateUnknown: "writes unknown", fateAcknowledged: "writes acknowledged", fateRefused: "writes refused"}[f])
	if f == fateUnknown {
		c.renew()
	}
	return err
}

func (c *soakCaller) write() error {
	number, data := c.soak.ledger.begin(c.single)
	_, code, err := c.query("WRITE " + c.single.name + " " + data)
	return c.settle(true, code, err, map[*item]int{c.single: number})
}

// transact writes two items together; some transactions are rolled back or left.
func (c *soakCaller) transact() error {
	l := c.soak.ledger
	second := c.first.pair
	n1, d1 := l.begin(c.first)
	n2, d2 := l.begin(second)
	writes := map[*item]int{c.first: n1, second: n2}
	floor := c.floor(c.first.name, time.Now())
	data, code, err := "", "", error(nil)
	defer func() { c.open = false }()
	for _, text := range []string{"BEGIN", "READ " + c.first.name, "WRITE " + c.first.name + " " + d1, "WRITE " + second.name + " " + d2} {
		data, code, err = c.query(text)
		if err != nil || code != "" {
			break
		}
		c.open = true
		if strings.HasPrefix(text, "READ") {
			l.saw(c.kind+" transaction", c.first.name, data, floor)
		}
		pause(context.Background(), time.Duration(c.random.Int64N(int64(idleTime/2))))
	}
	end := c.random.IntN(10)
	switch {
	case err != nil:
		return c.settle(false, "", err, writes) // its commit was never sent
	case code != "" || end == 0:
		_, _, err = c.query("ROLLBACK")
		return c.settle(false, "ROLLBACK", err, writes)
	case end == 1:
		c.close()
		return c.settle(false, "", errCallerClosed, writes)
	}
	_, code, err = c.query("COMMIT")
	return c.settle(true, code, err, writes)
}
