package gateway

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// maxThrottleTime bounds the time for which a refusal by a home is applied here.
	maxThrottleTime = 500 * time.Millisecond
	// throttleFraction is the part of the advised wait for which it is applied, so
	// that new requests reach the home before its queue is empty.
	throttleFraction = 0.5
	// probeInterval is the time between two requests that are sent to a home
	// although it has refused others of their kind.
	probeInterval = 50 * time.Millisecond
	// admittedAfter is the time after which a request that the home has not
	// refused counts as admitted.
	admittedAfter = 20 * time.Millisecond
)

// lane separates requests that wait for different things at a home.
type lane uint8

const (
	laneRead lane = iota
	lanePrimary
	laneTransaction
)

func laneOf(c statement.Class) lane {
	switch c {
	case statement.ClassRead, statement.ClassBeginReadOnly:
		return laneRead
	case statement.ClassBegin:
		return laneTransaction
	default:
		return lanePrimary
	}
}

// throttleKey names requests that a home refuses alike.
type throttleKey struct {
	group cluster.GroupName
	rank  cluster.Rank
	lane  lane
}

func keyOf(req *statement.Request) throttleKey {
	return throttleKey{group: req.Group, rank: min(req.Rank, cluster.RankBackground), lane: laneOf(req.First.Class)}
}

// throttleEntry is what a home last said of the requests of one key.
type throttleEntry struct {
	home cluster.ProxyID
	// timeout is that of the refused request. One that can wait longer may be
	// admitted.
	timeout time.Duration
	// retryAt is the end of the wait that the home advised, until the end of
	// the time for which requests are refused here.
	retryAt time.Time
	expires time.Time
	// lastAsked is when the home was last asked, or answered.
	lastAsked time.Time
	// probing is set while a probe has not been refused.
	probing bool
}

// throttle remembers overloaded homes, so that a request that would be
// refused does not cross the network. It is safe for concurrent use.
type throttle struct {
	mu      sync.Mutex
	entries map[throttleKey]*throttleEntry
}

func newThrottle() *throttle { return &throttle{entries: make(map[throttleKey]*throttleEntry)} }

// check returns an error when the home would probably refuse the request.
func (t *throttle) check(req *statement.Request, home cluster.ProxyID) error {
	key := keyOf(req)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[key]
	if !ok {
		return nil
	}
	if entry.home != home || !now.Before(entry.expires) || entry.probeAdmitted(now) {
		delete(t.entries, key)
		return nil
	}
	if req.Timeout > entry.timeout {
		return nil
	}
	if now.Sub(entry.lastAsked) >= probeInterval {
		entry.lastAsked = now
		entry.probing = true
		gatewayProbes.Inc()
		return nil
	}
	refusedRequests[key.rank].Inc()
	err := errcode.New(errcode.Overloaded, "advised wait", string(home))
	err.RetryAfter = entry.retryAt.Sub(now)
	return err
}

// probeAdmitted reports whether the home has taken the probe.
func (e *throttleEntry) probeAdmitted(now time.Time) bool {
	return e.probing && now.Sub(e.lastAsked) >= admittedAfter
}

// record remembers a refusal with an advised wait. A refusal that says less than
// the one that is still in force is left out.
func (t *throttle) record(req *statement.Request, home cluster.ProxyID, err error) {
	if !errcode.Is(err, errcode.Overloaded) {
		return
	}
	advised := errcode.From(err).RetryAfter
	if advised <= 0 {
		return
	}
	key := keyOf(req)
	now := time.Now()
	throttled := min(time.Duration(throttleFraction*float64(advised)), maxThrottleTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	current, ok := t.entries[key]
	if ok && current.home == home && now.Before(current.expires) && req.Timeout < current.timeout {
		return
	}
	t.entries[key] = &throttleEntry{
		home: home, timeout: req.Timeout, retryAt: now.Add(advised), expires: now.Add(throttled), lastAsked: now,
	}
}
