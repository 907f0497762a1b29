package home

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// ejectAfter is the number of failures in a row after which a replica is ejected.
	ejectAfter = 2
	// readmitInitial and readmitMax bound the wait between two attempts to readmit a replica.
	readmitInitial = 200 * time.Millisecond
	readmitMax     = 5 * time.Second
)

// noteFailure counts a failed exchange and ejects a replica that keeps
// failing, unless it is the last one that gets reads.
func (o *owner) noteFailure(n *node) {
	o.mu.Lock()
	defer o.mu.Unlock()
	n.failures++
	if n.failures < ejectAfter || n.ejected || n.server.ID == o.view.primary {
		return
	}
	if o.group.Load().Replicas() <= 1 {
		return
	}
	n.ejected = true
	ejectionsTotal.Inc()
	eventEjected.Log(o.home.log).Str("server", string(n.server.ID)).Send()
	o.rebuild()
	o.workers.Go(func() { o.readmit(n) })
}

// readmit opens fresh connections to an ejected replica until one works.
func (o *owner) readmit(n *node) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = readmitInitial
	retry.MaxInterval = readmitMax
	for n.ctx.Err() == nil {
		delay.Sleep(n.ctx, retry.NextBackOff())
		if n.tryFresh() {
			break
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	n.ejected = false
	n.failures = 0
	eventReadmitted.Log(o.home.log).Str("server", string(n.server.ID)).Send()
	o.rebuild()
}

// tryFresh reports whether a fresh connection to the server works.
func (n *node) tryFresh() bool {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	conn, err := n.dial(ctx)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	return conn.Reset(ctx) == nil
}
