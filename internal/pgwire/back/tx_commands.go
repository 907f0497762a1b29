package back

import (
	"bytes"
	"regexp"

	"github.com/rattancove/rattancove/internal/statement"
)

var (
	// literalOrComment matches literals, quoted identifiers and comments, in which
	// keywords and semicolons have no meaning.
	literalOrComment = regexp.MustCompile(`(?s)'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/|\$\w*\$.*?\$\w*\$`)
	beginPattern     = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b`)
	commitPattern    = regexp.MustCompile(`(?i)^\s*(commit|end)\b`)
	abortPattern     = regexp.MustCompile(`(?i)^\s*(rollback|abort|prepare\s+transaction)\b`)
)

// txCommands records which transaction commands a batch contains.
type txCommands struct {
	begins, commits, aborts bool
}

// txCommandsOf returns the transaction commands among all statements that the
// batch may run.
func txCommandsOf(b *statement.Batch) txCommands {
	var c txCommands
	c.begins = b.Class == statement.ClassBegin || b.Class == statement.ClassBeginReadOnly
	c.add(b.Messages)
	for _, p := range b.Prepared {
		c.add(p.Parse)
	}
	return c
}

func (c *txCommands) add(messages []byte) {
	for kind, body := range frames(messages) {
		for _, text := range bytes.Split(literalOrComment.ReplaceAll(sqlText(kind, body), []byte(" ")), []byte(";")) {
			c.begins = c.begins || beginPattern.Match(text)
			c.commits = c.commits || commitPattern.Match(text)
			c.aborts = c.aborts || abortPattern.Match(text)
		}
	}
}

// sqlText returns the SQL text of a Query or Parse message.
func sqlText(kind byte, body []byte) []byte {
	if kind == 'P' {
		_, body, _ = bytes.Cut(body, []byte{0})
	}
	if kind != 'P' && kind != 'Q' {
		return nil
	}
	text, _, _ := bytes.Cut(body, []byte{0})
	return text
}
