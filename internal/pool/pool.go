package pool

import (
	"context"
	"embed"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/statechart"
)

// ErrClosed reports that the pool is closed.
var ErrClosed = errors.New("connection pool closed")

const (
	defaultDialTimeout  = 2 * time.Second
	defaultResetTimeout = 2 * time.Second
	defaultProbeTimeout = 500 * time.Millisecond
	defaultProbeAfter   = 15 * time.Second
	initialBackoff      = 20 * time.Millisecond
	maxBackoff          = 500 * time.Millisecond
	// mismatchInterval is the mean time between the opening of connections in place of those
	// whose answers were out of step, beyond the first Limit of them. Opening one takes
	// about 12 ms of a slot: a server that answers many statements twice spends at most a
	// third of a slot on it. With 100 ms, servers that answer 5% twice did a third less work.
	mismatchInterval = 40 * time.Millisecond
)

// Config describes a Pool.
type Config struct {
	// Limit bounds the number of connections, idle and in use.
	Limit int
	// Dial opens one connection for a tag.
	Dial func(ctx context.Context, tag string) (backend.Conn, error)
	// OnResetError, if not nil, is called with the error of a failed reset or probe.
	OnResetError func(err error)
	// DialTimeout and ResetTimeout bound one call of Dial and one reset.
	DialTimeout  time.Duration
	ResetTimeout time.Duration
	// ProbeTimeout bounds the probe of an idle connection.
	ProbeTimeout time.Duration
	// IdleTime is how long connections in excess of KeepIdle stay open without
	// use; zero keeps them open. The connections of a process that dies stay open
	// at the servers for a while, where they count towards the limit of its
	// successor. While connections are requested with tags, all stay open.
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

// Conn is a pooled connection.
type Conn struct {
	backend.Conn
	state statechart.Machine
	// tag is what the connection was opened for; it never changes.
	tag       string
	idleSince time.Time
	// usedAt is the time at which the connection was last returned after use.
	usedAt time.Time
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
	waiters []*waiter
	// pending counts the connections that are being opened, pendingOf by tag.
	pending   int
	pendingOf map[string]int
	// openers is the number of running calls of openLoop.
	openers int
	// tagged is set while connections are requested with tags, taggedAt is the time of
	// the last request with one.
	tagged   bool
	taggedAt time.Time
	backoff  *backoff.ExponentialBackOff
	closed   bool
	lastErr  error
	// mismatchesPaid is the time at which the last of the connections whose answers were out
	// of step would be replaced if there were no burst.
	mismatchesPaid time.Time
	stats          Stats
}

// waiter is a call of Get that waits for a connection.
type waiter struct {
	tag    string
	since  time.Time
	result chan getResult
}

// getResult is the result of a waiting call of Get.
type getResult struct {
	conn *Conn
	err  error
}

// Stats describes a Pool.
type Stats struct {
	Idle, InUse, Waiting int
	// Opens is the number of connections opened since the pool was created.
	Opens uint64
	// Failures is the number of failed attempts to open one in that time.
	Failures uint64
}

// New returns an empty Pool. Close stops its goroutines.
func New(config Config) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Pool{
		config: withDefaults(config), ctx: ctx, cancel: cancel,
		inUse: make(map[*Conn]struct{}), pendingOf: make(map[string]int), backoff: newBackoff(),
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

// Get returns a connection that was opened for tag. It waits until ctx ends for one to
// be returned or opened, and fails immediately if opening fails while no connection is
// in use that could be returned. The error wraps the failure to open a connection.
func (p *Pool) Get(ctx context.Context, tag string) (*Conn, error) {
	w := &waiter{tag: tag, result: make(chan getResult, 1)}
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

// TryGet returns an idle connection of tag, or nil if there is none.
func (p *Pool) TryGet(tag string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.popIdle(tag)
}

// popIdle returns the most recently used idle connection of tag, or nil if there is none.
func (p *Pool) popIdle(tag string) *Conn {
	if p.closed {
		return nil
	}
	p.recordTag(tag)
	i := p.lastIdle(tag)
	if i < 0 {
		return nil
	}
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.markInUse(c)
	return c
}

// takeOrWait returns an idle connection, or nil after adding w to the waiters.
func (p *Pool) takeOrWait(w *waiter) (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c := p.popIdle(w.tag); c != nil {
		return c, nil
	}
	w.since = time.Now()
	p.waiters = append(p.waiters, w)
	p.startOpening()
	return nil, nil
}

// cancelWait removes w from the waiters, keeps a connection that w was given in the
// meantime, and returns the error of Get.
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

// Return returns a connection to the pool. Its last exchange must be complete. A
// dirty connection is first reset in the background.
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
	c.usedAt = time.Now()
	if !dirty {
		p.makeAvailable(c)
		return
	}
	_, _, _ = c.state.Fire(eventDirty)
	p.workers.Go(func() { p.reset(c) })
}

// Discard closes a connection that must not be reused, because of err if it is not nil.
func (p *Pool) Discard(c *Conn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.state.In(stateInUse) {
		return
	}
	p.discard(c, err)
}

func (p *Pool) discard(c *Conn, err error) {
	p.countMismatch(err, time.Now())
	p.closeConn(c)
	p.startOpening()
}

// Close closes idle connections immediately, and those in use when they are
// returned or when ctx ends. It waits until all are closed.
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

// Stats returns the current statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Idle = len(p.idle)
	s.InUse = len(p.inUse)
	s.Waiting = len(p.waiters)
	return s
}

// newConn wraps a newly opened connection, which is in use.
func newConn(c backend.Conn, tag string) *Conn {
	pooled := &Conn{Conn: c, tag: tag, usedAt: time.Now()}
	pooled.state.Init(chart)
	return pooled
}

// markInUse records that a new, idle, reset or probed connection is in use.
func (p *Pool) markInUse(c *Conn) {
	if !c.state.In(stateInUse) {
		_, _, _ = c.state.Fire(eventTake)
	}
	p.inUse[c] = struct{}{}
}

// makeAvailable passes c to the first waiter for its tag. If there is none, it adds c to
// the idle list, from where it may be replaced by a connection for another tag.
func (p *Pool) makeAvailable(c *Conn) {
	if p.closed {
		p.closeConn(c)
		return
	}
	if p.mustYield(c) {
		p.replace(c)
		p.startOpening()
		return
	}
	if i := p.firstWaiter(c.tag); i >= 0 {
		w := p.waiters[i]
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.markInUse(c)
		w.result <- getResult{conn: c}
		return
	}
	delete(p.inUse, c)
	_, _, _ = c.state.Fire(eventReturn)
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.startOpening()
}

// failWaiters fails every waiting call of Get with err.
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
		return // already closed
	}
	discardsTotal.Inc()
	_ = c.Close()
}

func (p *Pool) size() int { return len(p.idle) + len(p.inUse) + p.pending }
