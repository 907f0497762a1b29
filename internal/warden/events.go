package warden

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var eventPhaseChanged = event.New(4300, zerolog.InfoLevel, "failover_phase_changed",
	"The failover state of a group changed in this warden's view. No action is needed.")
