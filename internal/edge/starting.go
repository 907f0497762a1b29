package edge

import (
	"container/list"
	"net"
	"sync"
)

const (
	// startingDescriptorShare is the share of the file descriptors available to callers'
	// connections that are not sessions yet, or were refused as such.
	startingDescriptorShare = 0.04
	// minDescriptorShare is the least number of descriptors of any share.
	minDescriptorShare = 16
)

// descriptors returns a share of the limit on descriptors in the settings in force.
func (e *Edge) descriptors(share float64) int {
	return max(int(share*float64(e.settings.Load().MaxDescriptors)), minDescriptorShare)
}

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
