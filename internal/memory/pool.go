package memory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// reclaimInterval is how often a pool looks for slow holders while bytes are waited for.
	reclaimInterval = 250 * time.Millisecond
	// slowAfter and slowRate define a slow holder: after slowAfter it has moved fewer bytes
	// than slowRate a second. Ten callers on the slowest link (10 Mbit/s) are faster.
	slowAfter = 2 * time.Second
	slowRate  = 64 << 10
)

// Pool bounds the bytes that are held for one purpose. A nil Pool has no bound. It is safe
// for concurrent use.
type Pool struct {
	name string
	// parent bounds the bytes of several pools; nil at the root.
	parent *Pool
	limit  atomic.Int64 // zero: no limit
	used   atomic.Int64
	// refusals and slowClosed count acquisitions that failed, and holders that were closed.
	refusals, slowClosed *metrics.Counter
	report               *Reporter

	// waiters is the number of goroutines that wait for a release; it is counted at the
	// root only, as is freed.
	waiters atomic.Int32
	mu      sync.Mutex
	// freed is closed at the next release while there are waiters.
	freed chan struct{}
	// holders are the connections that may be closed to free bytes, and reclaimed is the
	// time of the last search for slow ones.
	holders   map[*Holder]struct{}
	reclaimed time.Time
}

func newPool(name string, parent *Pool, report *Reporter) *Pool {
	label := `{pool="` + name + `"}`
	return &Pool{
		name: name, parent: parent, report: report, freed: make(chan struct{}), holders: map[*Holder]struct{}{},
		refusals:   metrics.GetOrCreateCounter(`rattan_memory_refused_total` + label),
		slowClosed: metrics.GetOrCreateCounter(`rattan_memory_slow_closed_total` + label),
	}
}

// Used returns the bytes in use.
func (p *Pool) Used() int64 {
	if p == nil {
		return 0
	}
	return p.used.Load()
}

// Limit returns the limit in bytes; zero if there is none.
func (p *Pool) Limit() int64 {
	if p == nil {
		return 0
	}
	return p.limit.Load()
}

// TryAcquire takes n bytes if they are free.
func (p *Pool) TryAcquire(n int64) bool {
	for at := p; at != nil; at = at.parent {
		if limit := at.limit.Load(); at.used.Add(n) > limit && limit > 0 {
			for back := p; ; back = back.parent {
				back.used.Add(-n)
				if back == at {
					return false
				}
			}
		}
	}
	return true
}

// Acquire takes n bytes and waits for them for up to the given time. While it waits,
// connections that hold bytes of the pool and are slow are closed.
func (p *Pool) Acquire(n int64, wait time.Duration) bool { return p.AcquireUntil(n, wait, nil) }

// AcquireUntil is Acquire whose wait ends when done is closed.
func (p *Pool) AcquireUntil(n int64, wait time.Duration, done <-chan struct{}) bool {
	if p.TryAcquire(n) {
		return true
	}
	if limit := p.limit.Load(); (limit == 0 || n <= limit) && p.await(n, wait, done) {
		return true
	}
	p.refusals.Inc()
	p.report.refused(p)
	return false
}

func (p *Pool) await(n int64, wait time.Duration, done <-chan struct{}) bool {
	root := p.root()
	root.waiters.Add(1)
	defer root.waiters.Add(-1)
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	reclaim := time.NewTicker(reclaimInterval)
	defer reclaim.Stop()
	for {
		root.mu.Lock()
		freed := root.freed
		root.mu.Unlock()
		if p.TryAcquire(n) {
			return true
		}
		p.closeSlow(time.Now())
		select {
		case <-freed:
		case <-reclaim.C:
		case <-deadline.C:
			return false
		case <-done:
			return false
		}
	}
}

// Release returns n bytes.
func (p *Pool) Release(n int64) {
	if p == nil || n == 0 {
		return
	}
	for at := p; at != nil; at = at.parent {
		at.used.Add(-n)
	}
	root := p.root()
	if root.waiters.Load() == 0 {
		return
	}
	root.mu.Lock()
	defer root.mu.Unlock()
	close(root.freed)
	root.freed = make(chan struct{})
}

func (p *Pool) root() *Pool {
	for p.parent != nil {
		p = p.parent
	}
	return p
}

// Holder is a connection that holds bytes of a pool while it sends or receives a message.
type Holder struct {
	pool     *Pool
	since    time.Time
	progress atomic.Int64
	close    func()
}

// Hold registers a connection, which close closes, until End.
func (p *Pool) Hold(closeConn func()) *Holder {
	if p == nil {
		return nil
	}
	h := &Holder{pool: p, since: time.Now(), close: closeConn}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders[h] = struct{}{}
	return h
}

// Progress records that n more bytes of the message were sent or received.
func (h *Holder) Progress(n int) {
	if h != nil {
		h.progress.Add(int64(n))
	}
}

// End removes the connection from the pool.
func (h *Holder) End() {
	if h == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	delete(h.pool.holders, h)
}

func (h *Holder) slow(now time.Time) bool {
	age := now.Sub(h.since)
	return age > slowAfter && float64(h.progress.Load()) < slowRate*age.Seconds()
}

// closeSlow closes the holders that are slow, at most once an interval.
func (p *Pool) closeSlow(now time.Time) {
	for _, h := range p.takeSlow(now) {
		p.slowClosed.Inc()
		p.report.closedSlow(p)
		h.close()
	}
}

func (p *Pool) takeSlow(now time.Time) []*Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.reclaimed) < reclaimInterval {
		return nil
	}
	p.reclaimed = now
	var slow []*Holder
	for h := range p.holders {
		if h.slow(now) {
			delete(p.holders, h)
			slow = append(slow, h)
		}
	}
	return slow
}
