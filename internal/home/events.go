package home

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventClaimed         = event.New(3500, zerolog.InfoLevel, "group_claimed", "This proxy became the home of a database group.")
	eventSuperseded      = event.New(3501, zerolog.WarnLevel, "group_superseded", "Another proxy claimed a database group; this proxy serves it no longer.")
	eventReleased        = event.New(3502, zerolog.InfoLevel, "group_released", "This proxy gave a database group up and closed its connections.")
	eventPrimaryChanged  = event.New(3503, zerolog.InfoLevel, "primary_learned", "A majority of a database group holds a new term with this primary.")
	eventEjected         = event.New(3504, zerolog.WarnLevel, "replica_ejected", "A replica failed reads and gets none for a time, and until a fresh connection works.")
	eventReadmitted      = event.New(3505, zerolog.InfoLevel, "replica_readmitted", "A fresh connection to an ejected replica works; it gets reads again.")
	eventControlFailed   = event.New(3506, zerolog.DebugLevel, "control_connection_failed", "The control connection to a backend server failed and is opened anew.")
	eventHandoffFailed   = event.New(3507, zerolog.WarnLevel, "handoff_failed", "The present home of a group did not drain it in time; what it still ran is cut off by the claim.")
	eventReclaimed       = event.New(3508, zerolog.WarnLevel, "group_reclaimed", "A backend server is full of connections that went silent; the group is claimed again, which ends them.")
	eventRetried         = event.New(3509, zerolog.InfoLevel, "attempt_failed", "An attempt of a request failed at a backend server and the home makes another one.")
	eventReplicaBehind   = event.New(3510, zerolog.WarnLevel, "replica_behind", "A replica shows old data; reads that do not accept it go to other servers, the primary at last.")
	eventReplicaCaughtUp = event.New(3511, zerolog.InfoLevel, "replica_caught_up", "A replica that was behind shows fresh data again.")
)
