package back

import (
	"regexp"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

var (
	copyKeyword      = regexp.MustCompile(`(?i)\bcopy\b`)
	commitKeywords   = regexp.MustCompile(`(?i)\b(commit|end|prepare)\b`)
	rollbackKeywords = regexp.MustCompile(`(?i)\b(rollback|abort)\b`)
)

var positionQuery = query("SELECT " + FuncPosition + "()")

// containsKeyword reports whether the batch or a definition that it uses contains a
// match. It may find words in literals; it never misses a keyword.
func containsKeyword(b *statement.Batch, pattern *regexp.Regexp) bool {
	if pattern.Match(b.Messages) {
		return true
	}
	for _, p := range b.Prepared {
		if pattern.Match(p.Parse) {
			return true
		}
	}
	return false
}

// mayCopyIn reports whether the batch may make the server wait for COPY data.
func mayCopyIn(b *statement.Batch) bool { return containsKeyword(b, copyKeyword) }

// mayCommit reports whether the batch may commit.
func mayCommit(b *statement.Batch) bool { return containsKeyword(b, commitKeywords) }

// canPipelinePosition reports whether the position can be asked for in the same write:
// nothing waits for COPY data, and the query cannot become the first one of a
// transaction, after which its isolation level could not be set.
func canPipelinePosition(b *statement.Batch, inTransaction bool) bool {
	switch {
	case mayCopyIn(b):
		return false
	case inTransaction:
		return mayCommit(b) || containsKeyword(b, rollbackKeywords)
	default:
		return b.Class != statement.ClassBegin && b.Class != statement.ClassBeginReadOnly
	}
}

// leavesTransactionOpen reports whether the batch surely leaves a transaction around it
// open and needs no data from the caller.
func leavesTransactionOpen(b *statement.Batch) bool {
	return !mayCopyIn(b) && !mayCommit(b) && !containsKeyword(b, rollbackKeywords)
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
