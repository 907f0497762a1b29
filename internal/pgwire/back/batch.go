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

// containsKeyword reports whether pattern matches the batch or a prepared statement
// that it uses. It may match text in literals, but never misses a keyword.
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

// mayCopyIn reports whether the batch may contain a COPY command, which makes the
// server wait for COPY data.
func mayCopyIn(b *statement.Batch) bool { return containsKeyword(b, copyKeyword) }

// mayCommit reports whether the batch may commit.
func mayCommit(b *statement.Batch) bool { return containsKeyword(b, commitKeywords) }

// canPipelinePosition reports whether the position can be queried in the same write
// as the batch. It cannot if the server may wait for COPY data, or if the query may
// become the first one of a transaction, after which the isolation level could no
// longer be set.
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

// leavesTransactionOpen reports whether the batch is certain to leave the enclosing
// transaction open and needs no COPY data from the caller.
func leavesTransactionOpen(b *statement.Batch) bool {
	return !mayCopyIn(b) && !mayCommit(b) && !containsKeyword(b, rollbackKeywords)
}

// parsePosition parses the response to the position query. It returns the unknown
// position if row does not hold a valid one.
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
