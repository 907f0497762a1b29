package warden

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var eventPhaseChanged = event.New(4300, zerolog.InfoLevel, "failover_phase_changed",
	"The failover phase of a group, as seen by this warden, has changed. No action is needed.")
