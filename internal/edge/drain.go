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
// announces that it leaves, waits until the platform sends no more callers, ends
// idle sessions, after half of the stop time open transactions, hands its groups over to
// other processes, and finally drains requests of peers. Statements that still run at the
// deadline are ended and answered.
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
	e.callers.drain.EndTransactions()
	e.home.Close(limited)
	if left := e.callers.awaitSessions(limited); left > 0 {
		eventDrainDeadlinePassed.Log(&e.log).Int("sessions", left).Send()
		e.callers.drain.EndStatements()
		answers, cancelAnswers := context.WithTimeout(ctx, time.Duration(lastAnswerShare*float64(stopTime)))
		defer cancelAnswers()
		e.callers.awaitSessions(answers)
	}
	if err := e.peerServer.Drain(limited); err != nil {
		eventDrainDeadlinePassed.Log(&e.log).Err(err).Send()
	}
}
