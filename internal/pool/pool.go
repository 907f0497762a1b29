package pool

import (
	"context"
	"embed"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/statechart"
)

// ErrClosed reports that the pool no longer gives out connections.
var ErrClosed = errors.New("connection pool closed")

const (
	defaultDialTimeout  = 2 * time.Second
	defaultResetTimeout = 2 * time.Second
	defaultProbeTimeout = 500 * time.Millisecond
	defaultProbeAfter   = 15 * time.Second
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
)

// Config describes a Pool.
type Config struct {
	// Limit is the most connections, idle ones and those in use together.
	Limit int
	// Dial opens one connection.
	Dial func(ctx context.Context) (backend.Conn, error)
	// DialTimeout, ResetTimeout bound one opening and one reset.
	DialTimeout  time.Duration
	ResetTimeout time.Duration
	// ProbeTimeout bounds the probe of an idle connection.
	ProbeTimeout time.Duration
	// IdleTime is how long connections beyond KeepIdle stay open without use;
	// zero keeps them. A process that dies leaves its connections at the servers
	// for a while, where they take the places of its successor's.
	IdleTime time.Duration
	KeepIdle int
	// ProbeAfter is the idle time after which a connection is probed.
	ProbeAfter time.Duration
}

//go:embed backend_connection.yaml
var chartFile embed.FS

var chart = statechart.MustLoad(chartFile, "backend_connection.yaml")

// States and events of a pooled connection.
const (
	stateInUse  = "in_use"
	stateIdle   = "idle"
	eventReturn = "return"
	eventDirty  = "dirty"
	eventTake   = "take"
	eventProbe  = "probe"
	eventClose  = "close"
)

// Conn is a pooled connection in the hands of one user.
type Conn struct {
	backend.Conn
	state     statechart.Machine
	idleSince time.Time
}

// Pool holds the connections to one backend server. It is safe for concurrent use.
type Pool struct {
	config  Config
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	mu      sync.Mutex
	idle    []*Conn
	inUse   map[*Conn]struct{}
	pending int
	waiters []*waiter
	opening bool
	backoff *backoff.ExponentialBackOff
	closed  bool
	lastErr error
	stats   Stats
}

// waiter is one call of Get that waits for a connection.
type waiter struct {
	result chan getResult
}

// getResult is what a waiting request gets.
type getResult struct {
	conn *Conn
	err  error
}

// Stats describes a Pool.
type Stats struct {
	Idle, InUse, Waiting int
	// Opens counts connections opened since the start.
	Opens uint64
	// Failures counts failed openings since the start.
	Failures uint64
}

// New returns an empty Pool. Close ends its goroutines.
func New(config Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		config: withDefaults(config), ctx: ctx, cancel: cancel,
		inUse: make(map[*Conn]struct{}), backoff: newBackoff(),
	}
	p.workers.Go(p.probeLoop)
	if p.config.IdleTime > 0 {
		p.workers.Go(p.trimLoop)
	}
	return p
}

func withDefaults(c Config) Config {
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.ResetTimeout == 0 {
		c.ResetTimeout = defaultResetTimeout
	}
	if c.ProbeTimeout == 0 {
		c.ProbeTimeout = defaultProbeTimeout
	}
	if c.ProbeAfter == 0 {
		c.ProbeAfter = defaultProbeAfter
	}
	c.Limit = max(c.Limit, 1)
	return c
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = initialBackoff
	b.MaxInterval = maxBackoff
	return b
}

// Get returns a connection, waiting for one to be returned or opened until ctx
// ends. It fails at once when the opening fails and no connection is in use
// that could be returned. The error wraps the failure to open a connection.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	w := &waiter{result: make(chan getResult, 1)}
	c, err := p.takeOrWait(w)
	if c != nil || err != nil {
		return c, err
	}
	select {
	case got := <-w.result:
		return got.conn, got.err
	case <-ctx.Done():
		return nil, p.cancelWait(w, ctx.Err())
	}
}

// TryGet returns an idle connection, or nil when there is none.
func (p *Pool) TryGet() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popIdle()
}

// popIdle returns the connection that was idle for the shortest time, if any.
func (p *Pool) popIdle() *Conn {
	n := len(p.idle)
	if n == 0 || p.closed {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.markInUse(c)
	return c
}

// takeOrWait returns an idle connection, or queues r.
func (p *Pool) takeOrWait(w *waiter) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c := p.popIdle(); c != nil {
		return c, nil
	}
	p.waiters = append(p.waiters, w)
	p.startOpening()
	return nil, nil
}

func (p *Pool) cancelWait(w *waiter, cause error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, queued := range p.waiters {
		if queued == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	select {
	case got := <-w.result:
		if got.conn != nil {
			p.makeAvailable(got.conn)
		}
	default:
	}
	if p.lastErr != nil {
		return eris.Wrapf(p.lastErr, "no connection before %v", cause)
	}
	return eris.Wrap(cause, "no connection")
}

// Return gives back a connection whose last exchange is complete. A dirty
// connection is reset in the background first.
func (p *Pool) Return(c *Conn, dirty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.state.In(stateInUse) {
		return
	}
	if p.closed {
		p.closeConn(c)
		return
	}
	if !dirty {
		p.makeAvailable(c)
		return
	}
	_, _, _ = c.state.Fire(eventDirty)
	p.workers.Go(func() { p.reset(c) })
}

// Discard closes a connection that must not be reused.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.state.In(stateInUse) {
		return
	}
	p.closeConn(c)
	p.startOpening()
}

// Close closes idle connections at once and those in use when they come back
// or when ctx ends. It waits until all are closed.
func (p *Pool) Close(ctx context.Context) {
	p.mu.Lock()
	p.closed = true
	p.cancel()
	for _, c := range p.idle {
		p.closeConn(c)
	}
	p.idle = nil
	p.failWaiters(ErrClosed)
	p.mu.Unlock()
	p.waitReturned(ctx)
	p.workers.Wait()
}

// Stats returns the present state.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Idle = len(p.idle)
	s.InUse = len(p.inUse)
	s.Waiting = len(p.waiters)
	return s
}

// newConn returns a connection in use that was just opened.
func newConn(c backend.Conn) *Conn {
	pooled := &Conn{Conn: c}
	pooled.state.Init(chart)
	return pooled
}

// markInUse gives an idle, reset or probed connection to a user.
func (p *Pool) markInUse(c *Conn) {
	if !c.state.In(stateInUse) {
		_, _, _ = c.state.Fire(eventTake)
	}
	p.inUse[c] = struct{}{}
}

// makeAvailable hands c to the first waiter or keeps it idle.
func (p *Pool) makeAvailable(c *Conn) {
	if p.closed {
		p.closeConn(c)
		return
	}
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		p.markInUse(c)
		w.result <- getResult{conn: c}
		return
	}
	delete(p.inUse, c)
	_, _, _ = c.state.Fire(eventReturn)
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// failWaiters ends every waiting Get with err.
func (p *Pool) failWaiters(err error) {
	for _, w := range p.waiters {
		w.result <- getResult{err: err}
	}
	p.waiters = nil
}

// closeConn closes c without waiting for the network.
func (p *Pool) closeConn(c *Conn) {
	delete(p.inUse, c)
	if _, _, err := c.state.Fire(eventClose); err != nil {
		return // closed before
	}
	discardsTotal.Inc()
	_ = c.Close()
}

func (p *Pool) size() int { return len(p.idle) + len(p.inUse) + p.pending }
