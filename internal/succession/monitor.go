package succession

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	// callTimeout limits one call. It is above the time that a call waits behind a full
	// queue of slow statements.
	callTimeout = 800 * time.Millisecond
	// dialTimeout limits a connection attempt. A server that is running accepts
	// connections at once, however long its statements wait.
	dialTimeout = 400 * time.Millisecond
	// primaryPollInterval and replicaPollInterval are the intervals between status
	// calls in the watching phase.
	primaryPollInterval = 400 * time.Millisecond
	replicaPollInterval = time.Second
	// redialInterval is the interval between new connections to an unreachable
	// server. attemptPollInterval is that between status calls outside the watching phase,
	// while a leaving primary cannot be replaced yet, and to a paused replica.
	redialInterval      = 150 * time.Millisecond
	attemptPollInterval = 60 * time.Millisecond
)

// serverMonitor polls the status of one server and executes actions on it. It
// owns the connection.
type serverMonitor struct {
	loop     *groupLoop
	server   Server
	ctx      context.Context
	cancel   context.CancelFunc
	commands chan Action
	conn     backend.Replication
}

func newServerMonitor(l *groupLoop, s Server) *serverMonitor {
	m := &serverMonitor{loop: l, server: s, commands: make(chan Action, 1)}
	m.ctx, m.cancel = context.WithCancel(l.ctx)
	return m
}

// enqueue queues an action unless another one is already waiting. A dropped action
// is decided again, since actions are repeated until they take effect.
func (m *serverMonitor) enqueue(a Action) {
	select {
	case m.commands <- a:
	default:
	}
}

func (m *serverMonitor) run() {
	defer m.closeConn()
	interval := m.poll(backend.Replication.Status)
	for m.ctx.Err() == nil {
		timer := time.NewTimer(interval)
		select {
		case <-m.ctx.Done():
		case a := <-m.commands:
			interval = m.poll(actionCall(a))
			m.logCommand(a)
		case <-timer.C:
			interval = m.poll(backend.Replication.Status)
		}
		timer.Stop()
	}
}

// logCommand logs an action with the status that the server has reported last.
func (m *serverMonitor) logCommand(a Action) {
	m.loop.mu.Lock()
	o := m.loop.view.Servers[m.server.ID]
	m.loop.mu.Unlock()
	eventReplicationCommand.Log(m.loop.controller.config.Log).Str("group", string(m.loop.name)).Str("server", string(m.server.ID)).
		Stringer("action", a.Kind).Uint64("term", uint64(a.Term)).Str("role", string(o.Status.Role)).
		Uint64("server_term", uint64(o.Status.Term)).Stringer("received", o.Status.Received).
		Uint64("paused_at", uint64(o.Status.PausedAt)).Int("failures", o.ConsecutiveFailures).Send()
}

// replicationCall is a call on a replication connection.
type replicationCall func(backend.Replication, context.Context) (cluster.ServerStatus, error)

func actionCall(a Action) replicationCall {
	return func(r backend.Replication, ctx context.Context) (cluster.ServerStatus, error) {
		switch a.Kind {
		case ActionPause:
			return r.Pause(ctx, a.Term)
		case ActionResume:
			return r.Resume(ctx)
		default:
			return r.StepDown(ctx, a.Term)
		}
	}
}

// poll makes one call and returns the delay until the next one. If the existing
// connection fails, the call is retried immediately on a new connection; only a
// failure on a new connection is recorded, with the start of the first call, since the
// server has not responded from then on.
func (m *serverMonitor) poll(call replicationCall) time.Duration {
	start := time.Now()
	if m.conn != nil && m.callOnce(call) == nil {
		return m.interval()
	}
	err := m.dial()
	if err == nil {
		err = m.callOnce(call)
	}
	if err == nil {
		return m.interval()
	}
	if m.ctx.Err() == nil {
		m.recordFailure(start, err)
	}
	return redialInterval
}

func (m *serverMonitor) dial() error {
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	conn, err := m.loop.controller.config.Dialer.DialReplication(ctx, m.server.Server, m.loop.name)
	if err != nil {
		return err
	}
	m.conn = conn
	return nil
}

// callOnce makes a call on the existing connection. A server that responds that it
// is busy counts as reachable.
func (m *serverMonitor) callOnce(call replicationCall) error {
	ctx, cancel := context.WithTimeout(m.ctx, callTimeout)
	defer cancel()
	start := time.Now()
	status, err := call(m.conn, ctx)
	if err == nil {
		m.recordStatus(status, start)
		return nil
	}
	if errcode.Is(err, errcode.ServerBusy) {
		m.recordAlive()
		return nil
	}
	m.closeConn()
	return err
}

func (m *serverMonitor) closeConn() {
	if m.conn != nil {
		_ = m.conn.Close()
		m.conn = nil
	}
}

func (m *serverMonitor) recordStatus(status cluster.ServerStatus, start time.Time) {
	l := m.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.monitors[m.server.ID] == m {
		l.view.Servers[m.server.ID] = l.view.Servers[m.server.ID].next(status, start, m.server.StartTime)
		l.wake()
	}
}

// recordAlive records that the server is running, without a new status.
func (m *serverMonitor) recordAlive() {
	l := m.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.view.Servers[m.server.ID]; ok && l.monitors[m.server.ID] == m {
		o.ConsecutiveFailures, o.FailingSince, o.ConsecutiveRefusals = 0, time.Time{}, 0
		l.view.Servers[m.server.ID] = o
	}
}

// recordFailure records a failed call. A server that refuses the connection because
// its connection limit is reached, or whose answers are out of step, counts as running.
func (m *serverMonitor) recordFailure(start time.Time, err error) {
	var mismatch *backend.OutOfStepError
	if errcode.Is(err, errcode.Overloaded) || errors.As(err, &mismatch) {
		m.recordAlive()
		return
	}
	l := m.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.monitors[m.server.ID] != m {
		return
	}
	o := l.view.Servers[m.server.ID]
	if o.ConsecutiveFailures == 0 {
		o.FailingSince = start
		eventServerUnreachable.Log(l.controller.config.Log).Str("group", string(l.name)).
			Str("server", string(m.server.ID)).AnErr("error", err).Send()
	}
	o.ConsecutiveFailures++
	o.ConsecutiveRefusals++
	if !errors.Is(err, syscall.ECONNREFUSED) {
		o.ConsecutiveRefusals = 0
	}
	l.view.Servers[m.server.ID] = o
	l.wake()
}

// interval returns the delay until the next status call to a reachable server.
func (m *serverMonitor) interval() time.Duration {
	l := m.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.view.Servers[m.server.ID].Status
	switch {
	case l.state.Phase != PhaseWatching || status.PausedAt > 0 || l.state.Blocker != "":
		return attemptPollInterval
	case status.Role == cluster.RolePrimary:
		return primaryPollInterval
	default:
		return replicaPollInterval
	}
}
