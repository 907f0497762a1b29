package rank

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// QueueState is the state of a queue as one organisation sees it.
type QueueState struct {
	// Queued is the number of waiting requests, Own that of the organisation's.
	Queued, Own int
	// Wait is the estimated wait of a request of the organisation.
	Wait time.Duration
}

// QueueState returns the state of the queue of a rank and lane.
func (d *Dispatcher) QueueState(r cluster.Rank, lane Lane, organisation string) QueueState {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := &d.queues[r][lane]
	s := q.shareOf(organisation, d.config.Organisations)
	return QueueState{Queued: q.len(), Own: s.waiting(), Wait: s.wait()}
}

// ServerState is the use of a server's slots.
type ServerState struct {
	Server      cluster.ServerID
	Busy, Slots int
}

// Servers returns the use of the slots of all servers.
func (d *Dispatcher) Servers() []ServerState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states := make([]ServerState, 0, len(d.servers))
	for _, s := range d.servers {
		states = append(states, ServerState{Server: s.id, Busy: s.busy(), Slots: s.slots})
	}
	return states
}

// String returns the name of a lane in logs and metrics.
func (l Lane) String() string {
	if l == LaneRead {
		return "read"
	}
	return "primary"
}
