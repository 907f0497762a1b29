package back

import (
	"embed"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/statechart"
)

//go:embed backend_connection.yaml
var charts embed.FS

var connectionChart = statechart.MustLoad(charts, "backend_connection.yaml")

// Events of the connection's chart.
const (
	eventExchange    = "exchange"
	eventReset       = "reset"
	eventReadyIdle   = "ready_idle"
	eventReadyOpen   = "ready_open"
	eventReadyFailed = "ready_failed"
	eventClose       = "close"
)

// beginOperation starts an exchange or a reset. It fails while another one runs and
// after the connection was closed.
func (c *Conn) beginOperation(event string) error {
	_, _, err := c.state.Fire(event)
	return err
}

// endOperation moves the state to what the server reported last.
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
	// Close may have come first; the state is final then.
	_, _, _ = c.state.Fire(event)
}

// State returns the state of the connection in its chart.
func (c *Conn) State() string { return c.state.Current() }
