package back

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventOpenFailed = event.New(2100, zerolog.WarnLevel, "backend_open_failed",
		"A connection to a backend server could not be opened; the statement is sent to another server or refused.")
	eventConnectionBroken = event.New(2101, zerolog.WarnLevel, "backend_connection_broken",
		"A connection to a backend server failed during an exchange and was closed; the error states the outcome.")
	eventCancelFailed = event.New(2102, zerolog.WarnLevel, "backend_cancel_failed",
		"A cancel request did not reach the backend server; the connection is closed after the grace period.")
)
