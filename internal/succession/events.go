package succession

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventPhaseChanged       = event.New(4400, zerolog.WarnLevel, "succession_phase", "The failover of a group has entered another phase.")
	eventReplicationCommand = event.New(4401, zerolog.InfoLevel, "replication_command", "A backend server was asked to pause or resume replication, or to step down as primary.")
	eventPromotionRequested = event.New(4402, zerolog.WarnLevel, "promotion_asked", "The platform was asked to promote a server; the error, if any, states whether it refused or did not respond.")
	eventPromotionSkipped   = event.New(4403, zerolog.WarnLevel, "promotion_withheld", "The lease expired before the platform was asked to promote a server; the next lease holder continues the failover.")
	eventGrantRevoked       = event.New(4405, zerolog.InfoLevel, "grant_revoked", "A process was asked to release its grant of a group's term; if it does not respond, the grant must expire first.")
	eventServerUnreachable  = event.New(4404, zerolog.WarnLevel, "server_unreachable", "A backend server does not respond on a new connection.")
)
