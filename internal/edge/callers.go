package edge

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/caller"
	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/panics"
)

const (
	// startupTimeout bounds the wait for a caller's first message.
	startupTimeout = 2 * time.Second
	// acceptRetryDelay is the pause after a failed accept, which is usually due to
	// a lack of file descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// drainPollInterval is the interval at which a drain checks for open sessions.
	drainPollInterval = 20 * time.Millisecond
)

var (
	sessionsOpen    = metrics.NewCounter("rattan_caller_sessions_open")
	sessionsTotal   = metrics.NewCounter("rattan_caller_sessions_total")
	grantFailures   = metrics.NewCounter("rattan_edge_grant_failures_total")
	placementWeight = metrics.NewCounter("rattan_edge_weight")
	homesOwned      = metrics.NewCounter("rattan_edge_homes")
	sessionsRefused = metrics.NewCounter("rattan_caller_sessions_refused_total")
	startsDisplaced = metrics.NewCounter("rattan_caller_starts_displaced_total")
)

// callers serves caller connections, each in a goroutine that owns it.
type callers struct {
	edge     *Edge
	drain    *caller.Drain
	starting *startingConns

	mu           sync.Mutex
	sessions     map[net.Conn]*caller.Session
	drainStarted bool
}

func newCallers(e *Edge) *callers {
	return &callers{edge: e, drain: caller.NewDrain(), starting: newStartingConns(), sessions: map[net.Conn]*caller.Session{}}
}

// serve accepts callers until ctx ends.
func (c *callers) serve(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			eventAcceptFailed.Log(&c.edge.log).Err(err).Send()
			delay.Sleep(ctx, acceptRetryDelay)
			continue
		}
		endStart := c.starting.add(conn, c.edge.descriptors(startingDescriptorShare))
		go c.confine(ctx, conn, endStart)
	}
}

// confine serves a connection so that a panic ends it alone.
func (c *callers) confine(ctx context.Context, conn net.Conn, endStart func()) {
	err := panics.Recover(func() error { c.serveConn(ctx, conn, endStart); return nil })
	var panicked *panics.Error
	if errors.As(err, &panicked) {
		eventCallerPanicked.Log(&c.edge.log).Interface("reason", panicked.Reason).Bytes("stack", panicked.Stack).Send()
	}
}

// serveConn serves a connection and closes it. It calls endStart once the connection is a
// session, and at the end.
func (c *callers) serveConn(ctx context.Context, conn net.Conn, endStart func()) {
	defer endStart()
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	callerConn := c.edge.adapters.Caller(conn)
	defer callerConn.Release()
	database, key, err := callerConn.Startup(time.Now().Add(startupTimeout))
	if err != nil {
		sessionsRefused.Inc()
		return // no valid start-up message to answer
	}
	if !c.edge.awaitCatalog(ctx) {
		sessionsRefused.Inc()
		eventNoCatalog.Log(&c.edge.log).Send() // the name of the database may be a key
		return                                 // no answer: whether the database exists is unknown, and the caller may retry
	}
	if refusal := c.admit(database, key); refusal != nil {
		c.refuse(conn, callerConn, database, refusal)
		return
	}
	session := caller.New(caller.Config{
		Routes: c.edge.tracker, Runner: c.edge.gateway, Log: &c.edge.log, Texts: c.edge.adapters.Memory.Texts,
		Authorize: func(route catalog.Route) (string, *errcode.Error) { return c.edge.access.authorize(key, route) },
	}, callerConn, database, c.drain)
	if err := c.add(conn, session); err != nil {
		c.refuse(conn, callerConn, database, err)
		return
	}
	defer c.remove(conn)
	endStart()
	if callerConn.Accept() == nil {
		session.Serve(ctx)
		closeAfterAnswer(conn)
	}
}

// admit checks a caller's key and database. A caller with an unknown key does not learn
// whether a database exists.
func (c *callers) admit(database string, key catalog.KeyDigest) *errcode.Error {
	route, ok := c.edge.tracker.Route(database)
	if _, refusal := c.edge.access.authorize(key, route); refusal != nil {
		return refusal
	}
	if !ok {
		return errcode.New(errcode.UnknownDatabase, "start-up", "")
	}
	return nil
}

// refuse answers a caller's start-up message with an error.
func (c *callers) refuse(conn net.Conn, callerConn CallerConn, database string, refusal *errcode.Error) {
	sessionsRefused.Inc()
	version, _ := c.edge.tracker.Versions()
	database = c.edge.access.loggableDatabase(database)
	eventCallerRefused.Log(&c.edge.log).Str("database", database).Uint64("version", version).
		Str("code", refusal.Code.Name).Str("organisation", refusal.Peer).AnErr("cause", refusal.Cause).Send()
	if err := callerConn.Refuse(refusal); err != nil {
		eventAcceptFailed.Log(&c.edge.log).Str("database", database).Err(err).Send()
		return
	}
	closeAfterAnswer(conn)
}

// add registers a session. It refuses one when the process is draining or has
// too many sessions.
func (c *callers) add(conn net.Conn, s *caller.Session) *errcode.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.drainStarted:
		return errcode.New(errcode.Draining, "start-up", "")
	case len(c.sessions) >= int(sessionDescriptorShare*float64(c.edge.settings.Load().MaxDescriptors)):
		return errcode.New(errcode.TooManyCallers, "start-up", "")
	}
	sessionsTotal.Inc()
	sessionsOpen.Inc()
	c.sessions[conn] = s
	return nil
}

func (c *callers) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sessionsOpen.Dec()
	delete(c.sessions, conn)
}

// startDrain ends sessions as they become idle and refuses new ones.
func (c *callers) startDrain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStarted = true
	c.drain.EndIdle()
}

// awaitSessions waits until all sessions have ended or ctx ends, and returns the
// number of sessions still open.
func (c *callers) awaitSessions(ctx context.Context) int {
	for {
		c.mu.Lock()
		left := len(c.sessions)
		c.mu.Unlock()
		if left == 0 || !delay.Sleep(ctx, drainPollInterval) {
			return left
		}
	}
}
