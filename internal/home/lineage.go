package home

import "github.com/rattancove/rattancove/internal/cluster"

// lineage knows where terms began: the last log position before the first
// record of each term. It tells whether a position of an older term is still
// part of the log.
type lineage struct {
	before map[cluster.Term]cluster.Position
	sealed map[cluster.ServerID]cluster.ServerStatus
}

func newLineage() lineage {
	return lineage{
		before: make(map[cluster.Term]cluster.Position),
		sealed: make(map[cluster.ServerID]cluster.ServerStatus),
	}
}

// observe learns the beginning of a term from the status of its primary: from
// what it says, from its position before it wrote anything in the term, or
// from the position that it reported while it was sealed, since a sealed
// server stores nothing before it is promoted.
func (l *lineage) observe(s cluster.ServerStatus) {
	switch s.Role {
	case cluster.RoleSealed:
		l.sealed[s.Server] = s
	case cluster.RolePrimary:
		l.observePrimary(s)
	}
}

func (l *lineage) observePrimary(s cluster.ServerStatus) {
	if _, ok := l.before[s.Term]; ok {
		return
	}
	if s.TermStart.Known() {
		l.before[s.Term] = s.TermStart
		return
	}
	if s.Received.Known() && s.Received.Term < s.Term {
		l.before[s.Term] = s.Received
		return
	}
	seal, ok := l.sealed[s.Server]
	if ok && seal.Term == s.Term && seal.Received.Known() {
		l.before[s.Term] = seal.Received
	}
}

// retention tells what became of a position.
type retention uint8

const (
	retained retention = iota
	lost
	undecided
)

// retention tells whether the log of the present term contains p.
func (l *lineage) retention(p cluster.Position, present cluster.Term) retention {
	term := present
	for p.Known() && p.Term < term {
		before, ok := l.before[term]
		if !ok {
			return undecided
		}
		if before.Term == p.Term {
			if p.Offset <= before.Offset {
				return retained
			}
			return lost
		}
		if before.Term < p.Term {
			return lost
		}
		term = before.Term
	}
	return retained
}

// clamp returns p, or where the present term began if p is lost.
func (l *lineage) clamp(p cluster.Position, present cluster.Term) cluster.Position {
	if l.retention(p, present) == lost {
		return l.before[present]
	}
	return p
}
