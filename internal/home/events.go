package home

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventClaimed         = event.New(3500, zerolog.InfoLevel, "group_claimed", "This proxy became the home of a database group.")
	eventSuperseded      = event.New(3501, zerolog.WarnLevel, "group_superseded", "Another proxy claimed a database group; this proxy no longer serves it.")
	eventReleased        = event.New(3502, zerolog.InfoLevel, "group_released", "This proxy released a database group and closed its connections.")
	eventPrimaryChanged  = event.New(3503, zerolog.InfoLevel, "primary_learned", "A majority of the servers of a database group reported a new term or primary.")
	eventEjected         = event.New(3504, zerolog.WarnLevel, "replica_ejected", "A replica failed too many reads; it gets none for a time, and until a new connection to it works.")
	eventReadmitted      = event.New(3505, zerolog.InfoLevel, "replica_readmitted", "A new connection to an ejected replica works; it gets reads again.")
	eventControlFailed   = event.New(3506, zerolog.DebugLevel, "control_connection_failed", "The control connection to a backend server failed and is reopened.")
	eventHandoffFailed   = event.New(3507, zerolog.WarnLevel, "handoff_failed", "The current home of a group did not drain it in time; the claim aborts the requests that it still runs.")
	eventReclaimed       = event.New(3508, zerolog.WarnLevel, "group_reclaimed", "A backend server has no free connections because it still counts dead ones; the group is claimed again, which closes them.")
	eventRetried         = event.New(3509, zerolog.InfoLevel, "attempt_failed", "An attempt of a request failed at a backend server and is retried; the cause tells what went wrong on the connection.")
	eventReplicaBehind   = event.New(3510, zerolog.WarnLevel, "replica_behind", "The data of a replica is old; reads that need newer data go to other servers, in the last resort to the primary.")
	eventReplicaCaughtUp = event.New(3511, zerolog.InfoLevel, "replica_caught_up", "A replica that was behind has caught up.")
	eventOutOfStep       = event.New(3512, zerolog.WarnLevel, "answer_out_of_step", "A backend server sent what cannot be the answer to the statement that was due, as it does if it answers one twice or not at all; the connection is closed.")
	eventAckWithheld     = event.New(3513, zerolog.InfoLevel, "acknowledgement_withheld", "A server acknowledged a commit while this process had no grant of its term; the answer was held until a grant came or all servers had the commit, or else its outcome was reported as unknown.")
	eventWriteRefused    = event.New(3514, zerolog.WarnLevel, "write_not_confirmable", "Writes of a group are refused: this process has no grant of the term, and for the given reason not all servers can be expected to receive them. Logged at most once a second.")
	eventRequestRefused  = event.New(3515, zerolog.InfoLevel, "request_refused", "A request got no slot. The line gives the queue as its organisation sees it, and for each server the busy slots, why it may not run the request and how far behind it is. Logged at most once a second for a group and cause; omitted counts the others since the last line.")
)
