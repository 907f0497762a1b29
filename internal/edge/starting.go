package edge

import (
	"container/list"
	"net"
	"sync"
)

// startingConns holds the connections that are not sessions yet, the oldest first. A
// connection over the limit takes the place of the oldest one: clients that say nothing do
// not keep others from starting.
type startingConns struct {
	mu    sync.Mutex
	conns list.List // of net.Conn
}

// add adds a connection and closes the oldest ones over the limit. The returned function
// removes it.
func (s *startingConns) add(conn net.Conn, limit int) (remove func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.conns.PushBack(conn)
	for s.conns.Len() > limit {
		oldest := s.conns.Front()
		s.conns.Remove(oldest)
		startsDisplaced.Inc()
		_ = oldest.Value.(net.Conn).Close()
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns.Remove(entry) // does nothing when it was removed before
	}
}
