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
	// primaryPollInterval and replicaPollInterval are the intervals between status
	// calls to a primary and to another server.
	primaryPollInterval = 500 * time.Millisecond
	replicaPollInterval = time.Second
	// primaryRedialInterval is the interval between new connections to an
	// unreachable primary, and replicaRedialInterval to another unreachable server.
	primaryRedialInterval = 250 * time.Millisecond
	replicaRedialInterval = time.Second
	// newConnInterval is the interval between new connections to a reachable primary.
	newConnInterval = time.Second
	// standbyIntervalFactor lengthens the polling intervals of standby wardens. Their
	// observations must still be more recent than the maximum age of evidence.
	standbyIntervalFactor = 1.5
)

// serverMonitor polls the status of one server. It owns the control connection.
type serverMonitor struct {
	dialer    backend.Dialer
	tracker   *failover.StatusTracker
	group     cluster.GroupName
	server    cluster.Server
	spec      *atomic.Pointer[failover.GroupSpec]
	control   backend.Control
	isPrimary bool
	// lastDial is the time of the last new connection.
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

// run polls the server until ctx is done.
func (m *serverMonitor) run(ctx context.Context) {
	defer func() { m.replaceConn(nil) }()
	for ctx.Err() == nil {
		responded := m.poll(ctx)
		m.sleep(ctx, m.interval(responded))
	}
}

// interval returns the delay until the next poll.
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

// poll requests the status and reports whether the server responded. If the existing
// connection fails, it is replaced by a new one; only a failure of the new one is
// recorded.
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

// newConnDue reports whether it must be checked that the primary accepts new connections.
func (m *serverMonitor) newConnDue() bool {
	return m.isPrimary && time.Since(m.lastDial) >= newConnInterval
}

// pollNewConn requests the status on a new connection. The old connection is closed
// first, because servers allow few control connections; only the first warden of a
// group keeps the new one.
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
	if failover.ShowsRunning(err) {
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

// keepConn keeps a new connection, or closes it if this warden is on standby.
func (m *serverMonitor) keepConn(control backend.Control) {
	if m.spec.Load().StandbyIndex > 0 {
		_ = control.Close()
		return
	}
	m.control = control
}

// replaceConn closes the connection and replaces it; control may be nil.
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
