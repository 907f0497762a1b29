package userplatform

import (
	"fmt"
	"strings"
	"time"
)

// commitTimeout is the maximum time that a commit waits for a replica.
const commitTimeout = 2 * time.Second

// SettingItemPrefix is the prefix of items whose values are the session's settings.
const SettingItemPrefix = "setting:"

// execute runs one statement.
func (c *session) execute(id, text string) answer {
	if prefixed, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, rest, _ := strings.Cut(prefixed, " ")
		if c.isBehind(position) {
			return c.refuse("LAGGING")
		}
		text = rest
	}
	verb, rest, _ := strings.Cut(text, " ")
	if c.transactionFailed && verb != "ROLLBACK" && verb != "COMMIT" {
		return answer{code: "MALFORMED"}
	}
	switch verb {
	case "READ", "WRITE", "COMMIT", "EXECUTE":
		return c.runStatement(id, text)
	}
	a := c.executeOwn(verb, rest)
	if id != "-" {
		c.endRun(c.startRun(id, text, "", false), a)
	}
	return a
}

// executeOwn runs a statement that reads and writes no data.
func (c *session) executeOwn(verb, rest string) answer {
	name, value, ok := strings.Cut(rest, " ")
	switch verb {
	case "SET":
		c.settings[name] = value
	case "DISCARD":
		clear(c.settings)
		clear(c.preparedStatements)
	case "PARSE":
		if access, shape, _ := strings.Cut(value, " "); !ok || shape == "" || access != "READ" && access != "WRITE" {
			return c.refuse("MALFORMED")
		}
		c.preparedStatements[name] = value
	case "CLOSE":
		delete(c.preparedStatements, name)
	case "STATUS", "PAUSE", "RESUME", "STEPDOWN":
		return c.server.executeControl(verb, rest)
	case "BEGIN":
		return c.begin(rest == "READ")
	case "ROLLBACK":
		c.resetTransaction()
	default:
		return c.refuse("MALFORMED")
	}
	return done
}

// runStatement runs a read, a write or a commit.
func (c *session) runStatement(id, text string) answer {
	verb, rest, _ := strings.Cut(text, " ")
	definition := ""
	if verb == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		definition = c.preparedStatements[name]
		if definition == "" {
			return c.refuse("NOSTMT")
		}
		verb, _, _ = strings.Cut(definition, " ")
		rest = arguments
	}
	run := c.startRun(id, text, definition, true)
	var a answer
	switch verb {
	case "READ":
		a = c.read(run, rest)
	case "WRITE":
		a = c.write(run, rest)
	default:
		a = c.commit(run)
	}
	c.endRun(run, a)
	return a
}

// refuse returns an error, which makes an open transaction fail.
func (c *session) refuse(code string) answer {
	c.transactionFailed = c.inTransaction
	return answer{code: code}
}

func (c *session) resetTransaction() {
	c.inTransaction, c.transactionFailed, c.readOnly, c.pendingWrites = false, false, false, nil
}

func (c *session) isBehind(position string) bool {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	var term, sequence, visibleTerm, visibleSequence uint64
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &sequence)
	_, _ = fmt.Sscanf(lastPosition(c.server.visibleLog()), "%d.%d", &visibleTerm, &visibleSequence)
	return visibleTerm < term || visibleTerm == term && visibleSequence < sequence
}

func (c *session) begin(readOnly bool) answer {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if !readOnly && !c.server.primary {
		return c.refuse("READONLY")
	}
	c.inTransaction, c.readOnly, c.transactionTerm = true, readOnly, c.server.term
	return done
}

func (c *session) read(run *Run, item string) answer {
	g := c.server.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.inTransaction && !c.readOnly && !c.isPrimaryAtTransactionTerm() {
		return c.refuse("READONLY")
	}
	if name, ok := strings.CutPrefix(item, SettingItemPrefix); ok {
		return answer{rows: []string{c.settings[name]}, signature: run.signature()}
	}
	data := ""
	for _, r := range c.server.visibleLog() {
		if r.item == item {
			data = r.data
		}
	}
	return answer{rows: append(g.extraRows(run.Number), data), signature: run.signature()}
}

// isPrimaryAtTransactionTerm reports whether the server is still the primary of
// the term in which the transaction started. The caller holds the group's mu.
func (c *session) isPrimaryAtTransactionTerm() bool {
	return c.server.primary && c.server.term == c.transactionTerm
}

func (c *session) write(run *Run, arguments string) answer {
	item, data, _ := strings.Cut(arguments, " ")
	record := logRecord{item: item, data: data}
	if c.inTransaction {
		c.pendingWrites = append(c.pendingWrites, record)
		return answer{signature: run.signature()}
	}
	c.pendingWrites, c.transactionTerm = []logRecord{record}, c.server.primaryTerm()
	return c.commit(run)
}

// primaryTerm returns the server's term if it is the primary, otherwise 0.
func (s *Server) primaryTerm() uint64 {
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.primary {
		return s.term
	}
	return 0
}

// append commits a write to the log. The caller holds the group's mu.
func (s *Server) append(write logRecord) {
	write.term, write.sequence = s.term, uint64(len(s.log)+1)
	s.log = append(s.log, write)
	s.receivedAt = append(s.receivedAt, time.Now())
}

// commit appends the pending writes to the log and waits until a replica has
// received them.
func (c *session) commit(run *Run) answer {
	s, g := c.server, c.server.group
	writes, failed := c.pendingWrites, c.transactionFailed
	defer c.resetTransaction()
	if failed {
		return answer{code: "ABORTED"}
	}
	deadline := time.After(commitTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(writes) == 0 {
		return answer{signature: run.signature()}
	}
	if !c.isPrimaryAtTransactionTerm() {
		return answer{code: "READONLY"}
	}
	for _, write := range writes {
		s.append(write)
		run.Writes = append(run.Writes, write.data)
	}
	last := s.log[len(s.log)-1]
	for !g.replicate(s) {
		if !s.logContains(last) {
			return answer{code: "TIMEOUT"} // a new primary's log replaced the record
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			g.mu.Lock()
			return answer{code: "TIMEOUT"}
		}
		g.mu.Lock()
	}
	return answer{signature: run.signature()}
}
