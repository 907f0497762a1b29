package order

import (
	"embed"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statechart"
)

// State is the state of one attempt.
type State string

// States of an attempt.
const (
	// StateWaiting means that nothing was sent to the server.
	StateWaiting State = "waiting"
	// StateSent means that the server may have received a byte.
	StateSent State = "sent"
	// StateHeld means that the complete response is held back until it may be acknowledged.
	StateHeld    State = "held"
	StateDone    State = "done"
	StateNotRun  State = "not_run"
	StateUnknown State = "unknown"
)

// Event is a transition of an attempt between states.
type Event string

// Events of an attempt.
const (
	EventSend Event = "send"
	// EventAnswer is a complete response from the server.
	EventAnswer Event = "answer"
	// EventAcknowledge is the proof that the response may be forwarded to the caller.
	EventAcknowledge Event = "acknowledge"
	// EventRefuse is the proof that the attempt had no effect.
	EventRefuse Event = "refuse"
	// EventFail is a lost connection, a timeout or a missing proof.
	EventFail Event = "fail"
	// EventRetry starts the next attempt.
	EventRetry Event = "retry"
)

//go:embed order_outcome.yaml
var chartFile embed.FS

var chart = statechart.MustLoad(chartFile, "order_outcome.yaml")

// Attempts tracks the outcome of a request over its attempts.
type Attempts struct {
	// HasID is set when the request carries an order id.
	HasID bool
	// Deadline is when the request ends, regardless of its outcome.
	Deadline time.Time

	machine *statechart.Machine
	// everUnknown is set once an attempt had an unknown outcome.
	everUnknown bool
	// count is the number of the current attempt, from 1.
	count int
}

// MaxAttempts bounds the attempts of one request.
const MaxAttempts = 8

// New returns Attempts in the state before the first attempt.
func New(hasID bool, deadline time.Time) *Attempts {
	return &Attempts{HasID: hasID, Deadline: deadline, machine: chart.NewMachine(), count: 1}
}

// State returns the state of the current attempt.
func (a *Attempts) State() State { return State(a.machine.Current()) }

// Fire applies an event. It returns an error if the state does not allow the event.
func (a *Attempts) Fire(e Event) error {
	_, next, err := a.machine.Fire(string(e))
	if err != nil {
		return err
	}
	if State(next) == StateUnknown {
		a.everUnknown = true
	}
	if e == EventRetry {
		a.count++
	}
	return nil
}

// MayRetry reports whether another attempt is allowed. An attempt that did not
// run may be retried; one with an unknown outcome only if the request has an id.
func (a *Attempts) MayRetry(now time.Time) bool {
	if a.count >= MaxAttempts || !now.Before(a.Deadline) {
		return false
	}
	switch a.State() {
	case StateNotRun:
		return true
	case StateUnknown:
		return a.HasID
	default:
		return false
	}
}

// Outcome returns the outcome over all attempts. It is unknown if an earlier
// attempt had an unknown outcome, even if the last one did not run.
func (a *Attempts) Outcome() errcode.Outcome {
	state := a.State()
	switch {
	case state == StateDone:
		return errcode.OutcomeDone
	case a.everUnknown || state == StateSent || state == StateHeld:
		return errcode.OutcomeUnknown
	default:
		return errcode.OutcomeNotRun
	}
}

// Error returns the error of the last attempt with the outcome over all attempts.
func (a *Attempts) Error(err error) error {
	if a.Outcome() != errcode.OutcomeUnknown {
		return err
	}
	e := errcode.From(err)
	if e.Code.Outcome == errcode.OutcomeUnknown {
		return err
	}
	return errcode.Wrap(err, errcode.Unknown, e.Step, e.Peer)
}
