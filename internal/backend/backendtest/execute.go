package backendtest

import (
	"slices"
	"strings"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

// execute runs one batch on the server, which occupies a slot for the work duration.
func (c *conn) execute(x *backend.Exchange) (string, backend.Result, error) {
	s := c.server
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	c.addBusy(1)
	defer c.addBusy(-1)
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
		return "", backend.Result{}, errReset
	}
	text, result := c.runCommand(words, x)
	if x.WantPosition && result.SQLState == "" {
		result.Position = s.positionAt(s.replayedRecords())
	}
	if s.responsesToLose > 0 {
		s.responsesToLose--
		c.breakConn()
		delete(s.conns, c)
		return "", backend.Result{}, errReset
	}
	return text, result, nil
}

func (c *conn) addBusy(n int) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.server.busy += n
	c.server.usage.MaxBusy = max(c.server.usage.MaxBusy, c.server.busy)
}

func (c *conn) runCommand(words []string, x *backend.Exchange) (string, backend.Result) {
	if len(words) == 0 {
		return "ok\n", c.result("")
	}
	switch words[0] {
	case "begin":
		c.tx = &transaction{term: c.server.term}
		return "begin\n", c.result("")
	case "rollback":
		c.tx = nil
		return "rollback\n", c.result("")
	case "commit":
		return c.commit(x.OrderID)
	case "get":
		return c.get(words[1])
	case "put":
		return c.put(words[1], words[2], x)
	default:
		return "syntax error\n", c.result("42601")
	}
}

func (c *conn) result(sqlState string) backend.Result {
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
				return c.tx.writes[i].value + "\n", c.result("")
			}
		}
	}
	return c.server.get(key) + "\n", c.result("")
}

func (c *conn) put(key, value string, x *backend.Exchange) (string, backend.Result) {
	s := c.server
	readOnly := slices.Contains(x.Settings, statement.Setting{Name: "default_transaction_read_only", Value: "on"})
	if s.role != cluster.RolePrimary || (readOnly && c.tx == nil) {
		if c.tx != nil {
			c.tx.failed = true
		}
		a := c.result("25006")
		a.ReadOnlyRefused = x.Batch.Class == statement.ClassRead
		return "read-only\n", a
	}
	s.usage.Writes++
	w := write{key, value}
	if c.tx != nil {
		c.tx.writes = append(c.tx.writes, w)
		return "put\n", c.result("")
	}
	return c.commitWrites([]write{w}, x.OrderID, "put "+key+" "+value+"\n")
}

func (c *conn) commit(orderID string) (string, backend.Result) {
	tx := c.tx
	c.tx = nil
	if tx == nil {
		return "commit\n", c.result("")
	}
	if tx.failed || tx.term != c.server.term || c.server.role != cluster.RolePrimary {
		return "rollback\n", c.result("25P02")
	}
	return c.commitWrites(tx.writes, orderID, "commit\n")
}

func (c *conn) commitWrites(writes []write, orderID, text string) (string, backend.Result) {
	if orderID != "" {
		if r, ok := c.server.findOrder(orderID); ok {
			a := c.result("")
			a.Deduplicated = true
			return r.response, a
		}
	}
	if len(writes) > 0 {
		c.server.append(writes, orderID, text)
	}
	a := c.result("")
	a.Committed = true
	return text, a
}
