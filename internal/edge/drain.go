package edge

import (
	"context"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// notReadyTime is the time from the first refused readiness until callers
	// come no more: the platform asks once a second and needs two refusals.
	notReadyTime = 2200 * time.Millisecond
	// lastPart is the part of the stop time that is left for closing connections.
	lastPart = 0.1
)

// drain carries out the order of a planned stop.
func (e *Edge) drain(ctx context.Context) {
	stopTime := e.settings.Load().StopTime
	eventDraining.Log(&e.log).Dur("stop_time", stopTime).Send()
	deadline := time.Now().Add(stopTime - time.Duration(lastPart*float64(stopTime)))
	e.stopping.Store(true)
	e.lease.Release(ctx)
	e.members.Leave()
	e.announce(ctx)
	delay.Sleep(ctx, min(notReadyTime, stopTime/2))
	e.callers.stopIdle()
	limited, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	transactions, cut := context.WithDeadline(limited, time.Now().Add(stopTime/2-notReadyTime))
	defer cut()
	e.callers.wait(transactions)
	e.home.Close(limited)
	if left := e.callers.wait(limited); left > 0 {
		eventDrainCut.Log(&e.log).Int("sessions", left).Send()
	}
	if err := e.server.Drain(limited); err != nil {
		eventDrainCut.Log(&e.log).Err(err).Send()
	}
}
