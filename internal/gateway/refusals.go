package gateway

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// maxRefusal bounds the time for which a refusal by a home is applied here.
	maxRefusal = 500 * time.Millisecond
	// refusalShare is the part of the advised wait for which it is applied, so
	// that new requests reach the home before its queue is empty.
	refusalShare = 0.5
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

// refusalKey names requests that a home refuses alike.
type refusalKey struct {
	group cluster.GroupName
	rank  cluster.Rank
	lane  lane
}

func keyOf(req *statement.Request) refusalKey {
	return refusalKey{group: req.Group, rank: min(req.Rank, cluster.RankBackground), lane: laneOf(req.First.Class)}
}

// refusal is what a home last said of the requests of one key.
type refusal struct {
	home cluster.ProxyID
	// timeout is that of the refused request. One that can wait longer may be
	// admitted.
	timeout time.Duration
	// advised is the end of the wait that the home advised, until the end of
	// the time for which requests are refused here.
	advised time.Time
	until   time.Time
	// asked is when the home was last asked, or answered.
	asked time.Time
	// probing is set while a probe has not been refused.
	probing bool
}

// refusals remembers overloaded homes, so that a request that would be
// refused does not cross the network. It is safe for concurrent use.
type refusals struct {
	mu     sync.Mutex
	recent map[refusalKey]*refusal
}

func newRefusals() *refusals { return &refusals{recent: make(map[refusalKey]*refusal)} }

// check returns an error when the home would probably refuse the request.
func (r *refusals) check(req *statement.Request, home cluster.ProxyID) error {
	key := keyOf(req)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.recent[key]
	if !ok {
		return nil
	}
	if last.home != home || !now.Before(last.until) || last.admitted(now) {
		delete(r.recent, key)
		return nil
	}
	if req.Timeout > last.timeout {
		return nil
	}
	if now.Sub(last.asked) >= probeInterval {
		last.asked = now
		last.probing = true
		probesTotal.Inc()
		return nil
	}
	refusedTotal[key.rank].Inc()
	err := errcode.New(errcode.Overloaded, "advised wait", string(home))
	err.RetryAfter = last.advised.Sub(now)
	return err
}

// admitted reports whether the home has taken the probe.
func (r *refusal) admitted(now time.Time) bool {
	return r.probing && now.Sub(r.asked) >= admittedAfter
}

// note remembers a refusal with an advised wait. A refusal that says less than
// the one that is still in force is left out.
func (r *refusals) note(req *statement.Request, home cluster.ProxyID, err error) {
	if !errcode.Is(err, errcode.Overloaded) {
		return
	}
	advised := errcode.From(err).RetryAfter
	if advised <= 0 {
		return
	}
	key := keyOf(req)
	now := time.Now()
	applied := min(time.Duration(refusalShare*float64(advised)), maxRefusal)
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.recent[key]
	if ok && last.home == home && now.Before(last.until) && req.Timeout < last.timeout {
		return
	}
	r.recent[key] = &refusal{
		home: home, timeout: req.Timeout, advised: now.Add(advised), until: now.Add(applied), asked: now,
	}
}
