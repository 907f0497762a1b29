package edge

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// notReadyDelay is the time from the first failed readiness check until the
	// platform sends no more callers: it checks once a second and needs two
	// failures.
	notReadyDelay = 2200 * time.Millisecond
	// closeShare is the share of the stop time reserved for closing connections, and
	// lastAnswerShare that for the answers to the statements that are ended then.
	closeShare      = 0.1
	lastAnswerShare = 0.05
)

// drain shuts the process down gracefully. It releases the promotion lease,
// announces that it leaves, waits until the platform sends no more callers, drains
// its callers, hands its groups over to other processes, and finally drains
// requests of peers.
func (e *Edge) drain(ctx context.Context) {
	started, stopTime := time.Now(), e.settings.Load().StopTime
	eventDraining.Log(&e.log).Dur("stop_time", stopTime).Send()
	limited, cancel := context.WithDeadline(ctx, started.Add(stopTime-share(stopTime, closeShare)))
	defer cancel()
	e.stopping.Store(true)
	e.lease.Release(ctx)
	e.members.Leave()
	e.announce(ctx)
	delay.Sleep(ctx, min(notReadyDelay, stopTime/2))
	e.callers.endIdleAndTransactions(limited, started.Add(stopTime/2))
	e.home.Close(limited)
	e.callers.endStatements(ctx, limited, share(stopTime, lastAnswerShare))
	if err := e.peerServer.Drain(limited); err != nil {
		eventDrainDeadlinePassed.Log(&e.log).Err(err).Send()
	}
}

func share(d time.Duration, of float64) time.Duration { return time.Duration(of * float64(d)) }

// endIdleAndTransactions ends idle sessions, and from transactionsEnd on also the sessions
// with an open transaction.
func (c *callers) endIdleAndTransactions(ctx context.Context, transactionsEnd time.Time) {
	c.startDrain()
	ctx, cancel := context.WithDeadline(ctx, transactionsEnd)
	defer cancel()
	c.awaitSessions(ctx)
	c.drain.EndTransactions()
}

// endStatements waits for the sessions until limited ends. The statements that still run
// then are ended, and their answers get the time answers.
func (c *callers) endStatements(ctx, limited context.Context, answers time.Duration) {
	left := c.awaitSessions(limited)
	if left == 0 {
		return
	}
	eventDrainDeadlinePassed.Log(&c.edge.log).Int("sessions", left).Send()
	c.drain.EndStatements()
	ctx, cancel := context.WithTimeout(ctx, answers)
	defer cancel()
	c.awaitSessions(ctx)
}
