package peer

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventPeerCallFailed = event.New(6100, zerolog.DebugLevel, "peer_call_failed",
		"A call from another process failed; the calling process handles the error.")
	eventPeerCallPanicked = event.New(6101, zerolog.ErrorLevel, "peer_call_panicked",
		"A panic failed one call from another process; report it with the stack.")
)
