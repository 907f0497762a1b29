package front

import (
	"embed"

	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed caller_session.yaml
var chartFiles embed.FS

var sessionChart = statechart.MustLoad(chartFiles, "caller_session.yaml")

// States of a caller connection that decisions depend on.
const (
	stateIdle    = "idle"
	stateRunning = "running"
	stateLost    = "lost"
)

// Events of a caller connection.
const (
	sessionEventAuthenticated   = "authenticated"
	sessionEventRequest         = "request"
	sessionEventBatch           = "batch"
	sessionEventTransactionOpen = "transaction_open"
	sessionEventCopyIn          = "copy_in"
	sessionEventCompleted       = "completed"
	sessionEventFailed          = "failed"
	sessionEventTransactionLost = "transaction_lost"
	sessionEventRolledBack      = "rolled_back"
	sessionEventClosed          = "closed"
)

// isInterruptible reports whether a drain may end a connection in the state.
func isInterruptible(state string) bool { return state == stateIdle || state == stateLost }
