package home

import "github.com/rattancove/rattancove/internal/cluster"

// termHistory records where terms started, and so tells whether a position of an
// earlier term is still part of the log.
type termHistory struct {
	// termStarts holds the last log position before the first record of each term.
	termStarts map[cluster.Term]cluster.Position
	sealed     map[cluster.ServerID]cluster.ServerStatus
}

func newTermHistory() termHistory {
	return termHistory{
		termStarts: make(map[cluster.Term]cluster.Position),
		sealed:     make(map[cluster.ServerID]cluster.ServerStatus),
	}
}

// observe learns the start of a term from the status of its primary: from the term
// start that it reports, from its position before its first write in the term, or
// from the position that it reported while sealed, since a sealed server stores
// no records before it is promoted.
func (h *termHistory) observe(s cluster.ServerStatus) {
	switch s.Role {
	case cluster.RoleSealed:
		h.sealed[s.Server] = s
	case cluster.RolePrimary:
		h.observePrimary(s)
	}
}

func (h *termHistory) observePrimary(s cluster.ServerStatus) {
	if _, ok := h.termStarts[s.Term]; ok {
		return
	}
	if s.TermStart.Known() {
		h.termStarts[s.Term] = s.TermStart
		return
	}
	if s.Received.Known() && s.Received.Term < s.Term {
		h.termStarts[s.Term] = s.Received
		return
	}
	seal, ok := h.sealed[s.Server]
	if ok && seal.Term == s.Term && seal.Received.Known() {
		h.termStarts[s.Term] = seal.Received
	}
}

// retention tells whether a position is still part of the log.
type retention uint8

const (
	retained retention = iota
	lost
	// undecided means that the start of a term later than that of the position is unknown.
	undecided
)

// retention tells whether the log of the current term contains p.
func (h *termHistory) retention(p cluster.Position, current cluster.Term) retention {
	term := current
	for p.Known() && p.Term < term {
		start, ok := h.termStarts[term]
		if !ok {
			return undecided
		}
		if start.Term == p.Term {
			if p.Offset <= start.Offset {
				return retained
			}
			return lost
		}
		if start.Term < p.Term {
			return lost
		}
		term = start.Term
	}
	return retained
}

// clamp returns p, or the start of the current term if p is lost.
func (h *termHistory) clamp(p cluster.Position, current cluster.Term) cluster.Position {
	if h.retention(p, current) == lost {
		return h.termStarts[current]
	}
	return p
}
