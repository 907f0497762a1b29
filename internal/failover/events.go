package failover

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventFailoverBegan       = event.New(4200, zerolog.WarnLevel, "failover_began", "The primary of a group is being replaced. No action is needed.")
	eventFailoverCompleted   = event.New(4201, zerolog.WarnLevel, "failover_completed", "A group has a new primary and no write stored by a majority was lost. No action is needed.")
	eventFailoverMayHaveLost = event.New(4202, zerolog.ErrorLevel, "failover_may_have_lost", "A group has a new primary, and writes that were not stored by a majority may be lost. Compare the positions in the record with the orders of that time.")
)
