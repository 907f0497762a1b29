package home

import (
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
)

// minReclaimInterval is the minimum time between two claims of a group that are
// made to free connections.
const minReclaimInterval = 10 * time.Second

// connectionsExhausted reports whether a server refuses a connection because its
// limit is reached, although this home has none open. The limit is then used up by
// connections that the home has closed without the server noticing, because the
// network between them dropped the packets.
func (n *node) connectionsExhausted(err error) bool {
	if n.owner.shared() || !errcode.Is(err, errcode.Overloaded) {
		return false
	}
	stats := n.pool.Stats()
	return stats.Idle == 0 && stats.InUse == 0
}

// reclaim replaces an owner with a new one, whose claim of a higher epoch makes
// the servers close every connection of the old one.
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
