package front

import (
	"context"
	"time"
)

// Drain stops accepting callers, ends idle callers and those before
// authentication with a FATAL admin_shutdown, lets running statements and open transactions finish, and
// returns when every connection is closed. When ctx ends first, the remaining
// callers are cut off and the cause is returned.
func (s *Server) Drain(ctx context.Context) error {
	eventDraining.Log(&s.logger).Int("callers", s.Callers()).Send()
	s.stopAccepting()
	gone := make(chan struct{})
	go func() {
		s.connections.Wait()
		close(gone)
	}()
	select {
	case <-gone:
		eventDrained.Log(&s.logger).Send()
		return nil
	case <-ctx.Done():
	}
	eventDrainForced.Log(&s.logger).Int("callers", s.Callers()).Send()
	s.force(errForced)
	t := time.NewTimer(forceTime)
	defer t.Stop()
	select {
	case <-gone:
	case <-t.C:
	}
	return context.Cause(ctx)
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for l := range s.listeners {
		// Serve takes what has been connected and closes the listener.
		if !acceptUntil(l, time.Now()) {
			_ = l.Close()
		}
	}
	for conn := range s.starting {
		_ = conn.SetReadDeadline(time.Now().Add(drainLinger))
	}
	for _, c := range s.callers {
		c.interruptIfQuiet()
	}
}

// force cuts off every caller. Running requests end with cause.
func (s *Server) force(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	s.cutOff(cause)
	for l := range s.listeners {
		_ = l.Close()
	}
	for _, c := range s.callers {
		c.interrupt()
	}
}
