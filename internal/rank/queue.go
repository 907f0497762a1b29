package rank

import (
	"container/list"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Steps of the errors of requests that are refused before they wait. A request that
// StepQueueFull names may also be refused while it waits.
const (
	StepQueueFull   = "queue full"
	StepWaitTooLong = "wait too long"
	StepAdmit       = "admit"
)

// waiter is one request in a queue. Its fields are guarded by the
// dispatcher's lock until done is closed.
type waiter struct {
	request  Request
	seq      uint64
	arrived  time.Time
	deadline time.Time
	element  *list.Element
	queue    *queue
	// backlog holds the waiter, share is what its slot time is charged to.
	backlog *backlog
	share   *share
	// late is set when the response is not expected within the request's objective.
	late bool
	done chan struct{}
	slot *Slot
	err  error
}

func (w *waiter) fail(err error) {
	w.err = err
	close(w.done)
}

func (w *waiter) succeed(slot *Slot) {
	w.slot = slot
	close(w.done)
}

// queue holds waiters by organisation, and those of one in order of arrival. Those that
// can still meet their objectives are served first: when more work arrives than the
// servers can do, a single queue in order of arrival would make every request late.
type queue struct {
	onTime, late fairList
	shares       map[string]*share
	// withoutOrganisation is the share of all requests without an organisation.
	withoutOrganisation share
	// used is the highest share.used at which a request got a slot. An organisation that
	// becomes active begins there.
	used float64
	// total measures how fast the waiting requests of all organisations are served.
	total drain
}

func (q *queue) len() int { return q.onTime.Len() + q.late.Len() }

// push adds a waiter to the share s.
func (q *queue) push(w *waiter, s *share) {
	w.queue = q
	s.bytes += int64(w.request.Bytes)
	if w.late {
		s.late.share = s
		q.late.push(&s.late, w)
		return
	}
	s.onTime.share = s
	q.onTime.push(&s.onTime, w)
}

// demote moves a waiter behind those that can still meet their objectives.
func (q *queue) demote(w *waiter) {
	q.onTime.remove(w)
	w.late = true
	w.backlog.share.late.share = w.backlog.share
	q.late.push(&w.backlog.share.late, w)
}

func (q *queue) remove(w *waiter) {
	s := w.backlog.share
	s.bytes -= int64(w.request.Bytes)
	if w.late {
		q.late.remove(w)
	} else {
		q.onTime.remove(w)
	}
	if s.waiting() == 0 {
		s.lastAssigned = time.Time{}
	}
	if q.len() == 0 {
		q.total.lastAssigned = time.Time{}
	}
}

// drain measures how fast the waiting requests of one share, or of all, are served.
type drain struct {
	// assignInterval is the average time in seconds between two assignments of slots
	// while requests wait.
	assignInterval movingAverage
	// lastAssigned is the time of the last assignment while requests waited; zero once
	// none waits.
	lastAssigned time.Time
	// onTimeShare is the moving average of the fraction of slots that went to on-time
	// requests while late requests were waiting.
	onTimeShare float64
}

// recordInterval records that a waiter got a slot.
func (d *drain) recordInterval(now time.Time) {
	if !d.lastAssigned.IsZero() {
		d.assignInterval.add(now.Sub(d.lastAssigned).Seconds())
	}
	d.lastAssigned = now
}

// recordAssigned updates the averages after a waiter that has been removed got a slot.
func (s *share) recordAssigned(w *waiter, now time.Time) {
	s.recordInterval(now)
	if s.waiting() == 0 {
		s.lastAssigned = time.Time{}
	}
	switch {
	case w.late:
		s.onTimeShare -= onTimeShareWeight * s.onTimeShare
	case s.late.waiters.Len() > 0:
		s.onTimeShare += onTimeShareWeight * (1 - s.onTimeShare)
	default:
		s.onTimeShare = 0
	}
}

// wait estimates the wait of a request that joins the share, regardless of its objective.
func (s *share) wait() time.Duration {
	return time.Duration(s.waiting()) * s.assignInterval.duration()
}

// onTimeWait estimates the wait of a request that joins the on-time requests.
func (s *share) onTimeWait() time.Duration {
	return time.Duration(s.onTime.waiters.Len()) * s.assignInterval.duration()
}

// lateWait estimates the wait of a request that joins the late requests, which
// get the slots that the on-time requests leave.
func (s *share) lateWait() time.Duration {
	lateShare := max(1-s.onTimeShare, minLateShare)
	return s.onTimeWait() + time.Duration(float64(s.late.waiters.Len())*float64(s.assignInterval.duration())/lateShare)
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	value       float64
	initialized bool
}

func (a *movingAverage) add(x float64) {
	if !a.initialized {
		a.value = x
		a.initialized = true
		return
	}
	a.value += averageWeight * (x - a.value)
}

func (a *movingAverage) duration() time.Duration {
	return time.Duration(a.value * float64(time.Second))
}

// admit refuses a request that its queue cannot hold or cannot serve in time.
func (d *Dispatcher) admit(w *waiter, now time.Time) error {
	r := w.request
	if r.Pinned != "" {
		if d.server(r.Pinned) == nil {
			return errcode.New(errcode.ConnectionLost, "wait for slot", string(r.Pinned))
		}
		return nil
	}
	q := &d.queues[r.Rank][r.Lane]
	expected := max(w.share.wait(), q.fairWait(w.share, false))
	onTime := max(w.share.onTimeWait(), q.fairWait(w.share, true))
	if d.missesObjective(w, time.Duration(objectiveWaitFactor*float64(onTime)), now) {
		w.late = true
		expected = max(w.share.lateWait(), expected)
	}
	if !d.makeRoom(w) {
		return newOverloadedError(StepQueueFull, expected)
	}
	if d.config.Policy == PolicyStatic {
		return nil
	}
	if now.Add(expected).After(w.deadline) {
		return newOverloadedError(StepWaitTooLong, expected-w.deadline.Sub(now)+expected/retryDrainDivisor)
	}
	if !r.Deadline.IsZero() && now.Add(d.expectedCost(w, now)).After(r.Deadline) {
		return errcode.New(errcode.DeadlinePassed, StepAdmit, "")
	}
	return nil
}

func newOverloadedError(step string, retryAfter time.Duration) error {
	err := errcode.New(errcode.Overloaded, step, "")
	err.RetryAfter = max(retryAfter, time.Millisecond)
	return err
}

func (d *Dispatcher) queueLimit(r cluster.Rank) int {
	if limit := d.config.Ranks.Policy(r).Queue; limit > 0 {
		return limit
	}
	return defaultQueueLimit
}

func (d *Dispatcher) queued(r cluster.Rank) int {
	n := 0
	for lane := range d.queues[r] {
		n += d.queues[r][lane].len()
	}
	return n
}

// ExpectedWait estimates, from the interval between assignments, the wait of a request
// that arrives now, of the organisation whose requests wait the longest.
func (d *Dispatcher) ExpectedWait(r cluster.Rank, lane Lane) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	var longest time.Duration
	d.queues[r][lane].all(func(s *share) { longest = max(longest, s.wait()) })
	return longest
}

// expectedCost returns the average slot time of the statements of the request's
// organisation, or of its rank if there are no organisations; zero when none was observed
// within costValidity.
func (d *Dispatcher) expectedCost(w *waiter, now time.Time) time.Duration {
	cost, at := &d.cost[w.request.Rank], d.costAt[w.request.Rank]
	if d.hasOrganisations(w) {
		cost, at = &w.share.cost, w.share.costAt
	}
	if now.Sub(at) > costValidity {
		return 0
	}
	return cost.duration()
}

// hasOrganisations reports whether requests have organisations. Only callers of public
// routes have none then.
func (d *Dispatcher) hasOrganisations(w *waiter) bool {
	return w.request.Organisation != "" || len(d.config.Organisations) > 0
}

// Cost returns the average slot time of a rank's statements.
func (d *Dispatcher) Cost(r cluster.Rank) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cost[r].duration()
}

// missesObjective reports whether a request that still waits for the given time
// would miss its objective, with allowance for a statement that takes longer than
// the average.
func (d *Dispatcher) missesObjective(w *waiter, wait time.Duration, now time.Time) bool {
	objective := w.request.Objective
	if objective.IsZero() || d.config.Policy == PolicyStatic {
		return false
	}
	return now.Add(wait + objectiveCostFactor*d.expectedCost(w, now)).After(objective)
}

func (d *Dispatcher) insert(w *waiter) {
	if w.request.Pinned != "" {
		pinned := &d.server(w.request.Pinned).pinned
		pinned.push(w, &pinned.withoutOrganisation)
		return
	}
	q := &d.queues[w.request.Rank][w.request.Lane]
	q.activate(w.share)
	q.push(w, w.share)
	d.queuedBytes += int64(w.request.Bytes)
}

func (d *Dispatcher) remove(w *waiter) {
	w.queue.remove(w)
	if w.request.Pinned == "" {
		d.queuedBytes -= int64(w.request.Bytes)
	}
}

// waiting returns all waiters.
func (d *Dispatcher) waiting() []*waiter {
	var all []*waiter
	for r := range d.queues {
		for lane := range d.queues[r] {
			all = appendWaiters(all, &d.queues[r][lane])
		}
	}
	for _, s := range d.servers {
		all = appendWaiters(all, &s.pinned)
	}
	return all
}

func appendWaiters(all []*waiter, q *queue) []*waiter {
	for _, waiters := range []*fairList{&q.onTime, &q.late} {
		for _, b := range waiters.backlogs {
			for e := b.waiters.Front(); e != nil; e = e.Next() {
				all = append(all, e.Value.(*waiter))
			}
		}
	}
	return all
}

// failPinned fails the pinned statements that wait for a server that is not kept.
func (d *Dispatcher) failPinned(kept []*server) {
	for _, s := range d.servers {
		if contains(kept, s) {
			continue
		}
		for _, w := range appendWaiters(nil, &s.pinned) {
			d.remove(w)
			w.fail(errcode.New(errcode.ConnectionLost, "wait for slot", string(s.id)))
		}
	}
}

func contains(servers []*server, s *server) bool {
	for _, have := range servers {
		if have == s {
			return true
		}
	}
	return false
}
