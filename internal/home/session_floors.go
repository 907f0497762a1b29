package home

import (
	"container/list"

	"github.com/rattancove/rattancove/internal/cluster"
)

// sessionLimit bounds the number of sessions whose floor an owner remembers.
const sessionLimit = 100_000

// sessionFloors holds the position of the last acknowledged write of each of the
// most recently used named sessions. The lock of its owner guards it.
type sessionFloors struct {
	limit   int
	entries map[string]*list.Element
	lru     list.List
	// evictedFloor is the position of the latest write of any evicted session.
	evictedFloor cluster.Position
}

type sessionFloor struct {
	session string
	floor   cluster.Position
}

func newSessionFloors(limit int) *sessionFloors {
	return &sessionFloors{limit: limit, entries: make(map[string]*list.Element)}
}

// record records a write of a session and evicts the least recently used session
// if there are too many.
func (s *sessionFloors) record(session string, p cluster.Position) {
	if session == "" || !p.Known() {
		return
	}
	if e, ok := s.entries[session]; ok {
		f := e.Value.(*sessionFloor)
		f.floor = cluster.MaxPosition(f.floor, p)
		s.lru.MoveToFront(e)
		return
	}
	s.entries[session] = s.lru.PushFront(&sessionFloor{session: session, floor: p})
	if s.lru.Len() > s.limit {
		oldest := s.lru.Remove(s.lru.Back()).(*sessionFloor)
		delete(s.entries, oldest.session)
		s.evictedFloor = cluster.MaxPosition(s.evictedFloor, oldest.floor)
	}
}

// floor returns the position of the last write of a session. The second result is
// false if the session is not held, which does not mean that it never wrote.
func (s *sessionFloors) floor(session string) (cluster.Position, bool) {
	e, ok := s.entries[session]
	if !ok {
		return cluster.Position{}, false
	}
	s.lru.MoveToFront(e)
	return e.Value.(*sessionFloor).floor, true
}
