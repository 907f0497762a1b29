package front

import (
	"embed"

	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed caller_session.yaml
var chartFiles embed.FS

var sessionChart = statechart.MustLoad(chartFiles, "caller_session.yaml")

// States of a caller session that the code depends on.
const (
	stateIdle    = "idle"
	stateRunning = "running"
	stateLost    = "lost"
)

// Events of a caller session.
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

// isInterruptible reports whether a connection in the state may be closed by a
// drain: no request runs and no transaction is open.
func isInterruptible(state string) bool { return state == stateIdle || state == stateLost }
