package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	// tagRetention is how long after the last request with a tag a pool still serves
	// tags: long enough that a pause in the load does not close the connections, which
	// are costly to open again, and finite because tags may cease to be used.
	tagRetention = 10 * time.Minute
	// maxBypass is how long a waiter can be passed over at the limit by later waiters for
	// the tags of the returned connections: about twice the time that a server takes to
	// open a connection, so that connections are not replaced at every return.
	maxBypass = 25 * time.Millisecond
)

// recordTag records a request for a connection of tag.
func (p *Pool) recordTag(tag string) {
	if tag != "" {
		p.tagged = true
		p.taggedAt = time.Now()
	}
}

// HasIdle reports whether a connection of tag is idle.
func (p *Pool) HasIdle(tag string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastIdle(tag) >= 0
}

// lastIdle returns the index of the most recently used idle connection of tag; -1 if
// there is none.
func (p *Pool) lastIdle(tag string) int {
	for i, c := range slices.Backward(p.idle) {
		if c.tag == tag {
			return i
		}
	}
	return -1
}

// firstWaiter returns the index of the first waiter for tag; -1 if there is none.
func (p *Pool) firstWaiter(tag string) int {
	return slices.IndexFunc(p.waiters, func(w *waiter) bool { return w.tag == tag })
}

// opensConcurrently reports whether several connections may be opened at once: not after a
// failure, and not if mismatchInterval leaves room for one only.
func (p *Pool) opensConcurrently() bool {
	return p.tagged && p.lastErr == nil && p.mismatchPause(time.Now()) <= -mismatchInterval
}

// nextToOpen returns the first waiter that needs a new connection: one for which none is
// being opened, while the limit allows another one or an idle one can be replaced. It
// returns nil if there is none, or if as many connections are being opened as calls are
// waiting. An idle connection is never of a tag that a waiter waits for.
func (p *Pool) nextToOpen() *waiter {
	if p.closed || p.pending >= len(p.waiters) || p.size() >= p.config.Limit && len(p.idle) == 0 {
		return nil
	}
	return p.firstUncovered()
}

// firstUncovered returns the first waiter for which no connection is being opened, or nil.
func (p *Pool) firstUncovered() *waiter {
	if p.pending == 0 {
		if len(p.waiters) == 0 {
			return nil
		}
		return p.waiters[0]
	}
	pending := maps.Clone(p.pendingOf)
	for _, w := range p.waiters {
		if pending[w.tag] == 0 {
			return w
		}
		pending[w.tag]--
	}
	return nil
}

// mustYield reports whether c, which has become available at the limit, is to be replaced
// because a waiter for another tag was passed over for longer than maxBypass.
func (p *Pool) mustYield(c *Conn) bool {
	if !p.opensConcurrently() || p.size() < p.config.Limit || len(p.idle) > 0 || p.pending >= len(p.waiters) {
		return false
	}
	w := p.firstUncovered()
	return w != nil && w.tag != c.tag && time.Since(w.since) > maxBypass
}

// evict closes the least recently used idle connection and reports whether there was one.
// A probe moves a connection in the idle list but is no use.
func (p *Pool) evict() bool {
	if len(p.idle) == 0 {
		return false
	}
	oldest := 0
	for i, c := range p.idle {
		if c.usedAt.Before(p.idle[oldest].usedAt) {
			oldest = i
		}
	}
	c := p.idle[oldest]
	p.idle = slices.Delete(p.idle, oldest, oldest+1)
	p.replace(c)
	return true
}

// replace closes c so that a connection for another tag can be opened.
func (p *Pool) replace(c *Conn) {
	replacedTotal.Inc()
	p.closeConn(c)
}

// opened records that an attempt to open a connection of tag has ended.
func (p *Pool) opened(tag string) {
	p.pending--
	p.pendingOf[tag]--
	if p.pendingOf[tag] == 0 {
		delete(p.pendingOf, tag)
	}
}

// openingFailed records a failed attempt and fails the waiters that nothing can serve
// soon. Where the server has reached its limit of connections, one of another tag is
// closed for the next attempt.
func (p *Pool) openingFailed(err error) {
	p.stats.Failures++
	openFailuresTotal.Inc()
	p.lastErr = err
	full := errcode.Is(err, errcode.Overloaded)
	if full && p.evict() || full && len(p.inUse) > 0 {
		return
	}
	p.failUnserved(err)
}

// failUnserved fails the waiters for whose tag no connection is in use that could be
// returned.
func (p *Pool) failUnserved(err error) {
	inUse := make(map[string]bool)
	for c := range p.inUse {
		inUse[c.tag] = true
	}
	wrapped := eris.Wrap(err, "open connection")
	kept := p.waiters[:0]
	for _, w := range p.waiters {
		if inUse[w.tag] {
			kept = append(kept, w)
			continue
		}
		w.result <- getResult{err: wrapped}
	}
	p.waiters = kept
}
