package dbserver

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventReplayFailed = event.New(9100, zerolog.ErrorLevel, "standin_replay_failed",
		"A stand-in could not replay a log record; its rows stay behind. The statement depends on more than the log.")
	eventFetchFailed = event.New(9101, zerolog.DebugLevel, "standin_fetch_failed",
		"A stand-in replica could not fetch from its leader and tries again.")
	eventRoleChanged = event.New(9102, zerolog.InfoLevel, "standin_role_changed",
		"A stand-in was sealed, promoted, claimed or told to follow another primary.")
	eventFaultSet = event.New(9103, zerolog.InfoLevel, "standin_fault_set",
		"A fault of a stand-in was switched.")
)
