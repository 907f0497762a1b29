package rank

import (
	"math"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/balance"
	"github.com/rattancove/rattancove/internal/cluster"
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

// useWindow is the time constant of the average use of a server's slots.
const useWindow = time.Second

// minUse is the average use below which the ratio of the busiest server to the mean says
// nothing: a single statement then decides it.
const minUse = 0.01

// updateUse advances the average use of the slots of s to now. It is called before s.running
// changes.
func (s *server) updateUse(now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(s.useTime))/float64(useWindow))
	s.use += weight * (float64(s.busy())/float64(max(s.slots, 1)) - s.use)
	s.useTime = now
}

// ServerLoad is the load of one server.
type ServerLoad struct {
	Running int
	// Waiting is the number of waiting requests that may run only at the server or, for
	// reads, at any replica.
	Waiting int
	// Given counts the statements that got a slot, Refused those that the server refused or
	// failed.
	Given, Refused uint64
}

// Load returns the load of a server; none if there is no such server.
func (d *Dispatcher) Load(id cluster.ServerID) ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.server(id)
	if s == nil {
		return ServerLoad{}
	}
	load := ServerLoad{Running: s.busy(), Waiting: s.pinned.len(), Given: s.given, Refused: s.refused}
	lane := LaneRead
	if s.id == d.primary {
		lane = LanePrimary
	}
	for r := range d.queues {
		load.Waiting += d.queues[r][lane].len()
	}
	return load
}

// BusiestToMean returns the ratio of the use of the busiest server's slots to the mean of all
// servers; zero while less than a hundredth of the slots is used.
func (d *Dispatcher) BusiestToMean() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, busiest, sum := time.Now(), 0.0, 0.0
	for _, s := range d.servers {
		s.updateUse(now)
		busiest = max(busiest, s.use)
		sum += s.use
	}
	mean := sum / float64(max(len(d.servers), 1))
	if mean < minUse {
		return 0
	}
	return busiest / mean
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
	s.server.refused++
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
