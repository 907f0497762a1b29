package edge

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// notReadyDelay is the time from the first refused readiness until callers
	// come no more: the platform asks once a second and needs two refusals.
	notReadyDelay = 2200 * time.Millisecond
	// closeShare is the part of the stop time that is left for closing connections.
	closeShare = 0.1
)

// drain carries out the order of a planned stop.
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
		eventDrainCut.Log(&e.log).Int("sessions", left).Send()
	}
	if err := e.server.Drain(limited); err != nil {
		eventDrainCut.Log(&e.log).Err(err).Send()
	}
}
