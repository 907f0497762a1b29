package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// server is the scheduling state of one backend server.
type server struct {
	id      cluster.ServerID
	slots   int
	running [cluster.RankCount]int
	// reads counts the running requests of LaneRead.
	reads  int
	pinned queue
	// credit is the slot time in seconds that each rank is owed by its floor.
	credit [cluster.RankCount]float64
	// accrued is when credit was last brought up to date.
	accrued time.Time
}

func (s *server) busy() int {
	n := 0
	for _, r := range s.running {
		n += r
	}
	return n
}

func (s *server) free() int { return s.slots - s.busy() }

// Grant is the right to run one statement at a server.
type Grant struct {
	Server cluster.ServerID
	Reason string
	// Waited is the time in the queue.
	Waited time.Duration

	dispatcher *Dispatcher
	server     *server
	rank       cluster.Rank
	lane       Lane
	started    time.Time
	estimate   float64
	// owed is set when the grant was made to keep the rank's floor.
	owed     bool
	released bool
	// failed is set when the statement was not carried out.
	failed bool
}

// Fail notes that the statement was not carried out, so that the time until
// its release says nothing about the cost of statements.
func (g *Grant) Fail() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.failed = true
}

// Release ends the grant and charges the slot time to the rank. Further calls do nothing.
func (g *Grant) Release() {
	d := g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	now := time.Now()
	d.accrue(now)
	used := now.Sub(g.started).Seconds()
	if !g.failed {
		if now.Sub(d.costAt[g.rank]) > costFor {
			d.cost[g.rank].known = false
		}
		d.cost[g.rank].add(used)
		d.costAt[g.rank] = now
		d.meanCost.add(used)
	}
	if !d.chargeByCount {
		d.charge(g.server, g.rank, used-g.estimate, g.owed)
	}
	g.server.running[g.rank]--
	if g.lane == LaneRead {
		g.server.reads--
	}
	d.stats.SlotSeconds[g.rank] += used
	slotSeconds[g.rank].Add(used)
	d.dispatch(now)
}

// charge takes slot time from a rank's credit. Time that was lent is
// forgotten beyond one window, so that past idle slots do not cost the rank
// its floor.
func (d *Dispatcher) charge(s *server, r cluster.Rank, seconds float64, owed bool) {
	before := s.credit[r]
	s.credit[r] -= seconds
	if owed || seconds < 0 {
		return
	}
	limit := -d.window(s, r)
	if s.credit[r] < limit {
		s.credit[r] = min(before, limit)
	}
}

// estimate is the slot time in seconds that a statement of a rank is charged
// before its cost is known.
func (d *Dispatcher) estimate(r cluster.Rank) float64 {
	if d.chargeByCount {
		return d.meanCost.value
	}
	return d.cost[r].value
}

// window is the slot time in seconds that a rank's floor is worth over floorWindow.
func (d *Dispatcher) window(s *server, r cluster.Rank) float64 {
	return d.floor(r) * float64(s.slots) * floorWindow.Seconds()
}

// floor returns a rank's share, scaled down when the document's floors exceed the whole.
func (d *Dispatcher) floor(r cluster.Rank) float64 {
	sum := 0.0
	for i := range cluster.Rank(cluster.RankCount) {
		sum += d.config.Ranks.Policy(i).Floor
	}
	return d.config.Ranks.Policy(r).Floor / max(sum, 1)
}

// accrue brings the credits up to now. A rank earns its floor while it has
// work waiting for the server; otherwise it only works off its debt.
func (d *Dispatcher) accrue(now time.Time) {
	for _, s := range d.servers {
		elapsed := now.Sub(s.accrued).Seconds()
		s.accrued = now
		for r := range cluster.Rank(cluster.RankCount) {
			credit := s.credit[r] + elapsed*d.floor(r)*float64(s.slots)
			limit := 0.0
			if d.waitsFor(s, r) {
				limit = max(d.window(s, r), 2*d.estimate(r))
			}
			s.credit[r] = min(credit, limit)
		}
	}
}

// waitsFor reports whether queued work of a rank may run at the server.
func (d *Dispatcher) waitsFor(s *server, r cluster.Rank) bool {
	if s.id == d.primary {
		if d.queues[r][LanePrimary].len() > 0 {
			return true
		}
		return len(d.servers) == 1 && d.queues[r][LaneRead].len() > 0
	}
	return d.queues[r][LaneRead].len() > 0
}

// dispatch grants free slots until nothing more fits.
func (d *Dispatcher) dispatch(now time.Time) {
	if d.closed {
		return
	}
	var retryAt time.Time
	for granted := true; granted; {
		granted = false
		for _, s := range d.byLoad() {
			granted = d.fill(s, now, &retryAt) || granted
		}
	}
	d.arm(now, retryAt)
}

// byLoad orders servers by free slots, the primary last so that reads prefer replicas.
func (d *Dispatcher) byLoad() []*server {
	ordered := slices.Clone(d.servers)
	slices.SortStableFunc(ordered, func(a, b *server) int {
		if (a.id == d.primary) != (b.id == d.primary) {
			if a.id == d.primary {
				return 1
			}
			return -1
		}
		return cmp.Compare(b.free(), a.free())
	})
	return ordered
}

// fill grants at most one slot of a server.
func (d *Dispatcher) fill(s *server, now time.Time, retryAt *time.Time) bool {
	if s.free() <= 0 {
		return false
	}
	if e := s.pinned.timely.Front(); e != nil {
		d.grant(e.Value.(*waiter), s, "open transaction", false, now)
		return true
	}
	if d.config.Policy == PolicyStatic {
		return d.fillInOrder(s, now, retryAt)
	}
	for _, c := range d.rankOrder(s) {
		if !d.mayOccupy(s, c.rank) {
			continue
		}
		w, reason := d.first(s, c.rank, now, retryAt)
		if w == nil {
			continue
		}
		d.grant(w, s, reason, c.owed, now)
		return true
	}
	return false
}

// fillInOrder grants a slot to the request that arrived first, whatever its rank.
func (d *Dispatcher) fillInOrder(s *server, now time.Time, retryAt *time.Time) bool {
	var oldest *waiter
	var oldestReason string
	for r := range cluster.Rank(cluster.RankCount) {
		w, reason := d.first(s, r, now, retryAt)
		if w != nil && (oldest == nil || w.seq < oldest.seq) {
			oldest = w
			oldestReason = reason
		}
	}
	if oldest == nil {
		return false
	}
	d.grant(oldest, s, oldestReason, false, now)
	return true
}

// claimant is a rank in the order in which it may take a slot.
type claimant struct {
	rank cluster.Rank
	owed bool
}

// rankOrder lists the ranks that have earned a statement by their floor, and
// then all ranks by urgency.
func (d *Dispatcher) rankOrder(s *server) []claimant {
	order := make([]claimant, 0, 2*cluster.RankCount)
	for r := range cluster.Rank(cluster.RankCount) {
		if credit := s.credit[r]; credit > 0 && credit >= d.estimate(r) {
			order = append(order, claimant{rank: r, owed: true})
		}
	}
	for r := range cluster.Rank(cluster.RankCount) {
		order = append(order, claimant{rank: r})
	}
	return order
}

// mayOccupy reports whether a rank may take one more slot beside the slots
// that are kept free for more urgent ranks. One slot is never kept free.
func (d *Dispatcher) mayOccupy(s *server, r cluster.Rank) bool {
	for urgent := range r {
		keep := min(d.config.Ranks.Policy(urgent).KeepFreeSlots, s.slots-1)
		lower := 0
		for q := urgent + 1; q < cluster.RankCount; q++ {
			lower += s.running[q]
		}
		if keep > 0 && lower >= s.slots-keep {
			return false
		}
	}
	return true
}

// first finds the first waiting request of a rank that the server may run now.
// Requests that can run nowhere else come first, and those that can still meet
// their objectives.
func (d *Dispatcher) first(s *server, r cluster.Rank, now time.Time, retryAt *time.Time) (*waiter, string) {
	for _, overdue := range []bool{false, true} {
		for lane := range laneCount {
			if !d.serves(s, lane) {
				continue
			}
			if w, reason := d.firstOf(&d.queues[r][lane], overdue, s, now, retryAt); w != nil {
				return w, reason
			}
		}
	}
	return nil, ""
}

// firstOf finds the first request of one queue that the server may run now.
func (d *Dispatcher) firstOf(q *queue, overdue bool, s *server, now time.Time, retryAt *time.Time) (*waiter, string) {
	waiters := &q.timely
	if overdue {
		waiters = &q.overdue
	}
	scanned := 0
	for e := waiters.Front(); e != nil && scanned < scanLimit; {
		w := e.Value.(*waiter)
		e = e.Next()
		if d.dropLate(w, now) {
			continue
		}
		if !overdue && d.missesObjective(w, 0, now) {
			q.postpone(w)
			continue
		}
		scanned++
		verdict := w.request.Eligible(s.id, now)
		if verdict.OK {
			return w, verdict.Reason
		}
		noteRetry(retryAt, verdict.RetryAt)
	}
	return nil, ""
}

// serves reports whether a server may run requests of a lane now.
func (d *Dispatcher) serves(s *server, lane Lane) bool {
	if lane == LanePrimary {
		return s.id == d.primary || d.primary == ""
	}
	return s.id != d.primary || s.reads < d.readSlots
}

// dropLate refuses a request that would end after its caller's deadline.
func (d *Dispatcher) dropLate(w *waiter, now time.Time) bool {
	deadline := w.request.Deadline
	if d.config.Policy == PolicyStatic || deadline.IsZero() {
		return false
	}
	if !now.Add(d.expectedCost(w.request.Rank, now)).After(deadline) {
		return false
	}
	d.remove(w)
	d.countExpired(w)
	w.fail(errcode.New(errcode.DeadlinePassed, "wait for slot", ""))
	return true
}

func noteRetry(earliest *time.Time, at time.Time) {
	if at.IsZero() {
		return
	}
	if earliest.IsZero() || at.Before(*earliest) {
		*earliest = at
	}
}

func (d *Dispatcher) grant(w *waiter, s *server, reason string, owed bool, now time.Time) {
	r := w.request.Rank
	d.remove(w)
	w.queue.granted(w, now)
	g := &Grant{
		Server: s.id, Reason: reason, Waited: now.Sub(w.arrived),
		dispatcher: d, server: s, rank: r, lane: w.request.Lane, started: now,
		estimate: d.estimate(r), owed: owed,
	}
	d.charge(s, r, g.estimate, owed)
	s.running[r]++
	if g.lane == LaneRead {
		s.reads++
	}
	d.stats.Granted[r]++
	grantedTotal[r].Inc()
	w.succeed(g)
}

// arm sets the timer for the earliest time at which a verdict may change.
func (d *Dispatcher) arm(now, retryAt time.Time) {
	if retryAt.IsZero() {
		return
	}
	delay := max(retryAt.Sub(now), time.Millisecond)
	if d.timer == nil {
		d.timer = time.AfterFunc(delay, d.Wake)
		return
	}
	d.timer.Reset(delay)
}
