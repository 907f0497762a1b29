package home

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/route"
)

// minLearnInterval is the minimum time between two updates of the routing state
// from responses. Replicas are behind by several milliseconds anyway.
const minLearnInterval = 10 * time.Millisecond

// learnPosition records the position that a server reported with the response to an
// exchange that started at begun. It makes most status calls unnecessary.
func (o *owner) learnPosition(att *attempt, at cluster.Position, begun time.Time) {
	if o.home.config.Terms == nil || !at.Known() || !o.termIsCurrent() {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	id := att.node.server.ID
	r, ok := o.view.reports[id]
	if !ok || !r.known || r.status.Term != o.view.term || att.routing.Term != o.view.term {
		return
	}
	if r.status.Replayed.Less(at) {
		r.status.Replayed = at
		r.status.Received = cluster.MaxPosition(r.status.Received, at)
		r.begun = begun
		o.view.reports[id] = r
	}
	if id == o.view.primary {
		o.history = o.history.With(route.Sample{At: begun, Position: at})
	}
	if now := time.Now(); now.Sub(o.lastLearned) >= minLearnInterval {
		o.lastLearned = now
		o.rebuildRouting()
	}
}
