package home

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// handoffTimeout bounds the wait for the current home of a group to drain it.
	handoffTimeout = drainTimeout + time.Second
	// reacquireDelay is how long a group that was released to another home is not
	// claimed again, so that two proxies with different views of the cluster do
	// not keep taking it from each other.
	reacquireDelay = 3 * time.Second
)

// releasedGroup is a group that this proxy has released.
type releasedGroup struct {
	// drained is closed when no request of the group runs here any more.
	drained chan struct{}
	// notBefore is the earliest time at which the group may be claimed again.
	notBefore time.Time
}

// Release releases a group to another home and returns when its requests have
// ended, or with the error of ctx.
func (h *Home) Release(ctx context.Context, group cluster.GroupName) error {
	h.mu.Lock()
	h.release(group)
	r := h.released[group]
	if r != nil {
		r.notBefore = time.Now().Add(reacquireDelay)
	}
	h.mu.Unlock()
	if r == nil {
		return nil
	}
	select {
	case <-r.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// recentlyReleased reports whether the group was released to another home within
// reacquireDelay. The caller holds the lock.
func (h *Home) recentlyReleased(group cluster.GroupName) bool {
	r := h.released[group]
	return r != nil && time.Now().Before(r.notBefore)
}

// requestHandoff lets the current home finish its running requests before its
// claim is superseded. A home that cannot be reached is superseded immediately.
func (o *owner) requestHandoff() {
	o.mu.Lock()
	_, holder := o.view.maxEpoch()
	o.mu.Unlock()
	handoff := o.home.config.Handoff
	if handoff == nil || holder == "" || holder == o.home.config.ID {
		return
	}
	ctx, cancel := context.WithTimeout(o.ctx, handoffTimeout)
	defer cancel()
	if err := handoff(ctx, holder, o.name); err != nil {
		eventHandoffFailed.Log(o.home.log).Str("group", string(o.name)).Str("holder", string(holder)).Err(err).Send()
	}
}
