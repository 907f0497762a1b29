package back

import (
	"embed"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed backend_connection.yaml
var charts embed.FS

var connectionChart = statechart.MustLoad(charts, "backend_connection.yaml")

// Events of the backend_connection chart.
const (
	eventExchange    = "exchange"
	eventReset       = "reset"
	eventReadyIdle   = "ready_idle"
	eventReadyOpen   = "ready_open"
	eventReadyFailed = "ready_failed"
	eventClose       = "close"
)

// beginOperation records the start of an exchange or a reset. It fails while
// another operation runs and after the connection was closed.
func (c *Conn) beginOperation(event string) error {
	_, _, err := c.state.Fire(event)
	return err
}

// endOperation enters the state that matches the last transaction status reported
// by the server.
func (c *Conn) endOperation() {
	event := eventReadyIdle
	switch {
	case c.proto.closed.Load():
		event = eventClose
	case c.txStatus() == backend.TxOpen:
		event = eventReadyOpen
	case c.txStatus() == backend.TxFailed:
		event = eventReadyFailed
	}
	// If Close was called first, the state is final and the event is ignored.
	_, _, _ = c.state.Fire(event)
}

// State returns the current state in the backend_connection chart.
func (c *Conn) State() string { return c.state.Current() }
