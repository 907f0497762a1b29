package caller

import (
	"context"
	"errors"
	"sync"
	"time"
)

// errStopping reports that the process stops and cannot wait for a statement any longer.
var errStopping = errors.New("the process stops")

// Drain ends the sessions of a process in three stages, so that each statement that has
// been read is answered before its connection is closed.
type Drain struct {
	// idle is closed when sessions must end as soon as they are idle, and transactions when
	// they must end as soon as no statement runs. statements is cancelled when statements
	// that still run must end.
	idle, transactions chan struct{}
	statements         context.Context
	endStatements      context.CancelCauseFunc

	endIdle, endTransactions sync.Once
	// graceEnd is the time up to which idle sessions wait for statements that are under way.
	// It is set before idle is closed.
	graceEnd time.Time
}

// NewDrain returns a Drain that has not begun.
func NewDrain() *Drain {
	d := &Drain{idle: make(chan struct{}), transactions: make(chan struct{})}
	d.statements, d.endStatements = context.WithCancelCause(context.Background())
	return d
}

// EndIdle ends the sessions that have no open transaction, each once its statement is
// answered. For drainGrace idle sessions wait for statements that are under way.
func (d *Drain) EndIdle() {
	d.endIdle.Do(func() {
		d.graceEnd = time.Now().Add(drainGrace)
		close(d.idle)
	})
}

// grace returns how long an idle session still waits for a statement. It must be called after
// idle was closed.
func (d *Drain) grace() time.Duration { return time.Until(d.graceEnd) }

// EndTransactions ends all sessions, each once its statement is answered. Open transactions
// are rolled back.
func (d *Drain) EndTransactions() { d.endTransactions.Do(func() { close(d.transactions) }) }

// endsTransactions reports whether EndTransactions has been called.
func (d *Drain) endsTransactions() bool {
	select {
	case <-d.transactions:
		return true
	default:
		return false
	}
}

// EndStatements ends the statements that still run. Their callers are told that the outcome
// is unknown.
func (d *Drain) EndStatements() { d.endStatements(errStopping) }
