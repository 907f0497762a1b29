package cluster

import (
	"fmt"
	"strconv"
	"strings"
)

// Term numbers the successive primaries of a database group. It never decreases.
type Term uint64

// Epoch numbers the successive homes of a database group. It never decreases.
type Epoch uint64

// Position is a position in the replication log of a database group. The zero
// value means that the position is unknown, not the start of the log.
type Position struct {
	// Term is the term of the primary that wrote the log record.
	Term Term
	// Offset is the number of log records from the start of the group's log.
	Offset uint64
}

// Known reports whether p is a known log position.
func (p Position) Known() bool { return p != Position{} }

// Compare orders positions by term and then by offset. It returns -1, 0 or 1.
func (p Position) Compare(q Position) int {
	switch {
	case p.Term != q.Term:
		return compareUint(uint64(p.Term), uint64(q.Term))
	default:
		return compareUint(p.Offset, q.Offset)
	}
}

// Less reports whether p precedes q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// MaxPosition returns the later of p and q.
func MaxPosition(p, q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String returns the position as "term/offset".
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// ParsePosition parses the form that String returns.
func ParsePosition(s string) (Position, error) {
	term, offset, ok := strings.Cut(s, "/")
	if !ok {
		return Position{}, fmt.Errorf("position %q: want term/offset", s)
	}
	t, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: term: %w", s, err)
	}
	o, err := strconv.ParseUint(offset, 10, 64)
	if err != nil {
		return Position{}, fmt.Errorf("position %q: offset: %w", s, err)
	}
	return Position{Term: Term(t), Offset: o}, nil
}

func compareUint(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
