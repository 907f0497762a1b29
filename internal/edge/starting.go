package edge

import (
	"container/list"
	"net"
	"sync"
	"time"
)

// displacedWait bounds the wait for displaced connections to end. A descriptor stays open
// until the goroutine that reads from it has run.
const displacedWait = 100 * time.Millisecond

// startingConns holds the connections that are not sessions yet, the oldest first. A
// connection over the limit takes the place of the oldest one: clients that say nothing do
// not keep others from starting.
type startingConns struct {
	mu    sync.Mutex
	conns list.List // of net.Conn
	// displaced counts the connections that were closed and are still being served.
	displaced int
	// ended receives a token when one of them has ended.
	ended chan struct{}
}

func newStartingConns() *startingConns { return &startingConns{ended: make(chan struct{}, 1)} }

// add adds a connection and closes the oldest ones over the limit. It waits while a quarter
// of the limit is displaced and still being served. The returned function removes it.
func (s *startingConns) add(conn net.Conn, limit int) (remove func()) {
	entry := s.insert(conn, limit)
	if s.countDisplaced() > limit/4 {
		s.awaitDisplaced(limit / 4)
	}
	return sync.OnceFunc(func() { s.remove(entry) })
}

// awaitDisplaced waits for up to displacedWait until at most n displaced connections are
// being served.
func (s *startingConns) awaitDisplaced(n int) {
	timeout := time.NewTimer(displacedWait)
	defer timeout.Stop()
	for s.countDisplaced() > n {
		select {
		case <-s.ended:
		case <-timeout.C:
			return
		}
	}
}

func (s *startingConns) insert(conn net.Conn, limit int) *list.Element {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.conns.PushBack(conn)
	for s.conns.Len() > limit {
		oldest := s.conns.Front()
		s.conns.Remove(oldest)
		s.displaced++
		startsDisplaced.Inc()
		_ = oldest.Value.(net.Conn).Close()
		oldest.Value = nil // remove recognizes it by this
	}
	return entry
}

func (s *startingConns) countDisplaced() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.displaced
}

func (s *startingConns) remove(entry *list.Element) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry.Value != nil {
		s.conns.Remove(entry)
		return
	}
	s.displaced--
	select {
	case s.ended <- struct{}{}:
	default:
	}
}
