package succession

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventPhaseChanged       = event.New(4400, zerolog.WarnLevel, "succession_phase", "The failover of a group has entered another phase.")
	eventReplicationCommand = event.New(4401, zerolog.InfoLevel, "replication_command", "A backend server was asked to pause or resume replication, or to step down as primary.")
	eventPromotionRequested = event.New(4402, zerolog.WarnLevel, "promotion_asked", "The platform was asked to promote a server; the error, if any, states whether it refused or did not respond.")
	eventPromotionSkipped   = event.New(4403, zerolog.WarnLevel, "promotion_withheld", "The lease expired or the group's record could not be written, before the platform was asked to promote a server; the next lease holder continues the failover.")
	eventGrantRevoked       = event.New(4405, zerolog.InfoLevel, "grant_revoked", "A process was asked to release its grant of a group's term; if it does not respond, the grant must expire first.")
	eventRecordUnreadable   = event.New(4406, zerolog.ErrorLevel, "group_record_unreadable", "The record of a group in the table service cannot be decoded; the group is treated as one without a record.")
	eventRecordFailed       = event.New(4407, zerolog.WarnLevel, "group_record_failed", "The record of a group could not be read or written; it is tried again. Without it, no server of the group is promoted.")
	eventMembersAbandoned   = event.New(4408, zerolog.ErrorLevel, "group_members_abandoned", "Servers that may hold the only copy of acknowledged writes have not returned; the failover continues without them.")
	eventSwitchoverBlocked  = event.New(4409, zerolog.WarnLevel, "switchover_blocked", "A leaving primary is not replaced yet, for the given reason.")
	eventElectionWaits      = event.New(4410, zerolog.WarnLevel, "election_waits", "A failover or switchover elects no server yet: what it waits for, and which servers.")
	eventElectedServer      = event.New(4411, zerolog.WarnLevel, "server_elected", "A server was elected in a failover or switchover: the ends of the logs that no longer change, the position that it must have, and the members that may hold acknowledged writes.")
	eventReplaySwitchover   = event.New(4412, zerolog.WarnLevel, "replay_switchover", "The slots of a primary are at work while all replicas have received its records and replay them late, so that a replica takes over. No action is needed unless it repeats.")
	eventPromotionInherited = event.New(4413, zerolog.InfoLevel, "promotion_inherited", "The record of a group names a server that an earlier lease holder was about to have promoted: for how long that may still take effect, and whether it ends as soon as the server is primary above the given term.")
	eventRecordOutdated     = event.New(4414, zerolog.WarnLevel, "group_record_outdated", "The table service has come back from a copy since the record of a group was written. If it is kept, this process has managed the group since before and writes what it knows; otherwise a promotion may have been requested that the record does not state, and none is requested until it can no longer take effect.")
	eventServerUnreachable  = event.New(4404, zerolog.WarnLevel, "server_unreachable", "A backend server does not respond on a new connection.")
)
