package peer

import (
	"context"
	"sync"
)

// requestTracker counts the running requests of peers.
type requestTracker struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero. It is nil while it is zero.
	idle chan struct{}
}

func (r *requestTracker) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		r.idle = make(chan struct{})
	}
	r.count++
}

func (r *requestTracker) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count--
	if r.count == 0 {
		close(r.idle)
		r.idle = nil
	}
}

// wait returns once no request runs, or the cause when ctx ends first.
func (r *requestTracker) wait(ctx context.Context) error {
	r.mu.Lock()
	idle := r.idle
	r.mu.Unlock()
	if idle == nil {
		return nil
	}
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Drain waits until every request of a peer has ended and its result is written:
// those that run at this home and those that are forwarded. It returns the cause of
// ctx when that ends first. New requests are still accepted meanwhile.
func (s *Server) Drain(ctx context.Context) error { return s.requests.wait(ctx) }
