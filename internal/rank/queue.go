package rank

import (
	"container/list"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
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

// queue holds waiters in order of arrival. Those that can still meet their
// objectives are served first: when more work arrives than the servers can do, a
// single queue in order of arrival would make every request late.
type queue struct {
	onTime, late list.List
	// assignInterval is the average time in seconds between two assignments of slots
	// while requests wait. It measures how fast the queue drains.
	assignInterval movingAverage
	// lastAssigned is the time of the last assignment while requests waited; zero once the
	// queue is empty.
	lastAssigned time.Time
	// onTimeShare is the moving average of the fraction of slots that went to on-time
	// requests while late requests were waiting.
	onTimeShare float64
}

func (q *queue) len() int { return q.onTime.Len() + q.late.Len() }

func (q *queue) push(w *waiter) {
	w.queue = q
	if w.late {
		w.element = q.late.PushBack(w)
		return
	}
	w.element = q.onTime.PushBack(w)
}

// demote moves a waiter behind those that can still meet their objectives.
func (q *queue) demote(w *waiter) {
	q.onTime.Remove(w.element)
	w.late = true
	w.element = q.late.PushBack(w)
}

func (q *queue) remove(w *waiter) {
	if w.late {
		q.late.Remove(w.element)
	} else {
		q.onTime.Remove(w.element)
	}
	if q.len() == 0 {
		q.lastAssigned = time.Time{}
	}
}

// recordAssigned updates the averages after a waiter that has been removed got a slot.
func (q *queue) recordAssigned(w *waiter, now time.Time) {
	if !q.lastAssigned.IsZero() {
		q.assignInterval.add(now.Sub(q.lastAssigned).Seconds())
	}
	q.lastAssigned = now
	if q.len() == 0 {
		q.lastAssigned = time.Time{}
	}
	switch {
	case w.late:
		q.onTimeShare -= onTimeShareWeight * q.onTimeShare
	case q.late.Len() > 0:
		q.onTimeShare += onTimeShareWeight * (1 - q.onTimeShare)
	default:
		q.onTimeShare = 0
	}
}

// onTimeWait estimates the wait of a request that joins the on-time requests.
func (q *queue) onTimeWait() time.Duration {
	return time.Duration(q.onTime.Len()) * q.assignInterval.duration()
}

// lateWait estimates the wait of a request that joins the late requests, which
// get the slots that the on-time requests leave.
func (q *queue) lateWait() time.Duration {
	lateShare := max(1-q.onTimeShare, minLateShare)
	return q.onTimeWait() + time.Duration(float64(q.late.Len())*float64(q.assignInterval.duration())/lateShare)
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
	expected := d.expectedWait(r.Rank, r.Lane)
	if d.missesObjective(w, time.Duration(objectiveWaitFactor*float64(d.queues[r.Rank][r.Lane].onTimeWait())), now) {
		w.late = true
		expected = d.queues[r.Rank][r.Lane].lateWait()
	}
	if d.queued(r.Rank) >= d.queueLimit(r.Rank) || d.queuedBytes+int64(r.Bytes) > d.config.QueueBytes {
		return newOverloadedError("queue full", expected)
	}
	if d.config.Policy == PolicyStatic {
		return nil
	}
	if now.Add(expected).After(w.deadline) {
		return newOverloadedError("wait too long", expected-w.deadline.Sub(now)+expected/retryDrainDivisor)
	}
	if !r.Deadline.IsZero() && now.Add(d.expectedCost(r.Rank, now)).After(r.Deadline) {
		return errcode.New(errcode.DeadlinePassed, "admit", "")
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

// expectedWait estimates, from the interval between the queue's assignments, the
// wait of a request that joins a queue now.
func (d *Dispatcher) expectedWait(r cluster.Rank, lane Lane) time.Duration {
	q := &d.queues[r][lane]
	return time.Duration(q.len()) * q.assignInterval.duration()
}

// ExpectedWait estimates the wait of a request that arrives now.
func (d *Dispatcher) ExpectedWait(r cluster.Rank, lane Lane) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.expectedWait(r, lane)
}

// expectedCost returns the average slot time of a rank's statements; zero when
// none was observed within costValidity.
func (d *Dispatcher) expectedCost(r cluster.Rank, now time.Time) time.Duration {
	if now.Sub(d.costAt[r]) > costValidity {
		return 0
	}
	return d.cost[r].duration()
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
	return now.Add(wait + objectiveCostFactor*d.expectedCost(w.request.Rank, now)).After(objective)
}

func (d *Dispatcher) insert(w *waiter) {
	if w.request.Pinned != "" {
		d.server(w.request.Pinned).pinned.push(w)
		return
	}
	d.queues[w.request.Rank][w.request.Lane].push(w)
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
	for _, waiters := range []*list.List{&q.onTime, &q.late} {
		for e := waiters.Front(); e != nil; e = e.Next() {
			all = append(all, e.Value.(*waiter))
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
