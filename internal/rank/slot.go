package rank

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Slot is a slot of a server, acquired to run one statement.
type Slot struct {
	Server cluster.ServerID
	Reason string
	// Waited is the time that the request spent in the queue.
	Waited time.Duration

	dispatcher    *Dispatcher
	server        *server
	rank          cluster.Rank
	lane          Lane
	share         *share
	shareCharge   float64
	started       time.Time
	initialCharge float64
	// byShare is set when the rank got the slot by its guaranteed share, not by its
	// urgency.
	byShare  bool
	released bool
	// failed is set when the statement did not run.
	failed bool
}

// MarkFailed records that the statement did not run, so that its slot time does
// not count as an observation of the cost.
func (s *Slot) MarkFailed() {
	s.dispatcher.mu.Lock()
	defer s.dispatcher.mu.Unlock()
	s.failed = true
}

// Release frees the slot and charges the used slot time to the rank. Further calls
// do nothing.
func (s *Slot) Release() {
	d := s.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := time.Now()
	d.updateCredits(now)
	used := now.Sub(s.started).Seconds()
	if !s.failed {
		if now.Sub(d.costAt[s.rank]) > costValidity {
			d.cost[s.rank].initialized = false
		}
		d.cost[s.rank].add(used)
		d.costAt[s.rank] = now
		d.meanCost.add(used)
		s.share.observeCost(used, now)
		d.observeTime(s, used, now)
	}
	if !d.chargeByCount {
		d.charge(s.server, s.rank, used-s.initialCharge, s.byShare)
	}
	s.share.chargeEnd(s.shareCharge, used)
	s.server.updateUse(now)
	s.server.running[s.rank]--
	if s.lane == LaneRead {
		s.server.reads--
	}
	d.stats.SlotSeconds[s.rank] += used
	slotSeconds[s.rank].Add(used)
	d.dispatch(now)
}
