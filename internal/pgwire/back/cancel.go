package back

import (
	"context"
	"sync"

	"github.com/rattancove/rattancove/internal/errcode"
)

// cancelTracker keeps a cancel request from reaching a later exchange than the one
// that it was meant for.
type cancelTracker struct {
	mu      sync.Mutex
	running bool
	// pending is set when a request was sent whose effect may still be to come.
	pending bool
}

func (c *cancelTracker) begin() { c.setRunning(true) }

// end waits until a request that is under way has been taken by the server.
func (c *cancelTracker) end() { c.setRunning(false) }

func (c *cancelTracker) setRunning(running bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = running
}

// takePending reports once whether a request may still take effect.
func (c *cancelTracker) takePending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.pending
	c.pending = false
	return pending
}

// Cancel asks the server to stop the running exchange, whose answer then
// arrives as usual. It uses a network connection of its own, and does nothing
// when no exchange runs. The exchange does not end before Cancel has returned,
// which takes the cancel grace at most.
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

// absorbPendingCancel runs an empty query outside any transaction when a cancel
// request of an earlier exchange may still take effect.
func (c *Conn) absorbPendingCancel(ctx context.Context) error {
	if c.proto.txStatus != 'I' || !c.cancelTracker.takePending() {
		return nil
	}
	var r reply
	return c.proto.pipeline(ctx, r.segment(query("")))
}
