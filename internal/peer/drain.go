package peer

import (
	"context"
	"sync"
)

// requestTracker counts the requests of peers that run here.
type requestTracker struct {
	mu    sync.Mutex
	count int
	// idle is closed when the count falls to zero; nil while it is zero.
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

// wait returns when no request runs, or with the error of ctx.
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

// Drain waits until every request of a peer has ended here and its result is
// written: those that run at this home and those that are passed on. It returns the
// error of ctx when that ends first. Requests are taken meanwhile.
func (s *Server) Drain(ctx context.Context) error { return s.requests.wait(ctx) }
