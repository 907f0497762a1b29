package peer

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var eventPeerCallFailed = event.New(6100, zerolog.DebugLevel, "peer_call_failed",
	"A call from another process failed; the calling process handles the error.")
