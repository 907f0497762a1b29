package back

import (
	"context"
	"sync"

	"github.com/rattancove/rattancove/internal/errcode"
)

// cancels keeps a cancel request from reaching a later exchange than the one
// that it was meant for.
type cancels struct {
	mu      sync.Mutex
	running bool
	// late is set when a request was sent whose effect may still be to come.
	late bool
}

func (c *cancels) begin() { c.setRunning(true) }

// end waits until a request that is under way has been taken by the server.
func (c *cancels) end() { c.setRunning(false) }

func (c *cancels) setRunning(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = on
}

// takeLate reports once whether a request may still take effect.
func (c *cancels) takeLate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := c.late
	c.late = false
	return late
}

// Cancel asks the server to stop the running exchange, whose answer then
// arrives as usual. It uses a network connection of its own, and does nothing
// when no exchange runs. The exchange does not end before Cancel has returned,
// which takes the cancel grace at most.
func (c *Conn) Cancel(ctx context.Context) error {
	c.cancels.mu.Lock()
	defer c.cancels.mu.Unlock()
	if !c.cancels.running {
		return nil
	}
	c.cancels.late = true
	ctx, stop := context.WithTimeout(ctx, c.link.cfg.CancelGrace)
	defer stop()
	if err := c.link.cancelRequest(ctx); err != nil {
		return errcode.Wrap(err, errcode.Unknown, "cancel", string(c.link.server.ID))
	}
	return nil
}

// absorbCancel runs an empty query outside any transaction when a cancel
// request of an earlier exchange may still take effect.
func (c *Conn) absorbCancel(ctx context.Context) error {
	if c.link.status != 'I' || !c.cancels.takeLate() {
		return nil
	}
	var r reply
	return c.link.pipeline(ctx, r.segment(query("")))
}
