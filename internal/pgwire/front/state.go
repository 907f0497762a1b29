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
	signalAuthenticated   = "authenticated"
	signalRequest         = "request"
	signalBatch           = "batch"
	signalTransactionOpen = "transaction_open"
	signalCopyIn          = "copy_in"
	signalCompleted       = "completed"
	signalFailed          = "failed"
	signalTransactionLost = "transaction_lost"
	signalRolledBack      = "rolled_back"
	signalClosed          = "closed"
)

// isInterruptible reports whether a drain may end a connection in the state.
func isInterruptible(state string) bool { return state == stateIdle || state == stateLost }
