package pool

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/delay"
)

// drainPoll is the interval at which Close looks for connections in use.
const drainPoll = 10 * time.Millisecond

// openMore starts the opener when requests wait and the limit allows. One
// connection is opened at a time.
func (p *Pool) openMore() {
	if p.opening || p.closed || len(p.waiters) == 0 || p.size() >= p.config.Limit {
		return
	}
	p.opening = true
	p.workers.Go(p.open)
}

func (p *Pool) open() {
	for p.openOne() {
	}
}

// openOne opens one connection and reports whether another one is wanted.
func (p *Pool) openOne() bool {
	p.mu.Lock()
	if p.closed || len(p.waiters) == 0 || p.size() >= p.config.Limit {
		p.opening = false
		p.mu.Unlock()
		return false
	}
	p.pending++
	p.mu.Unlock()

	ctx, cancel := context.WithTimeout(p.ctx, p.config.DialTimeout)
	conn, err := p.config.Dial(ctx)
	cancel()

	p.mu.Lock()
	p.pending--
	if err != nil {
		p.stats.Failures++
		openFailuresTotal.Inc()
		p.lastErr = err
		if len(p.inUse) == 0 {
			p.failWaiters(eris.Wrap(err, "open connection"))
		}
		pause := p.backoff.NextBackOff()
		p.mu.Unlock()
		delay.Sleep(p.ctx, pause)
		return true
	}
	p.stats.Opens++
	opensTotal.Inc()
	p.lastErr = nil
	p.backoff.Reset()
	p.release(newConn(conn))
	p.mu.Unlock()
	return true
}

func (p *Pool) reset(c *Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.ResetTimeout)
	err := c.Reset(ctx)
	cancel()
	resetsTotal.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.drop(c)
		p.openMore()
		return
	}
	p.release(c)
}

// probeIdle resets connections that were idle for long, which shows whether
// the path to the server still works.
func (p *Pool) probeIdle() {
	ticker := time.NewTicker(p.config.ProbeAfter / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.probeOldest()
		case <-p.ctx.Done():
			return
		}
	}
}

// trimIdle closes connections that were not needed for IdleTime.
func (p *Pool) trimIdle() {
	for delay.Sleep(p.ctx, p.config.IdleTime/2) {
		p.trim(time.Now())
	}
}

func (p *Pool) trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > p.config.KeepIdle && now.Sub(p.idle[0].idleSince) >= p.config.IdleTime {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.drop(oldest)
	}
}

func (p *Pool) probeOldest() {
	for _, c := range p.takeIdle(p.config.ProbeAfter) {
		p.probe(c)
	}
}

// Suspect probes every idle connection before it is given out again. It is
// called when a connection of the same age went silent.
func (p *Pool) Suspect() {
	for _, c := range p.takeIdle(0) {
		p.workers.Go(func() { p.probe(c) })
	}
}

// probe makes a round trip on c, which is in the probing state.
func (p *Pool) probe(c *Conn) {
	ctx, cancel := context.WithTimeout(p.ctx, p.config.ProbeTimeout)
	err := c.Reset(ctx)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		probeFailures.Inc()
		p.drop(c)
		p.openMore()
		return
	}
	p.release(c)
}

// takeIdle takes the connections that were idle for at least age out of the
// idle list, into the probing state.
func (p *Pool) takeIdle(age time.Duration) []*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	var old, young []*Conn
	for _, c := range p.idle {
		if time.Since(c.idleSince) < age {
			young = append(young, c)
			continue
		}
		_, _, _ = c.state.Fire(eventProbe)
		p.inUse[c] = struct{}{}
		old = append(old, c)
	}
	p.idle = young
	return old
}

// waitReturned waits until no connection is in use, and closes those left when ctx ends.
func (p *Pool) waitReturned(ctx context.Context) {
	for {
		p.mu.Lock()
		left := len(p.inUse)
		p.mu.Unlock()
		if left == 0 {
			return
		}
		if !delay.Sleep(ctx, drainPoll) {
			p.closeInUse()
			return
		}
	}
}

func (p *Pool) closeInUse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.inUse {
		p.drop(c)
	}
}
