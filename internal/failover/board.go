package failover

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// pauseSlack is the excess over a call's timeout from which the failure of the
// call is taken for a pause of this process.
const pauseSlack = 500 * time.Millisecond

// Board collects what is observed of one group. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	servers map[cluster.ServerID]Observation
	reports map[string]ObserverReport
	intent  IntentResult
	changed chan struct{}
}

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{
		servers: map[cluster.ServerID]Observation{},
		reports: map[string]ObserverReport{},
		changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives after changes.
func (b *Board) Changed() <-chan struct{} { return b.changed }

// Status returns a copy of what is observed.
func (b *Board) Status() GroupStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return GroupStatus{
		Servers: maps.Clone(b.servers),
		Reports: slices.Collect(maps.Values(b.reports)),
		Intent:  b.intent,
	}
}

// Answered records a status that a server reported to a request sent after
// began. An answer that is older than the last one or of a lower term is
// ignored.
func (b *Board) Answered(id cluster.ServerID, status cluster.ServerStatus, began time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.servers[id]
	if began.Before(o.At) || status.Term < o.Status.Term {
		return
	}
	o.Status, o.At = status, began
	if !began.Before(o.FailedAt) {
		o.FailingSince, o.Failures = time.Time{}, 0
	}
	b.servers[id] = o
	b.notify()
}

// Alive records that a server refused a connection begun at began for lack of
// places: it lives, though its status is not known anew.
func (b *Board) Alive(id cluster.ServerID, began time.Time) {
	b.mu.Lock()
	status := b.servers[id].Status
	b.mu.Unlock()
	if status.Server != "" {
		b.Answered(id, status, began)
	}
}

// Failed records that a fresh connection begun at began failed within timeout.
// A failure that took much longer shows a pause of this process and is
// ignored.
func (b *Board) Failed(id cluster.ServerID, began time.Time, timeout time.Duration) {
	if time.Since(began) > timeout+pauseSlack {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	o := b.servers[id]
	if began.Before(o.At) || began.Before(o.FailedAt) {
		return
	}
	if o.FailingSince.IsZero() {
		o.FailingSince = began
	}
	o.FailedAt = began
	o.Failures++
	b.servers[id] = o
	b.notify()
}

// Report records what another process found.
func (b *Board) Report(r ObserverReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[r.Observer] = r
	b.notify()
}

// SetIntent records the answer of the table service.
func (b *Board) SetIntent(r IntentResult) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.intent = r
	b.notify()
}

func (b *Board) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}
