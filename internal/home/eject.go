package home

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// recordExchangeFailure counts a failed exchange and ejects a replica that fails too
// often, unless it is the last one that serves reads.
func (o *owner) recordExchangeFailure(n *node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if !n.outliers.RecordFailure(now) || n.server.ID == o.view.primary || o.routing.Load().ReadableReplicas() <= 1 {
		return
	}
	duration := n.outliers.Eject(now)
	ejectionsTotal.Inc()
	eventEjected.Log(o.home.log).Str("group", string(o.name)).Str("server", string(n.server.ID)).Dur("for", duration).Send()
	o.rebuildRouting()
	o.workers.Go(func() { o.readmit(n, duration) })
}

// readmit ends the ejection once its time is over and a new connection works.
func (o *owner) readmit(n *node, duration time.Duration) {
	for n.ctx.Err() == nil {
		delay.Sleep(n.ctx, duration)
		if n.probeNewConnection() {
			break
		}
		o.mu.Lock()
		duration = n.outliers.ExtendEjection(time.Now())
		o.mu.Unlock()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n.outliers.Readmit(time.Now())
	eventReadmitted.Log(o.home.log).Str("group", string(o.name)).Str("server", string(n.server.ID)).Send()
	o.rebuildRouting()
}

// probeNewConnection reports whether a newly opened connection to the server works.
func (n *node) probeNewConnection() bool {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	conn, err := n.dial(ctx, "")
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return conn.Reset(ctx) == nil
}
