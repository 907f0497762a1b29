package front

import (
	"context"
	"time"
)

// Drain stops accepting callers, closes idle connections and those that have not
// authenticated with a FATAL admin_shutdown, lets running statements and open
// transactions finish, and returns when all connections are closed. If ctx ends
// first, the remaining callers are disconnected and the cause is returned.
func (s *Server) Drain(ctx context.Context) error {
	eventDraining.Log(&s.logger).Int("callers", s.Callers()).Send()
	s.stopAccepting()
	closed := make(chan struct{})
	go func() {
		s.openConns.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		eventDrained.Log(&s.logger).Send()
		return nil
	case <-ctx.Done():
	}
	eventDrainForced.Log(&s.logger).Int("callers", s.Callers()).Send()
	s.disconnectAll(errDrainTimeout)
	timer := time.NewTimer(forcedCloseTimeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
	return context.Cause(ctx)
}

func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for listener := range s.listeners {
		// Serve accepts the connections in the listen queue and closes the
		// listener.
		if !setAcceptDeadline(listener, time.Now()) {
			_ = listener.Close()
		}
	}
	for conn := range s.startingConns {
		_ = conn.SetReadDeadline(time.Now().Add(drainGracePeriod))
	}
	for _, c := range s.callers {
		c.interruptIfIdle()
	}
}

// disconnectAll disconnects all callers. Running requests are canceled with cause.
func (s *Server) disconnectAll(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	s.cancelBase(cause)
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for _, c := range s.callers {
		c.interrupt()
	}
}
