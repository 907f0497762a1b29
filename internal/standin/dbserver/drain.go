package dbserver

import "time"

const drainPollInterval = 5 * time.Millisecond

// Drain stops accepting connections and waits for running statements to finish,
// for at most timeout.
func (s *Server) Drain(timeout time.Duration) {
	s.mu.Lock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && s.busy() {
		time.Sleep(drainPollInterval)
	}
}

// busy reports whether any statement is executing.
func (s *Server) busy() bool {
	if !s.slots.TryAcquire(int64(s.cfg.Slots)) {
		return true
	}
	s.slots.Release(int64(s.cfg.Slots))
	return false
}
