package dbserver

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventReplayFailed = event.New(9100, zerolog.ErrorLevel, "standin_replay_failed",
		"A simulated server could not replay a log record and keeps retrying; its data remains stale. The statement depends on state outside the log.")
	eventFetchFailed = event.New(9101, zerolog.DebugLevel, "standin_fetch_failed",
		"A simulated replica could not fetch log records from its leader and retries.")
	eventRoleChanged = event.New(9102, zerolog.InfoLevel, "standin_role_changed",
		"A simulated server was sealed, promoted, claimed or directed to follow another primary.")
	eventFaultSet = event.New(9103, zerolog.InfoLevel, "standin_fault_set",
		"A fault of a simulated server was set or cleared.")
)
