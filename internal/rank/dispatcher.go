package rank

import (
	"context"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Policy selects how free slots are assigned to requests.
type Policy string

// Scheduling policies.
const (
	// PolicyRanked serves the most urgent rank first and guarantees each rank its share of the
	// slot time.
	PolicyRanked Policy = "ranked"
	// PolicyStatic splits the connections evenly among the proxies and serves
	// requests in order of arrival. It is the baseline for comparisons.
	PolicyStatic Policy = "static"
)

// Lane states which servers may run a request. Each rank has one queue for each
// lane.
type Lane uint8

// Lanes.
const (
	// LanePrimary is for requests that only the primary may run.
	LanePrimary Lane = iota
	// LaneRead is for reads that any suitable server may run.
	LaneRead
	laneCount
)

const (
	// scanLimit is the maximum number of waiting requests of one queue that are
	// examined for one free slot.
	scanLimit = 16
	// shareWindow is the period over which a rank gets at least its guaranteed share.
	shareWindow = 250 * time.Millisecond
	// averageWeight is the weight of the newest observation in the moving averages
	// of slot times and of the intervals between assignments.
	averageWeight = 0.1
	// costValidity is how long an observed cost may cause refusals. Refused requests
	// yield no new observations, so that an outdated cost would refuse them forever.
	costValidity = 500 * time.Millisecond
	// objectiveCostFactor is the multiple of the average slot time that must remain
	// before a request's objective when it gets a slot: statements differ in length,
	// and the response is subject to network latency.
	objectiveCostFactor = 2
	// objectiveWaitFactor is the multiple of the estimated wait that must remain
	// before the objective when a request joins the on-time requests: a queue drains
	// unevenly, and a request that is demoted later has waited for nothing.
	objectiveWaitFactor = 1.5
	// onTimeShareWeight is the weight of the newest assignment in queue.onTimeShare:
	// about fifty assignments, a quarter of a second at a typical server, distinguish
	// a burst from a lasting overload. minLateShare bounds the estimated wait of late
	// requests.
	onTimeShareWeight = 0.02
	minLateShare      = 0.02
	// defaultQueueLimit and defaultMaxWait apply to a rank whose entry in the
	// environment document is zero.
	defaultQueueLimit = 1000
	defaultMaxWait    = 10 * time.Second
	// retryDrainDivisor extends the retry delay: a request that is refused because
	// of its expected wait is advised to wait 1/retryDrainDivisor of that wait
	// longer, so that part of the queue has drained.
	retryDrainDivisor = 8
	// defaultQueueBytes bounds the bytes of all waiting requests.
	defaultQueueBytes = 64 << 20
)

// Eligibility states whether a server may run a request now.
type Eligibility struct {
	OK     bool
	Reason string
	// RetryAt is the time at which the server may become eligible without any
	// other event; zero if there is none.
	RetryAt time.Time
	// Spare is set for the primary if it is not OK yet only because another server may run
	// the request as well. It may then take a slot that the primary spares.
	Spare bool
}

// Request is a request for a slot.
type Request struct {
	Rank cluster.Rank
	Lane Lane
	// Organisation is whose share of the slots the request uses; empty if it has none.
	Organisation string
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Objective is the time by which the response should have arrived; zero means no
	// objective.
	Objective time.Time
	// Deadline is the time at which the caller gives up; zero means no deadline.
	Deadline time.Time
	// Pinned is the server of the open transaction that the statement belongs to. It
	// is empty outside of a transaction.
	Pinned cluster.ServerID
	// Eligible reports whether a server that has a free slot may run the request.
	// It is called with the dispatcher locked; it must neither block nor call the
	// dispatcher.
	Eligible func(server cluster.ServerID, now time.Time) Eligibility
	// Prefers, if not nil, returns the preference of a read for a server among those with as
	// many free slots; the highest one wins. The rules for Eligible apply.
	Prefers func(server cluster.ServerID) int
}

// Config configures a Dispatcher.
type Config struct {
	Policy     Policy
	Ranks      environment.Ranks
	QueueBytes int64
	// Proxies is the number of proxies among which PolicyStatic splits connections.
	Proxies int
	// Organisations holds the ranks of the organisations, which give their weights.
	Organisations map[string]cluster.Rank
	// EvenLoad spreads the requests over the servers by package balance. Without it, free
	// slots are assigned in the order of the servers with the most of them, the primary's last.
	EvenLoad bool
}

// Dispatcher assigns the slots of one group's servers to requests. It is safe for concurrent use.
type Dispatcher struct {
	mu      sync.Mutex
	config  Config
	servers []*server
	queues  [cluster.RankCount][laneCount]queue
	cost    [cluster.RankCount]movingAverage
	// costAt is the time of the last observation of a rank's cost.
	costAt      [cluster.RankCount]time.Time
	queuedBytes int64
	primary     cluster.ServerID
	// primaryReadSlots is the number of the primary's slots that reads may occupy.
	primaryReadSlots int
	nextSeq          uint64
	timer            *time.Timer
	closed           bool
	stats            Stats
	// readCost is the average slot time of the reads of a rank over all servers, observed
	// last at readCostAt.
	readCost   [cluster.RankCount]movingAverage
	readCostAt [cluster.RankCount]time.Time
	// meanCost is the average slot time over all ranks.
	meanCost movingAverage
	// chargeByCount charges the same cost for every request. Experiments set it.
	chargeByCount bool
}

// New returns a Dispatcher without servers.
func New(config Config) *Dispatcher {
	d := &Dispatcher{}
	d.config = withDefaults(config)
	return d
}

// Configure applies a new configuration to requests that arrive after the call.
func (d *Dispatcher) Configure(config Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateCredits(time.Now())
	d.config = withDefaults(config)
	for r := range d.queues {
		for lane := range d.queues[r] {
			d.queues[r][lane].setRanks(config.Organisations)
		}
	}
	d.dispatch(time.Now())
}

func withDefaults(c Config) Config {
	if c.Policy == "" {
		c.Policy = PolicyRanked
	}
	if c.QueueBytes == 0 {
		c.QueueBytes = defaultQueueBytes
	}
	if c.Proxies == 0 {
		c.Proxies = 1
	}
	return c
}

// SetServers replaces the servers. Slots of a removed server stay valid until they
// are released.
func (d *Dispatcher) SetServers(servers []cluster.Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.updateCredits(now)
	kept := make([]*server, 0, len(servers))
	for _, s := range servers {
		entry := d.server(s.ID)
		if entry == nil {
			entry = &server{id: s.ID, creditTime: now, useTime: now}
		}
		entry.slots = s.Slots
		if d.config.Policy == PolicyStatic {
			entry.slots = max(1, s.Connections/d.config.Proxies)
		}
		kept = append(kept, entry)
	}
	d.failPinned(kept)
	d.servers = kept
	d.dispatch(now)
}

// SetPrimary sets the server that requests of LanePrimary wait for, and the
// number of its slots that requests of LaneRead may occupy. It dispatches the
// requests that can run now.
func (d *Dispatcher) SetPrimary(id cluster.ServerID, readSlots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.updateCredits(now)
	d.primary = id
	d.primaryReadSlots = readSlots
	d.dispatch(now)
}

// Reevaluate dispatches the waiting requests that can run now. It is called after a
// change of something that Eligible depends on.
func (d *Dispatcher) Reevaluate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.updateCredits(now)
	d.dispatch(now)
}

// Acquire waits for a slot. The error is an *errcode.Error with the outcome
// "not run". The caller releases the slot when the statement has ended.
func (d *Dispatcher) Acquire(ctx context.Context, r Request) (*Slot, error) {
	w, err := d.enqueue(r)
	if err != nil {
		return nil, err
	}
	d.await(ctx, w)
	if w.err != nil {
		return nil, w.err
	}
	return w.slot, nil
}

// await blocks until w has a slot or an error.
func (d *Dispatcher) await(ctx context.Context, w *waiter) {
	select {
	case <-w.done:
		return
	default:
	}
	wait := time.NewTimer(max(time.Until(w.deadline), time.Nanosecond))
	defer wait.Stop()
	select {
	case <-w.done:
	case <-ctx.Done():
		d.cancelWait(w, errcode.Wrap(ctx.Err(), errcode.DeadlinePassed, "wait for slot", ""))
	case <-wait.C:
		d.cancelWait(w, d.waitTimeoutError(w))
	}
	<-w.done
}

// Close fails all waiting requests. Acquired slots stay valid until they are released.
func (d *Dispatcher) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
	for _, w := range d.waiting() {
		d.remove(w)
		w.fail(errcode.New(errcode.Draining, "wait for slot", ""))
	}
}

func (d *Dispatcher) enqueue(r Request) (*waiter, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.updateCredits(now)
	if d.closed {
		return nil, errcode.New(errcode.Draining, "wait for slot", "")
	}
	w := d.newWaiter(r, now)
	if err := d.admit(w, now); err != nil {
		d.countRefused(r.Rank)
		return nil, err
	}
	d.insert(w)
	d.dispatch(now)
	return w, nil
}

func (d *Dispatcher) newWaiter(r Request, now time.Time) *waiter {
	d.nextSeq++
	w := &waiter{request: r, seq: d.nextSeq, arrived: now, done: make(chan struct{})}
	w.share = d.queues[r.Rank][r.Lane].shareOf(r.Organisation, d.config.Organisations)
	w.deadline = now.Add(d.maxWait(r.Rank))
	if !r.Deadline.IsZero() && r.Deadline.Before(w.deadline) {
		w.deadline = r.Deadline
	}
	return w
}

func (d *Dispatcher) maxWait(r cluster.Rank) time.Duration {
	if wait := d.config.Ranks.Policy(r).MaxWait; wait > 0 {
		return wait
	}
	return defaultMaxWait
}

func (d *Dispatcher) cancelWait(w *waiter, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w.slot != nil || w.err != nil {
		return
	}
	now := time.Now()
	d.updateCredits(now)
	d.remove(w)
	d.countExpired(w)
	w.fail(err)
	d.dispatch(now)
}

func (d *Dispatcher) countRefused(r cluster.Rank) {
	d.stats.Refused[r]++
	refusedTotal[r].Inc()
}

func (d *Dispatcher) countExpired(w *waiter) {
	d.stats.Expired[w.request.Rank]++
	expiredTotal[w.request.Rank].Inc()
}

func (d *Dispatcher) waitTimeoutError(w *waiter) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	err := errcode.New(errcode.DeadlinePassed, "wait for slot", "")
	if w.request.Deadline.IsZero() || w.deadline.Before(w.request.Deadline) {
		err = errcode.New(errcode.Overloaded, "wait for slot", "")
	}
	err.RetryAfter = w.share.wait()
	return err
}

func (d *Dispatcher) server(id cluster.ServerID) *server {
	for _, s := range d.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}
