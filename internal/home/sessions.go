package home

import (
	"container/list"

	"github.com/rattancove/rattancove/internal/cluster"
)

// sessionLimit is the most sessions whose floor an owner remembers.
const sessionLimit = 100_000

// sessions remembers the last acknowledged write of each named session, the
// most recently used ones. It is guarded by its owner.
type sessions struct {
	limit   int
	entries map[string]*list.Element
	recent  list.List
	// forgotten is the latest write of any session that was dropped.
	forgotten cluster.Position
}

type sessionFloor struct {
	session string
	floor   cluster.Position
}

func newSessions(limit int) *sessions {
	return &sessions{limit: limit, entries: make(map[string]*list.Element)}
}

// raise records a write of a session and forgets the session that was used
// least recently when there are too many.
func (s *sessions) raise(session string, p cluster.Position) {
	if session == "" || !p.Known() {
		return
	}
	if e, ok := s.entries[session]; ok {
		f := e.Value.(*sessionFloor)
		f.floor = cluster.MaxPosition(f.floor, p)
		s.recent.MoveToFront(e)
		return
	}
	s.entries[session] = s.recent.PushFront(&sessionFloor{session: session, floor: p})
	if s.recent.Len() > s.limit {
		oldest := s.recent.Remove(s.recent.Back()).(*sessionFloor)
		delete(s.entries, oldest.session)
		s.forgotten = cluster.MaxPosition(s.forgotten, oldest.floor)
	}
}

// floor returns the last write of a session. The second result is false when
// the session is not remembered, which does not mean that it never wrote.
func (s *sessions) floor(session string) (cluster.Position, bool) {
	e, ok := s.entries[session]
	if !ok {
		return cluster.Position{}, false
	}
	s.recent.MoveToFront(e)
	return e.Value.(*sessionFloor).floor, true
}
