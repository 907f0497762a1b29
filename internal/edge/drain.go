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
	// closeShare is the share of the stop time reserved for closing connections.
	closeShare = 0.1
)

// drain shuts the process down gracefully. It releases the promotion lease,
// announces that it leaves, waits until the platform sends no more callers, ends
// idle sessions, hands its groups over to other processes, and finally drains
// requests of peers. What is left at the deadline is closed.
func (e *Edge) drain(ctx context.Context) {
	stopTime := e.settings.Load().StopTime
	eventDraining.Log(&e.log).Dur("stop_time", stopTime).Send()
	deadline := time.Now().Add(stopTime - time.Duration(closeShare*float64(stopTime)))
	e.stopping.Store(true)
	e.lease.Release(ctx)
	e.members.Leave()
	e.announce(ctx)
	delay.Sleep(ctx, min(notReadyDelay, stopTime/2))
	e.callers.startDrain()
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	transactions, cancelTransactions := context.WithDeadline(limited, time.Now().Add(stopTime/2-notReadyDelay))
	defer cancelTransactions()
	e.callers.awaitSessions(transactions)
	e.home.Close(limited)
	if left := e.callers.awaitSessions(limited); left > 0 {
		eventDrainDeadlinePassed.Log(&e.log).Int("sessions", left).Send()
	}
	if err := e.peerServer.Drain(limited); err != nil {
		eventDrainDeadlinePassed.Log(&e.log).Err(err).Send()
	}
}
