package rank

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// organisationWeights are the weights of the ranks of organisations.
var organisationWeights = [cluster.RankCount]float64{4, 2, 1}

const (
	// maxClaim bounds, in seconds of slot time for the weight, what an organisation can
	// claim after its waiting requests could not run for a time, for example because no
	// server was fresh enough: the others would have to wait until it has caught up.
	maxClaim = 0.25
	// maxDebt bounds what an organisation without waiting requests can owe, because open
	// transactions use slots out of turn.
	maxDebt = 1.0
	// lateClaim is how far, in seconds of slot time for the weight, an organisation must be
	// behind others before its late requests come before their on-time requests.
	lateClaim = 0.1
	// minScan is the least number of waiting requests of one organisation that are examined
	// for one free slot. It bounds the time for a queue of many organisations.
	minScan = 4
)

// share is the state of one organisation in a queue. Waiting requests are served by
// weighted fair queueing: next is the organisation that has used the least slot time for
// its weight. Only the differences between the used times count.
type share struct {
	drain
	organisation string
	weight       float64
	// used is the slot time in seconds, divided by the weight, that the organisation has
	// used since the origin of queue.used.
	used float64
	// cost is the average slot time of its statements.
	cost movingAverage
	// costAt is the time of the last observation of cost.
	costAt time.Time
	// bytes is the memory that its waiting requests hold.
	bytes        int64
	onTime, late backlog
}

func (s *share) waiting() int { return s.onTime.waiters.Len() + s.late.waiters.Len() }

// newest returns the waiter that would be served last, or nil.
func (s *share) newest() *waiter {
	for _, b := range []*backlog{&s.late, &s.onTime} {
		if e := b.waiters.Back(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

// backlog holds waiters of one organisation in order of arrival.
type backlog struct {
	share   *share
	waiters list.List
	// listed is set while the backlog is in the list of its fairList.
	listed bool
}

// fairList holds waiters by organisation.
type fairList struct {
	// backlogs contains every backlog that has waiters. Empty ones are removed later.
	backlogs []*backlog
	length   int
}

// Len returns the number of waiters.
func (l *fairList) Len() int { return l.length }

// Front returns the waiter that is next by the order of the organisations, or nil.
func (l *fairList) Front() *waiter {
	if l.length == 0 {
		return nil
	}
	for _, b := range l.inOrder() {
		if e := b.waiters.Front(); e != nil {
			return e.Value.(*waiter)
		}
	}
	return nil
}

func (l *fairList) push(b *backlog, w *waiter) {
	if !b.listed {
		b.listed = true
		l.backlogs = append(l.backlogs, b)
	}
	l.length++
	w.backlog = b
	w.element = b.waiters.PushBack(w)
}

func (l *fairList) remove(w *waiter) {
	l.length--
	w.backlog.waiters.Remove(w.element)
}

// inOrder returns the backlogs in the order in which they are to be served. Waiters may
// be removed while the result is in use.
func (l *fairList) inOrder() []*backlog {
	if len(l.backlogs) < 2 {
		return l.backlogs
	}
	l.backlogs = slices.DeleteFunc(l.backlogs, func(b *backlog) bool {
		b.listed = b.waiters.Len() > 0
		return !b.listed
	})
	slices.SortFunc(l.backlogs, func(a, b *backlog) int {
		return cmp.Or(cmp.Compare(a.share.used, b.share.used), cmp.Compare(a.firstSeq(), b.firstSeq()))
	})
	return l.backlogs
}

func (b *backlog) firstSeq() uint64 { return b.waiters.Front().Value.(*waiter).seq }

// scanLimitOf returns how many waiters of each of n organisations are examined for one
// free slot.
func scanLimitOf(n int) int {
	if n < 2 {
		return scanLimit
	}
	return max(scanLimit/n, minScan)
}

// shareOf returns the share of an organisation, or of all requests without one.
func (q *queue) shareOf(organisation string, ranks map[string]cluster.Rank) *share {
	if organisation == "" {
		q.withoutOrganisation.weight = organisationWeights[cluster.RankNormal]
		return &q.withoutOrganisation
	}
	s, ok := q.shares[organisation]
	if !ok {
		s = &share{organisation: organisation, weight: Weight(organisation, ranks)}
		if q.shares == nil {
			q.shares = make(map[string]*share)
		}
		q.shares[organisation] = s
	}
	return s
}

// Weight returns the weight of an organisation by its rank.
func Weight(organisation string, ranks map[string]cluster.Rank) float64 {
	r, ok := ranks[organisation]
	if !ok {
		r = cluster.RankNormal // the configuration that adds it has not arrived here yet
	}
	return organisationWeights[min(r, cluster.RankBackground)]
}

// setRanks applies the ranks of the organisations, and forgets those that are not listed
// and wait for nothing.
func (q *queue) setRanks(ranks map[string]cluster.Rank) {
	for name, s := range q.shares {
		if _, ok := ranks[name]; !ok && s.waiting() == 0 {
			delete(q.shares, name)
			continue
		}
		s.weight = Weight(name, ranks)
	}
}

// activate limits what a share without waiting requests can claim or owe: slot time that
// it did not use went to others, and what it used while others were idle is no debt.
func (q *queue) activate(s *share) {
	if s.waiting() == 0 {
		s.used = min(max(s.used, q.used), q.used+maxDebt)
	}
}

// chargeStart charges the expected slot time of a request that gets a slot.
func (q *queue) chargeStart(s *share, seconds float64, pinned bool) {
	begin := max(s.used, q.used-maxClaim)
	if !pinned {
		q.used = max(q.used, begin)
	}
	s.used = begin + seconds/s.weight
}

// chargeEnd charges the difference between the expected and the used slot time.
func (s *share) chargeEnd(expected, used float64) {
	s.used += (used - expected) / s.weight
}

func (s *share) observeCost(used float64, now time.Time) {
	if now.Sub(s.costAt) > costValidity {
		s.cost.initialized = false
	}
	s.cost.add(used)
	s.costAt = now
}

// expectedCost returns the expected slot time in seconds of a statement, which is
// fallback for an organisation without any.
func (s *share) expectedCost(fallback float64) float64 {
	if s.cost.initialized {
		return s.cost.value
	}
	return fallback
}

// all returns the shares of the organisations and of the requests without one.
func (q *queue) all(visit func(*share)) {
	visit(&q.withoutOrganisation)
	for _, s := range q.shares {
		visit(s)
	}
}

// recordTotal records that a waiter, which has been removed, got a slot.
func (q *queue) recordTotal(now time.Time) {
	q.total.recordInterval(now)
	if q.len() == 0 {
		q.total.lastAssigned = time.Time{}
	}
}

// fairWait estimates the wait of a request that joins the share, or its on-time requests,
// from what the order serves before it: those of its own organisation, and of each other
// one as many as its weight allows meanwhile. The interval between the organisation's own
// slots alone says nothing about one that has waited for nothing yet. The result is zero for
// requests without an organisation.
func (q *queue) fairWait(s *share, onTime bool) time.Duration {
	if s == &q.withoutOrganisation {
		return 0
	}
	own := s.onTime.waiters.Len()
	if !onTime {
		own = s.waiting()
	}
	ahead, turn := float64(own), float64(own+1)/s.weight
	lists := []*fairList{&q.onTime, &q.late}
	if onTime {
		lists = lists[:1]
	}
	for _, l := range lists {
		for _, b := range l.backlogs {
			if b.share != s {
				ahead += min(float64(b.waiters.Len()), turn*b.share.weight)
			}
		}
	}
	return time.Duration(ahead * q.total.assignInterval.value * float64(time.Second))
}

// firstOwed finds a late request of an organisation that is so far behind its share that
// it comes before the on-time requests of others, which never end during a flood.
func (d *Dispatcher) firstOwed(s *server, r cluster.Rank, now time.Time, retryAt *time.Time) (*waiter, string) {
	for lane := range laneCount {
		if q := &d.queues[r][lane]; d.servesLane(s, lane) && q.owesLate() {
			if w, reason := d.firstRunnableIn(q, true, s, now, retryAt); w != nil {
				return w, reason
			}
		}
	}
	return nil, ""
}

// owesLate reports whether an organisation with late requests has used less than those
// with on-time requests by more than lateClaim.
func (q *queue) owesLate() bool {
	if q.late.Len() == 0 || q.onTime.Len() == 0 {
		return false
	}
	return q.late.leastUsed()+lateClaim < q.onTime.leastUsed()
}

// leastUsed returns the lowest share.used of the organisations that have waiters in l.
func (l *fairList) leastUsed() float64 {
	least := math.Inf(1)
	for _, b := range l.backlogs {
		if b.waiters.Len() > 0 {
			least = min(least, b.share.used)
		}
	}
	return least
}

// makeRoom makes room in the full queues of a rank for a request of an organisation that
// takes less of them for its weight than another one: it refuses the newest requests of
// the organisation that takes the most. It reports whether there is room.
func (d *Dispatcher) makeRoom(w *waiter) bool {
	for d.full(w) {
		largest := d.largestOther(w)
		if largest == nil {
			return false
		}
		refused := largest.newest()
		d.remove(refused)
		d.countRefused(refused.request.Rank)
		refused.fail(newOverloadedError(StepQueueFull, largest.wait()))
	}
	return true
}

// full reports whether the queues cannot hold another request.
func (d *Dispatcher) full(w *waiter) bool {
	return d.queued(w.request.Rank) >= d.queueLimit(w.request.Rank) || d.bytesFull(w)
}

func (d *Dispatcher) bytesFull(w *waiter) bool {
	return d.queuedBytes+int64(w.request.Bytes) > d.config.QueueBytes
}

// largestOther returns the share of the rank that takes the most of the queues for its
// weight, if it is of another organisation and takes more than that of w would with w.
func (d *Dispatcher) largestOther(w *waiter) *share {
	size := func(s *share) float64 { return float64(s.waiting()) / s.weight }
	own := size(w.share) + 1/w.share.weight
	if d.bytesFull(w) {
		size = func(s *share) float64 { return float64(s.bytes) / s.weight }
		own = size(w.share) + float64(w.request.Bytes)/w.share.weight
	}
	var largest *share
	for lane := range laneCount {
		d.queues[w.request.Rank][lane].all(func(s *share) {
			if s.waiting() > 0 && s.organisation != w.share.organisation && size(s) > own && (largest == nil || size(s) > size(largest)) {
				largest = s
			}
		})
	}
	return largest
}
