package pool

import (
	"context"
	"errors"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/delay"
)

// drainPollInterval is the interval at which Close checks for connections in use.
const drainPollInterval = 10 * time.Millisecond

// startOpening starts openLoop if calls of Get are waiting and the limit allows
// another connection. Connections are opened one at a time without tags and after a
// failure, and otherwise at most as many as calls are waiting.
func (p *Pool) startOpening() {
	if p.openers > 0 && !p.opensConcurrently() {
		return
	}
	if p.openers > p.pending || p.nextToOpen() == nil {
		return // an opener that has not begun yet takes the next waiter
	}
	p.openers++
	p.workers.Go(p.openLoop)
}

// countMismatch counts a connection that is closed because an answer was out of step.
func (p *Pool) countMismatch(err error, now time.Time) {
	var mismatch *backend.OutOfStepError
	if !errors.As(err, &mismatch) {
		return
	}
	if p.mismatchesPaid.Before(now) {
		p.mismatchesPaid = now
	}
	p.mismatchesPaid = p.mismatchesPaid.Add(mismatchInterval)
}

// mismatchPause returns the time until another connection may be opened. All connections of
// the pool may be replaced at once, and then one in each mismatchInterval.
func (p *Pool) mismatchPause(now time.Time) time.Duration {
	return max(p.mismatchesPaid.Sub(now), 0) - time.Duration(p.config.Limit)*mismatchInterval
}

func (p *Pool) openLoop() {
	for p.openOne() {
	}
}

// openOne opens one connection and reports whether to check for more to open.
func (p *Pool) openOne() bool {
	p.mu.Lock()
	w := p.nextToOpen()
	if w == nil || p.openers > 1 && !p.opensConcurrently() {
		p.openers--
		p.mu.Unlock()
		return false
	}
	if pause := p.mismatchPause(time.Now()); pause > 0 {
		p.mu.Unlock()
		delay.Sleep(p.ctx, pause)
		return true
	}
	tag := w.tag
	if p.size() >= p.config.Limit {
		p.evict()
	}
	p.pending++
	p.pendingOf[tag]++
	p.startOpening()
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(p.ctx, p.config.DialTimeout)
	conn, err := p.config.Dial(ctx, tag)
	cancel()

	p.mu.Lock()
	p.opened(tag)
	if err != nil {
		p.openingFailed(err)
		pause := p.backoff.NextBackOff()
		p.mu.Unlock()
		delay.Sleep(p.ctx, pause)
		return true
	}
	p.stats.Opens++
	opensTotal.Inc()
	p.lastErr = nil
	p.backoff.Reset()
	p.makeAvailable(newConn(conn, tag))
	p.mu.Unlock()
	return true
}

func (p *Pool) reset(c *Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.ResetTimeout)
	err := c.Reset(ctx)
	cancel()
	resetsTotal.Inc()
	p.reportResetError(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.discard(c, err)
		return
	}
	p.makeAvailable(c)
}

func (p *Pool) reportResetError(err error) {
	if err != nil && p.config.OnResetError != nil {
		p.config.OnResetError(err)
	}
}

// probeLoop periodically probes connections that have been idle for ProbeAfter,
// to detect a broken path to the server.
func (p *Pool) probeLoop() {
	ticker := time.NewTicker(p.config.ProbeAfter / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.probeIdle()
		case <-p.ctx.Done():
			return
		}
	}
}

// trimLoop periodically closes connections that have been idle for IdleTime.
func (p *Pool) trimLoop() {
	for delay.Sleep(p.ctx, p.config.IdleTime/2) {
		p.trim(time.Now())
	}
}

func (p *Pool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.taggedAt) < tagRetention {
		return
	}
	p.tagged = false
	for len(p.idle) > p.config.KeepIdle && now.Sub(p.idle[0].idleSince) >= p.config.IdleTime {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.closeConn(oldest)
	}
}

func (p *Pool) probeIdle() {
	for _, c := range p.takeForProbe(p.config.ProbeAfter) {
		p.probe(c)
	}
}

// ProbeAll probes all idle connections before they are reused. It is called when
// a connection did not respond, as others of the same age may not either.
func (p *Pool) ProbeAll() {
	for _, c := range p.takeForProbe(0) {
		p.workers.Go(func() { p.probe(c) })
	}
}

// probe resets c, which is in the probing state, and closes it if that fails.
func (p *Pool) probe(c *Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.ProbeTimeout)
	err := c.Reset(ctx)
	cancel()
	p.reportResetError(err)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		probeFailuresTotal.Inc()
		p.discard(c, err)
		return
	}
	p.makeAvailable(c)
}

// takeForProbe removes the connections that have been idle for at least age from
// the idle list and puts them into the probing state.
func (p *Pool) takeForProbe(age time.Duration) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	var old, recent []*Conn
	for _, c := range p.idle {
		if time.Since(c.idleSince) < age {
			recent = append(recent, c)
			continue
		}
		_, _, _ = c.state.Fire(eventProbe)
		p.inUse[c] = struct{}{}
		old = append(old, c)
	}
	p.idle = recent
	return old
}

// waitReturned waits until no connection is in use. When ctx ends it closes those
// that still are.
func (p *Pool) waitReturned(ctx context.Context) {
	for {
		p.mu.Lock()
		remaining := len(p.inUse)
		p.mu.Unlock()
		if remaining == 0 {
			return
		}
		if !delay.Sleep(ctx, drainPollInterval) {
			p.closeInUse()
			return
		}
	}
}

func (p *Pool) closeInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		p.closeConn(c)
	}
}
