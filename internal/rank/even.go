package rank

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/balance"
)

// evenLoad reports whether package balance decides which server gets a statement.
func (d *Dispatcher) evenLoad() bool {
	return d.config.EvenLoad && d.config.Policy != PolicyStatic && len(d.servers) > 1
}

// candidate returns a server as a candidate for a statement.
func (d *Dispatcher) candidate(s *server) balance.Candidate {
	return balance.Candidate{Server: &s.load, Running: s.busy(), Slots: s.slots, Primary: s.id == d.primary}
}

// serversByExpectedTime returns the servers by rising expected response time. The primary
// is among them, because a read that a replica could run takes only slots that it spares.
func (d *Dispatcher) serversByExpectedTime(now time.Time) []*server {
	for _, s := range d.servers {
		s.expected = d.candidate(s).Expected(now)
	}
	ordered := slices.Clone(d.servers)
	slices.SortStableFunc(ordered, func(a, b *server) int {
		return balance.Compare(d.candidate(a), d.candidate(b), a.expected, b.expected)
	})
	return ordered
}

// hasFreeSlot reports whether a server may be given another queued statement now. If only a
// recent refusal forbids it, retryAt is set to when that may have ended.
func (d *Dispatcher) hasFreeSlot(s *server, now time.Time, retryAt *time.Time) bool {
	if s.free() <= 0 || !d.evenLoad() {
		return s.free() > 0
	}
	limit, more := s.load.Limit(s.slots, now)
	if s.busy() < limit {
		return true
	}
	setEarliest(retryAt, more)
	return false
}

// MarkRefused records that the server refused or failed the statement of the slot.
func (s *Slot) MarkRefused() {
	d := s.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	running := s.server.busy()
	if !s.released {
		running--
	}
	s.server.load.ObserveRefusal(s.server.slots, running, time.Now())
}

// observeTime records the slot time of a completed read in relation to that of all reads of
// its rank.
func (d *Dispatcher) observeTime(s *Slot, used float64, now time.Time) {
	if s.lane != LaneRead {
		return
	}
	usual := &d.readCost[s.rank]
	if now.Sub(d.readCostAt[s.rank]) > costValidity {
		usual.initialized = false
	}
	usual.add(used)
	d.readCostAt[s.rank] = now
	if usual.value > 0 {
		s.server.load.ObserveTime(used/usual.value, now)
	}
}
