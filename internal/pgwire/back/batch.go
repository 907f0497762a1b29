package back

import (
	"regexp"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

var (
	copyWord  = regexp.MustCompile(`(?i)\bcopy\b`)
	endWords  = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)
	otherEnds = regexp.MustCompile(`(?i)\b(rollback|abort)\b`)
)

var positionQuery = query("SELECT " + FuncPosition + "()")

// mentions reports whether the batch or a definition that it uses contains a
// match. It may find words in literals; it never misses a keyword.
func mentions(b *statement.Batch, words *regexp.Regexp) bool {
	if words.Match(b.Messages) {
		return true
	}
	for _, p := range b.Prepared {
		if words.Match(p.Parse) {
			return true
		}
	}
	return false
}

// mayCopy reports whether the batch may make the server wait for COPY data.
func mayCopy(b *statement.Batch) bool { return mentions(b, copyWord) }

// mayEndTransaction reports whether the batch may commit.
func mayEndTransaction(b *statement.Batch) bool { return mentions(b, endWords) }

// mayEndIdle reports whether the position can be asked for in the same write:
// nothing waits for COPY data, and the query cannot become the first one of a
// transaction, after which its isolation level could not be set.
func mayEndIdle(b *statement.Batch, open bool) bool {
	switch {
	case mayCopy(b):
		return false
	case open:
		return mayEndTransaction(b) || mentions(b, otherEnds)
	default:
		return b.Class != statement.ClassBegin && b.Class != statement.ClassBeginReadOnly
	}
}

// isPlain reports whether the batch surely leaves a transaction around it
// open and needs no data from the caller.
func isPlain(b *statement.Batch) bool {
	return !mayCopy(b) && !mayEndTransaction(b) && !mentions(b, otherEnds)
}

// parsePosition reads the answer to the position query; unknown if it is not one.
func parsePosition(row [][]byte) cluster.Position {
	if len(row) != 1 {
		return cluster.Position{}
	}
	p, err := cluster.ParsePosition(string(row[0]))
	if err != nil {
		return cluster.Position{}
	}
	return p
}
