package back

import (
	"context"
	"sync"

	"github.com/rattancove/rattancove/internal/errcode"
)

// cancelTracker prevents a cancel request from affecting an exchange later than the
// one for which it was sent.
type cancelTracker struct {
	mu      sync.Mutex
	running bool
	// pending is set if a request was sent that may still take effect.
	pending bool
}

func (c *cancelTracker) beginExchange() { c.setRunning(true) }

// endExchange waits until a cancel request that is being sent has been processed by
// the server.
func (c *cancelTracker) endExchange() { c.setRunning(false) }

func (c *cancelTracker) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
}

// takePending reports whether a request may still take effect, and clears pending.
func (c *cancelTracker) takePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.pending
	c.pending = false
	return pending
}

// Cancel asks the server to cancel the running exchange, whose response then
// arrives as usual. It uses a separate network connection, and does nothing if no
// exchange runs. The exchange does not return before Cancel has returned, which
// takes CancelGrace at most.
func (c *Conn) Cancel(ctx context.Context) error {
	c.cancelTracker.mu.Lock()
	defer c.cancelTracker.mu.Unlock()
	if !c.cancelTracker.running {
		return nil
	}
	c.cancelTracker.pending = true
	ctx, stop := context.WithTimeout(ctx, c.proto.cfg.CancelGrace)
	defer stop()
	if err := c.proto.sendCancelRequest(ctx); err != nil {
		return errcode.Wrap(err, errcode.Unknown, "cancel", string(c.proto.server.ID))
	}
	return nil
}

// absorbPendingCancel runs an empty query outside any transaction if a cancel
// request for an earlier exchange may still take effect, so that it cancels the
// empty query instead of the next batch.
func (c *Conn) absorbPendingCancel(ctx context.Context) error {
	if c.proto.txStatus != 'I' || !c.cancelTracker.takePending() {
		return nil
	}
	var r queryResponse
	return c.proto.pipeline(ctx, r.segment(query("")))
}
