package home

import (
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

// minReclaimInterval is the least time between two claims of a group that free
// connections.
const minReclaimInterval = 10 * time.Second

// connectionsExhausted reports whether a server refuses a connection for lack of places
// while this home has none. The places are held by connections that have gone
// silent on the way: the home has closed them and the server has not noticed.
func (n *node) connectionsExhausted(err error) bool {
	if n.owner.shared() || !errcode.Is(err, errcode.Overloaded) {
		return false
	}
	stats := n.pool.Stats()
	return stats.Idle == 0 && stats.InUse == 0
}

// reclaim replaces an owner by a new one, whose claim of a higher epoch makes
// the servers end every connection of the old one.
func (h *Home) reclaim(o *owner, n *node) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed || h.owners[o.name] != o || time.Since(o.started) < minReclaimInterval {
		return
	}
	eventReclaimed.Log(h.log).Str("group", string(o.name)).Str("server", string(n.server.ID)).Send()
	reclaimsTotal.Inc()
	h.release(o.name)
	h.startOwner(h.groups[o.name])
}
