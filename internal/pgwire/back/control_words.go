package back

import (
	"bytes"
	"regexp"

	"github.com/rattancove/rattancove/internal/statement"
)

var (
	// skippedText is what may contain keywords or semicolons that mean nothing.
	skippedText = regexp.MustCompile(`(?s)'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/|\$\w*\$.*?\$\w*\$`)
	beginText   = regexp.MustCompile(`(?i)^\s*(begin|start\s+transaction)\b`)
	commitText  = regexp.MustCompile(`(?i)^\s*(commit|end)\b`)
	abortText   = regexp.MustCompile(`(?i)^\s*(rollback|abort|prepare\s+transaction)\b`)
)

// control tells which transaction commands a batch contains.
type control struct {
	begins, commits, aborts bool
}

// controlOf looks at every statement that the batch may run.
func controlOf(b *statement.Batch) control {
	var c control
	c.begins = b.Class == statement.ClassBegin || b.Class == statement.ClassBeginReadOnly
	c.add(b.Messages)
	for _, p := range b.Prepared {
		c.add(p.Parse)
	}
	return c
}

func (c *control) add(messages []byte) {
	for kind, body := range frames(messages) {
		for _, text := range bytes.Split(skippedText.ReplaceAll(textOf(kind, body), []byte(" ")), []byte(";")) {
			c.begins = c.begins || beginText.Match(text)
			c.commits = c.commits || commitText.Match(text)
			c.aborts = c.aborts || abortText.Match(text)
		}
	}
}

// textOf returns the SQL text of a Query or Parse message.
func textOf(kind byte, body []byte) []byte {
	if kind == 'P' {
		_, body, _ = bytes.Cut(body, []byte{0})
	}
	if kind != 'P' && kind != 'Q' {
		return nil
	}
	text, _, _ := bytes.Cut(body, []byte{0})
	return text
}
