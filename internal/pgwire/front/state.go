package front

import "slices"

// state is what a caller connection is doing.
type state uint8

// States of a caller connection.
const (
	// stateStartup reads the start-up message and authenticates.
	stateStartup state = iota
	// stateIdle waits for a request outside any transaction.
	stateIdle
	// stateRunning has a batch at the home.
	stateRunning
	// stateInTransaction waits for the caller inside a transaction block.
	stateInTransaction
	// stateCopyIn waits for the caller's data of a COPY.
	stateCopyIn
	// stateLost waits for the caller to end a transaction block that exists no more.
	stateLost
	// stateClosed is final.
	stateClosed
)

var stateNames = [...]string{"startup", "idle", "running", "in transaction", "copy in", "lost", "closed"}

// String returns the state's name in log lines.
func (s state) String() string { return stateNames[s] }

// transitions lists the states that may follow each state. Every state but
// the final one may also be closed.
var transitions = map[state][]state{
	stateStartup:       {stateIdle},
	stateIdle:          {stateRunning, stateIdle},
	stateRunning:       {stateInTransaction, stateCopyIn, stateIdle, stateLost},
	stateInTransaction: {stateRunning, stateLost, stateIdle},
	stateCopyIn:        {stateRunning, stateIdle, stateLost},
	stateLost:          {stateIdle, stateLost},
	stateClosed:        {},
}

func (s state) mayBecome(next state) bool {
	if next == stateClosed {
		return s != stateClosed
	}
	return slices.Contains(transitions[s], next)
}

// quiet reports whether a drain may end the connection in this state.
func (s state) quiet() bool { return s == stateIdle || s == stateLost }
