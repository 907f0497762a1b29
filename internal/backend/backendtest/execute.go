package backendtest

import (
	"slices"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// execute runs one batch on the server, holding a slot for its work time.
func (c *conn) execute(x *backend.Exchange) (string, backend.Result, error) {
	s := c.server
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	c.countBusy(1)
	defer c.countBusy(-1)
	words := strings.Fields(string(x.Batch.Messages))
	if len(words) > 1 && words[0] == "work" {
		if d, err := time.ParseDuration(words[1]); err == nil {
			time.Sleep(d)
		}
		words = words[2:]
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	if s.down || c.isBroken() {
		return "", backend.Result{}, errBroken
	}
	text, answer := c.run(words, x)
	if x.WantPosition && answer.SQLState == "" {
		answer.Position = s.positionAt(s.replayed())
	}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		c.breakNow()
		delete(s.conns, c)
		return "", backend.Result{}, errBroken
	}
	return text, answer, nil
}

func (c *conn) countBusy(n int) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.server.busy += n
	c.server.usage.MaxBusy = max(c.server.usage.MaxBusy, c.server.busy)
}

func (c *conn) run(words []string, x *backend.Exchange) (string, backend.Result) {
	if len(words) == 0 {
		return "ok\n", c.answer("")
	}
	switch words[0] {
	case "begin":
		c.tx = &transaction{term: c.server.term}
		return "begin\n", c.answer("")
	case "rollback":
		c.tx = nil
		return "rollback\n", c.answer("")
	case "commit":
		return c.commit(x.OrderID)
	case "get":
		return c.get(words[1])
	case "put":
		return c.put(words[1], words[2], x)
	default:
		return "syntax error\n", c.answer("42601")
	}
}

func (c *conn) answer(sqlState string) backend.Result {
	a := backend.Result{SQLState: sqlState}
	switch {
	case c.tx == nil:
	case c.tx.failed:
		a.Tx = backend.TxFailed
	default:
		a.Tx = backend.TxOpen
	}
	return a
}

func (c *conn) get(key string) (string, backend.Result) {
	c.server.usage.Reads++
	if c.tx != nil {
		for i := len(c.tx.writes) - 1; i >= 0; i-- {
			if c.tx.writes[i].key == key {
				return c.tx.writes[i].value + "\n", c.answer("")
			}
		}
	}
	return c.server.get(key) + "\n", c.answer("")
}

func (c *conn) put(key, value string, x *backend.Exchange) (string, backend.Result) {
	s := c.server
	readOnly := slices.Contains(x.Settings, statement.Setting{Name: "default_transaction_read_only", Value: "on"})
	if s.role != cluster.RolePrimary || (readOnly && c.tx == nil) {
		if c.tx != nil {
			c.tx.failed = true
		}
		a := c.answer("25006")
		a.ReadOnlyRefused = x.Batch.Class == statement.ClassRead
		return "read-only\n", a
	}
	s.usage.Writes++
	w := write{key, value}
	if c.tx != nil {
		c.tx.writes = append(c.tx.writes, w)
		return "put\n", c.answer("")
	}
	return c.record([]write{w}, x.OrderID, "put "+key+" "+value+"\n")
}

func (c *conn) commit(orderID string) (string, backend.Result) {
	tx := c.tx
	c.tx = nil
	if tx == nil {
		return "commit\n", c.answer("")
	}
	if tx.failed || tx.term != c.server.term || c.server.role != cluster.RolePrimary {
		return "rollback\n", c.answer("25P02")
	}
	return c.record(tx.writes, orderID, "commit\n")
}

func (c *conn) record(writes []write, orderID, text string) (string, backend.Result) {
	if orderID != "" {
		if r, ok := c.server.order(orderID); ok {
			a := c.answer("")
			a.Deduplicated = true
			return r.answer, a
		}
	}
	if len(writes) > 0 {
		c.server.append(writes, orderID, text)
	}
	a := c.answer("")
	a.Committed = true
	return text, a
}
