package failover

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// maxTimeoutOverrun is the excess over a call's timeout from which the failure of the
// call is taken for a pause of this process.
const maxTimeoutOverrun = 500 * time.Millisecond

// StatusTracker collects what is observed of one group. It is safe for concurrent use.
type StatusTracker struct {
	mu      sync.Mutex
	servers map[cluster.ServerID]Observation
	reports map[string]ObserverReport
	intent  IntentResult
	changed chan struct{}
}

// NewStatusTracker returns an empty Board.
func NewStatusTracker() *StatusTracker {
	return &StatusTracker{
		servers: map[cluster.ServerID]Observation{},
		reports: map[string]ObserverReport{},
		changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives after changes.
func (t *StatusTracker) Changed() <-chan struct{} { return t.changed }

// Status returns a copy of what is observed.
func (t *StatusTracker) Status() GroupStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return GroupStatus{
		Servers: maps.Clone(t.servers),
		Reports: slices.Collect(maps.Values(t.reports)),
		Intent:  t.intent,
	}
}

// RecordStatus records a status that a server reported to a request sent after
// began. An answer that is older than the last one or of a lower term is
// ignored.
func (t *StatusTracker) RecordStatus(id cluster.ServerID, status cluster.ServerStatus, sentAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.servers[id]
	if sentAt.Before(o.RequestedAt) || status.Term < o.Status.Term {
		return
	}
	o.Status, o.RequestedAt = status, sentAt
	if !sentAt.Before(o.LastFailure) {
		o.FailingSince, o.ConsecutiveFailures = time.Time{}, 0
	}
	t.servers[id] = o
	t.notify()
}

// RecordAlive records that a server refused a connection begun at began for lack of
// places: it lives, though its status is not known anew.
func (t *StatusTracker) RecordAlive(id cluster.ServerID, dialedAt time.Time) {
	t.mu.Lock()
	status := t.servers[id].Status
	t.mu.Unlock()
	if status.Server != "" {
		t.RecordStatus(id, status, dialedAt)
	}
}

// RecordFailure records that a fresh connection begun at began failed within timeout.
// A failure that took much longer shows a pause of this process and is
// ignored.
func (t *StatusTracker) RecordFailure(id cluster.ServerID, dialedAt time.Time, timeout time.Duration) {
	if time.Since(dialedAt) > timeout+maxTimeoutOverrun {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.servers[id]
	if dialedAt.Before(o.RequestedAt) || dialedAt.Before(o.LastFailure) {
		return
	}
	if o.FailingSince.IsZero() {
		o.FailingSince = dialedAt
	}
	o.LastFailure = dialedAt
	o.ConsecutiveFailures++
	t.servers[id] = o
	t.notify()
}

// AddReport records what another process found.
func (t *StatusTracker) AddReport(r ObserverReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[r.Observer] = r
	t.notify()
}

// SetIntent records the answer of the table service.
func (t *StatusTracker) SetIntent(r IntentResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.intent = r
	t.notify()
}

func (t *StatusTracker) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}
