package rank

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/balance"
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
	// credit is the slot time in seconds that each rank's guaranteed share entitles it
	// to. It is negative when the rank has used more than its share.
	credit [cluster.RankCount]float64
	// creditTime is the time of the last update of credit.
	creditTime time.Time
	// load is what is known of the load of the server besides running, and expected its
	// expected response time when the servers were last ordered.
	load     balance.Server
	expected float64
	// use is the average use of the slots at useTime.
	use     float64
	useTime time.Time
	// given and refused count statements, see ServerLoad.
	given, refused uint64
}

func (s *server) busy() int {
	n := 0
	for _, r := range s.running {
		n += r
	}
	return n
}

func (s *server) free() int { return s.slots - s.busy() }

// charge subtracts slot time from a rank's credit. Slots that the rank got by its
// urgency lower the credit no further than one shareWindow, so that the use of
// slots that others left idle does not cost the rank its guaranteed share later.
func (d *Dispatcher) charge(s *server, r cluster.Rank, seconds float64, byShare bool) {
	previous := s.credit[r]
	s.credit[r] -= seconds
	if byShare || seconds < 0 {
		return
	}
	limit := -d.windowCredit(s, r)
	if s.credit[r] < limit {
		s.credit[r] = min(previous, limit)
	}
}

// initialCharge returns the slot time in seconds that a rank is charged for a
// statement when it starts. Release charges the difference to the time used.
func (d *Dispatcher) initialCharge(r cluster.Rank) float64 {
	if d.chargeByCount {
		return d.meanCost.value
	}
	return d.cost[r].value
}

// windowCredit returns the slot time in seconds that a rank's guaranteed share amounts
// to over shareWindow.
func (d *Dispatcher) windowCredit(s *server, r cluster.Rank) float64 {
	return d.guaranteedShare(r) * float64(s.slots) * shareWindow.Seconds()
}

// guaranteedShare returns a rank's guaranteed share of the slot time, scaled down
// when the sum of all guaranteed shares exceeds 1.
func (d *Dispatcher) guaranteedShare(r cluster.Rank) float64 {
	sum := 0.0
	for i := range cluster.Rank(cluster.RankCount) {
		sum += d.config.Ranks.Policy(i).Floor
	}
	return d.config.Ranks.Policy(r).Floor / max(sum, 1)
}

// updateCredits advances the credits to now. A rank accumulates credit at its
// guaranteed share while it has work waiting for the server; otherwise its credit rises to zero at
// most.
func (d *Dispatcher) updateCredits(now time.Time) {
	for _, s := range d.servers {
		elapsed := now.Sub(s.creditTime).Seconds()
		s.creditTime = now
		for r := range cluster.Rank(cluster.RankCount) {
			credit := s.credit[r] + elapsed*d.guaranteedShare(r)*float64(s.slots)
			limit := 0.0
			if d.hasQueuedWork(s, r) {
				limit = max(d.windowCredit(s, r), 2*d.initialCharge(r))
			}
			s.credit[r] = min(credit, limit)
		}
	}
}

// hasQueuedWork reports whether a rank has queued requests that may run at the server.
func (d *Dispatcher) hasQueuedWork(s *server, r cluster.Rank) bool {
	if s.id == d.primary {
		if d.queues[r][LanePrimary].len() > 0 {
			return true
		}
		return len(d.servers) == 1 && d.queues[r][LaneRead].len() > 0
	}
	return d.queues[r][LaneRead].len() > 0
}

// dispatch assigns free slots until no waiting request can run.
func (d *Dispatcher) dispatch(now time.Time) {
	if d.closed {
		return
	}
	var retryAt time.Time
	for assigned := true; assigned; {
		assigned = false
		for _, s := range d.serverOrder(now) {
			assigned = d.assignOne(s, now, &retryAt) || assigned
		}
	}
	d.scheduleReevaluation(now, retryAt)
}

// serverOrder returns the order in which the servers are offered waiting requests.
func (d *Dispatcher) serverOrder(now time.Time) []*server {
	if d.evenLoad() {
		return d.serversByExpectedTime(now)
	}
	return d.serversByFreeSlots()
}

// serversByFreeSlots returns the servers by falling number of free slots, the primary
// last so that reads prefer replicas.
func (d *Dispatcher) serversByFreeSlots() []*server {
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

// assignOne assigns at most one slot of a server and reports whether it did.
func (d *Dispatcher) assignOne(s *server, now time.Time, retryAt *time.Time) bool {
	if s.free() <= 0 {
		return false
	}
	if w := s.pinned.onTime.Front(); w != nil {
		d.assign(w, s, "open transaction", false, now)
		return true
	}
	if d.config.Policy == PolicyStatic {
		return d.assignOldest(s, now, retryAt)
	}
	if !d.hasFreeSlot(s, now, retryAt) {
		return false
	}
	for _, c := range d.rankOrder(s) {
		if !d.mayTakeSlot(s, c.rank) {
			continue
		}
		w, reason := d.firstRunnable(s, c.rank, now, retryAt)
		if w == nil {
			continue
		}
		target, reason := d.preferredServer(w, s, reason, c, now)
		d.assign(w, target, reason, c.byShare, now)
		return true
	}
	return false
}

// assignOldest assigns at most one slot of a server, to the request that arrived
// first, and reports whether it did.
func (d *Dispatcher) assignOldest(s *server, now time.Time, retryAt *time.Time) bool {
	var oldest *waiter
	var oldestReason string
	for r := range cluster.Rank(cluster.RankCount) {
		w, reason := d.firstRunnable(s, r, now, retryAt)
		if w != nil && (oldest == nil || w.seq < oldest.seq) {
			oldest = w
			oldestReason = reason
		}
	}
	if oldest == nil {
		return false
	}
	d.assign(oldest, s, oldestReason, false, now)
	return true
}

// candidate is a rank that may be served next, and whether its guaranteed share is
// the reason.
type candidate struct {
	rank    cluster.Rank
	byShare bool
}

// rankOrder returns the ranks whose credit covers a statement, followed by all
// ranks by urgency.
func (d *Dispatcher) rankOrder(s *server) []candidate {
	order := make([]candidate, 0, 2*cluster.RankCount)
	for r := range cluster.Rank(cluster.RankCount) {
		if d.coversStatement(s, r) {
			order = append(order, candidate{rank: r, byShare: true})
		}
	}
	for r := range cluster.Rank(cluster.RankCount) {
		order = append(order, candidate{rank: r})
	}
	return order
}

// coversStatement reports whether the credit of a rank covers a statement.
func (d *Dispatcher) coversStatement(s *server, r cluster.Rank) bool {
	return s.credit[r] > 0 && s.credit[r] >= d.initialCharge(r)
}

// mayTakeSlot reports whether a rank may occupy one more slot without using those
// that are kept free for more urgent ranks. At least one slot is not kept free.
func (d *Dispatcher) mayTakeSlot(s *server, r cluster.Rank) bool {
	for higher := range r {
		keep := min(d.config.Ranks.Policy(higher).KeepFreeSlots, s.slots-1)
		lower := 0
		for other := higher + 1; other < cluster.RankCount; other++ {
			lower += s.running[other]
		}
		if keep > 0 && lower >= s.slots-keep {
			return false
		}
	}
	return true
}

// firstRunnable finds the first waiting request of a rank that the server may run
// now. On-time requests come before late ones, and among these LanePrimary comes
// before LaneRead, because its requests can run nowhere else. Late requests that firstOwed
// finds come before all.
func (d *Dispatcher) firstRunnable(s *server, r cluster.Rank, now time.Time, retryAt *time.Time) (*waiter, string) {
	if w, reason := d.firstOwed(s, r, now, retryAt); w != nil {
		return w, reason
	}
	for _, late := range []bool{false, true} {
		for lane := range laneCount {
			if !d.servesLane(s, lane) {
				continue
			}
			if w, reason := d.firstRunnableIn(&d.queues[r][lane], late, s, now, retryAt); w != nil {
				return w, reason
			}
		}
	}
	return nil, ""
}

// firstRunnableIn finds the request of one queue that the server may run now and that is
// first by the order of the organisations.
func (d *Dispatcher) firstRunnableIn(q *queue, late bool, s *server, now time.Time, retryAt *time.Time) (*waiter, string) {
	waiters := &q.onTime
	if late {
		waiters = &q.late
	}
	backlogs := waiters.inOrder()
	limit := scanLimitOf(len(backlogs))
	for _, b := range backlogs {
		if w, reason := d.firstRunnableOf(b, limit, late, s, now, retryAt); w != nil {
			return w, reason
		}
	}
	return nil, ""
}

// firstRunnableOf finds the first request of one organisation that the server may run now
// among the first limit requests.
func (d *Dispatcher) firstRunnableOf(b *backlog, limit int, late bool, s *server, now time.Time, retryAt *time.Time) (*waiter, string) {
	scanned := 0
	for e := b.waiters.Front(); e != nil && scanned < limit; {
		w := e.Value.(*waiter)
		e = e.Next()
		if d.dropPastDeadline(w, now) {
			continue
		}
		if !late && d.missesObjective(w, 0, now) {
			w.queue.demote(w)
			continue
		}
		scanned++
		eligibility := w.request.Eligible(s.id, now)
		if eligibility.OK || eligibility.Spare && d.candidate(s).Spares() {
			return w, eligibility.Reason
		}
		setEarliest(retryAt, eligibility.RetryAt)
	}
	return nil, ""
}

// servesLane reports whether a server may be offered requests of a lane now.
func (d *Dispatcher) servesLane(s *server, lane Lane) bool {
	if lane == LanePrimary {
		return s.id == d.primary || d.primary == ""
	}
	return s.id != d.primary || s.reads < d.primaryReadSlots
}

// dropPastDeadline fails a request that would end after its caller's deadline, and
// reports whether it did.
func (d *Dispatcher) dropPastDeadline(w *waiter, now time.Time) bool {
	deadline := w.request.Deadline
	if d.config.Policy == PolicyStatic || deadline.IsZero() {
		return false
	}
	if !now.Add(d.expectedCost(w, now)).After(deadline) {
		return false
	}
	d.remove(w)
	d.countExpired(w)
	w.fail(errcode.New(errcode.DeadlinePassed, "wait for slot", ""))
	return true
}

func setEarliest(earliest *time.Time, at time.Time) {
	if at.IsZero() {
		return
	}
	if earliest.IsZero() || at.Before(*earliest) {
		*earliest = at
	}
}

func (d *Dispatcher) assign(w *waiter, s *server, reason string, byShare bool, now time.Time) {
	r := w.request.Rank
	d.remove(w)
	w.backlog.share.recordAssigned(w, now)
	w.queue.recordTotal(now)
	slot := &Slot{
		Server: s.id, Reason: reason, Waited: now.Sub(w.arrived),
		dispatcher: d, server: s, rank: r, lane: w.request.Lane, started: now,
		initialCharge: d.initialCharge(r), byShare: byShare, share: w.share,
	}
	slot.shareCharge = w.share.expectedCost(slot.initialCharge)
	d.queues[r][w.request.Lane].chargeStart(w.share, slot.shareCharge, w.request.Pinned != "")
	d.charge(s, r, slot.initialCharge, byShare)
	s.updateUse(now)
	s.running[r]++
	s.given++
	s.load.Given(w.seq)
	if slot.lane == LaneRead {
		s.reads++
	}
	d.stats.Granted[r]++
	grantedTotal[r].Inc()
	w.succeed(slot)
}

// scheduleReevaluation sets the timer that dispatches again at retryAt, the earliest
// time at which a server may become eligible.
func (d *Dispatcher) scheduleReevaluation(now, retryAt time.Time) {
	if retryAt.IsZero() {
		return
	}
	delay := max(retryAt.Sub(now), time.Millisecond)
	if d.timer == nil {
		d.timer = time.AfterFunc(delay, d.Reevaluate)
		return
	}
	d.timer.Reset(delay)
}
