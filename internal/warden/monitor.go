package warden

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/failover"
)

const (
	// primaryPollInterval and replicaInterval are the times between two status
	// calls to a primary and to another server.
	primaryPollInterval = 500 * time.Millisecond
	replicaPollInterval = time.Second
	// primaryRedialInterval is the time between two fresh connections to a primary
	// that does not answer, and downInterval to another server.
	primaryRedialInterval = 250 * time.Millisecond
	replicaRedialInterval = time.Second
	// newConnInterval is the time between two fresh connections to a primary
	// that answers.
	newConnInterval = time.Second
	// standbyIntervalFactor stretches the intervals of the wardens that do not act
	// first. Observations must stay younger than the evidence that counts.
	standbyIntervalFactor = 1.5
)

// serverMonitor asks one server for its status. It owns the control connection.
type serverMonitor struct {
	dialer    backend.Dialer
	tracker   *failover.StatusTracker
	group     cluster.GroupName
	server    cluster.Server
	spec      *atomic.Pointer[failover.GroupSpec]
	control   backend.Control
	isPrimary bool
	// lastDial is the time of the last fresh connection.
	lastDial time.Time
	rand     *rand.Rand
}

func newServerMonitor(l *groupLoop, server cluster.Server) *serverMonitor {
	spec := l.spec.Load()
	return &serverMonitor{
		dialer: l.cfg.Dialer, tracker: l.tracker, group: spec.Name, server: server, spec: &l.spec,
		rand: rand.New(rand.NewPCG(l.cfg.Seed, groupSeed(*spec)+uint64(len(server.ID)))),
	}
}

// run watches until ctx ends.
func (m *serverMonitor) run(ctx context.Context) {
	defer func() { m.replaceConn(nil) }()
	for ctx.Err() == nil {
		responded := m.poll(ctx)
		m.sleep(ctx, m.interval(responded))
	}
}

// interval returns the time until the next look.
func (m *serverMonitor) interval(responded bool) time.Duration {
	spec := m.spec.Load()
	primary := m.tracker.Status().Primary(*spec) == m.server.ID
	interval := replicaPollInterval
	switch {
	case !responded && primary:
		return primaryRedialInterval
	case !responded:
		return replicaRedialInterval
	case primary:
		interval = primaryPollInterval
	}
	if spec.StandbyIndex > 0 {
		return time.Duration(standbyIntervalFactor * float64(interval))
	}
	return interval
}

// poll asks once and reports whether the server answered. A connection that
// fails is given up in favour of a fresh one, whose failure counts.
func (m *serverMonitor) poll(ctx context.Context) bool {
	if m.control != nil && !m.newConnDue() {
		sentAt := time.Now()
		if status, err := m.status(ctx, m.control); err == nil {
			m.recordStatus(status, sentAt)
			return true
		}
		connectionsReplaced.Inc()
		m.replaceConn(nil)
	}
	return m.pollNewConn(ctx)
}

// newConnDue reports whether a primary must prove that it takes new connections.
func (m *serverMonitor) newConnDue() bool {
	return m.isPrimary && time.Since(m.lastDial) >= newConnInterval
}

// pollNewConn replaces the connection by a new one and asks on it. The old one is
// closed first, because places for control connections are few; only the
// warden that acts first keeps the new one.
func (m *serverMonitor) pollNewConn(ctx context.Context) bool {
	m.replaceConn(nil)
	dialedAt := time.Now()
	m.lastDial = dialedAt
	callCtx, cancel := context.WithTimeout(ctx, failover.CallTimeout)
	defer cancel()
	control, err := m.dialer.DialControl(callCtx, m.server, m.group)
	if err == nil {
		var status cluster.ServerStatus
		if status, err = control.Status(callCtx); err == nil {
			m.keepConn(control)
			m.recordStatus(status, dialedAt)
			return true
		}
		_ = control.Close()
	}
	if failover.IsConnectionLimit(err) {
		m.tracker.RecordAlive(m.server.ID, dialedAt)
		return true
	}
	if ctx.Err() == nil {
		m.tracker.RecordFailure(m.server.ID, dialedAt, failover.CallTimeout)
	}
	return false
}

func (m *serverMonitor) status(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, failover.CallTimeout)
	defer cancel()
	return c.Status(ctx)
}

func (m *serverMonitor) recordStatus(status cluster.ServerStatus, sentAt time.Time) {
	m.isPrimary = status.Role == cluster.RolePrimary
	m.tracker.RecordStatus(m.server.ID, status, sentAt)
}

// keepConn keeps a new connection, or closes it when another warden acts first.
func (m *serverMonitor) keepConn(control backend.Control) {
	if m.spec.Load().StandbyIndex > 0 {
		_ = control.Close()
		return
	}
	m.control = control
}

// replaceConn closes the connection and keeps another, which may be nil.
func (m *serverMonitor) replaceConn(control backend.Control) {
	if m.control != nil {
		_ = m.control.Close()
	}
	m.control = control
}

// sleep waits for d plus or minus a fifth.
func (m *serverMonitor) sleep(ctx context.Context, d time.Duration) {
	delay.Sleep(ctx, delay.JitterWith(d, m.rand.Float64()))
}
