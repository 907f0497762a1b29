package succession

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventPhaseChanged       = event.New(4400, zerolog.WarnLevel, "succession_phase", "The replacement of a primary has entered another phase.")
	eventReplicationCommand = event.New(4401, zerolog.InfoLevel, "replication_command", "A backend server was told to pause, resume or step down.")
	eventPromotionAsked     = event.New(4402, zerolog.WarnLevel, "promotion_asked", "The platform was asked to promote a server; the error tells whether it refused or did not answer.")
	eventPromotionWithheld  = event.New(4403, zerolog.WarnLevel, "promotion_withheld", "The lease ran out before the platform was asked; another process goes on.")
	eventGrantRevoked       = event.New(4405, zerolog.InfoLevel, "grant_revoked", "A process was asked to rely on the term of a group no longer; without an answer its grant has to run out.")
	eventServerUnreachable  = event.New(4404, zerolog.WarnLevel, "server_unreachable", "A backend server does not answer on a fresh connection.")
)
