package failover

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// maxTimeoutOverrun is how far a failed call may exceed its timeout before the
// failure is attributed to a pause of this process and ignored.
const maxTimeoutOverrun = 500 * time.Millisecond

// StatusTracker collects the observations of one group. It is safe for concurrent use.
type StatusTracker struct {
	mu      sync.Mutex
	servers map[cluster.ServerID]Observation
	reports map[string]ObserverReport
	intent  IntentResult
	changed chan struct{}
}

// NewStatusTracker returns an empty StatusTracker.
func NewStatusTracker() *StatusTracker {
	return &StatusTracker{
		servers: map[cluster.ServerID]Observation{},
		reports: map[string]ObserverReport{},
		changed: make(chan struct{}, 1),
	}
}

// Changed returns a channel that receives after the observations change.
func (t *StatusTracker) Changed() <-chan struct{} { return t.changed }

// Status returns a copy of the current observations.
func (t *StatusTracker) Status() GroupStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return GroupStatus{
		Servers: maps.Clone(t.servers),
		Reports: slices.Collect(maps.Values(t.reports)),
		Intent:  t.intent,
	}
}

// RecordStatus records a status that a server reported in response to a request sent
// at sentAt. A response to an earlier request than the last one, or of a lower term,
// is ignored.
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

// RecordAlive records that a server refused the connection dialed at dialedAt because
// its connection limit was reached: it is running, but its status is not updated.
func (t *StatusTracker) RecordAlive(id cluster.ServerID, dialedAt time.Time) {
	t.mu.Lock()
	status := t.servers[id].Status
	t.mu.Unlock()
	if status.Server != "" {
		t.RecordStatus(id, status, dialedAt)
	}
}

// RecordFailure records that a new connection dialed at dialedAt failed within
// timeout. A failure that took much longer indicates a pause of this process and is
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

// AddReport records the report of another process.
func (t *StatusTracker) AddReport(r ObserverReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reports[r.Observer] = r
	t.notify()
}

// SetIntent records the response of the table service to an intent.
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
