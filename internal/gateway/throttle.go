package gateway

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// maxThrottleTime limits how long requests are refused here after a refusal by
	// their home.
	maxThrottleTime = 500 * time.Millisecond
	// throttleFraction is the fraction of the wait advised by the home for which
	// requests are refused here, so that new requests reach the home before its
	// queue is empty.
	throttleFraction = 0.5
	// trialInterval is the time between two trial requests, which are sent to a home
	// although it has refused others of the same key.
	trialInterval = 50 * time.Millisecond
	// admittedAfter is the time after which a trial request that the home has not
	// refused counts as admitted.
	admittedAfter = 20 * time.Millisecond
)

// slotKind is the kind of slot that a request waits for at its home.
type slotKind uint8

const (
	slotRead slotKind = iota
	slotPrimary
	slotTransaction
)

func slotKindOf(c statement.Class) slotKind {
	switch c {
	case statement.ClassRead, statement.ClassBeginReadOnly:
		return slotRead
	case statement.ClassBegin:
		return slotTransaction
	default:
		return slotPrimary
	}
}

// throttleKey identifies requests that a home admits or refuses alike.
type throttleKey struct {
	group    cluster.GroupName
	rank     cluster.Rank
	slotKind slotKind
}

func keyOf(req *statement.Request) throttleKey {
	return throttleKey{group: req.Group, rank: min(req.Rank, cluster.RankBackground), slotKind: slotKindOf(req.First.Class)}
}

// throttleEntry is the last refusal by a home of requests of one key.
type throttleEntry struct {
	home cluster.ProxyID
	// timeout is the timeout of the refused request. A request that can wait longer
	// may be admitted.
	timeout time.Duration
	// retryAt is the end of the wait that the home advised, and expires the end of
	// the time for which requests are refused here.
	retryAt time.Time
	expires time.Time
	// lastTried is the time of the last refusal or trial request.
	lastTried time.Time
	// trialSent is set while a trial request has been sent and not refused.
	trialSent bool
}

// throttle records refusals by overloaded homes, so that requests that would be
// refused are not sent over the network. It is safe for concurrent use.
type throttle struct {
	mu      sync.Mutex
	entries map[throttleKey]*throttleEntry
}

func newThrottle() *throttle { return &throttle{entries: make(map[throttleKey]*throttleEntry)} }

// check returns an error if the home would probably refuse the request.
func (t *throttle) check(req *statement.Request, home cluster.ProxyID) error {
	key := keyOf(req)
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, ok := t.entries[key]
	if !ok {
		return nil
	}
	if entry.home != home || !now.Before(entry.expires) || entry.trialAdmitted(now) {
		delete(t.entries, key)
		return nil
	}
	if req.Timeout > entry.timeout {
		return nil
	}
	if now.Sub(entry.lastTried) >= trialInterval {
		entry.lastTried = now
		entry.trialSent = true
		trialRequests.Inc()
		return nil
	}
	refusedTotal[key.rank].Inc()
	err := errcode.New(errcode.Overloaded, "advised wait", string(home))
	err.RetryAfter = entry.retryAt.Sub(now)
	return err
}

// trialAdmitted reports whether the home has admitted the trial request.
func (e *throttleEntry) trialAdmitted(now time.Time) bool {
	return e.trialSent && now.Sub(e.lastTried) >= admittedAfter
}

// record records a refusal that advises a wait. It ignores a refusal of a shorter
// timeout than that of the unexpired one.
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
		home: home, timeout: req.Timeout, retryAt: now.Add(advised), expires: now.Add(throttled), lastTried: now,
	}
}
