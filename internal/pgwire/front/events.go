package front

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

// Log events of this package.
var (
	eventListening = event.New(1100, zerolog.InfoLevel, "front_listening",
		"The proxy accepts callers at the address.")
	eventDraining = event.New(1101, zerolog.InfoLevel, "front_draining",
		"The proxy accepts no more callers and waits for running statements and open transactions.")
	eventDrained = event.New(1102, zerolog.InfoLevel, "front_drained",
		"Every caller connection is closed.")
	eventDrainForced = event.New(1103, zerolog.WarnLevel, "front_drain_forced",
		"The drain timeout passed and the remaining callers were disconnected; raise the timeout or look for long transactions.")
	eventAcceptFailed = event.New(1104, zerolog.WarnLevel, "front_accept_failed",
		"A connection could not be accepted; check the limit of open files.")
	eventCallerRefused = event.New(1110, zerolog.InfoLevel, "front_caller_refused",
		"A caller was refused before it could send a statement; the error states the reason.")
	eventCallerFailed = event.New(1111, zerolog.InfoLevel, "front_caller_failed",
		"A caller connection was closed because of an error of the caller or of the connection.")
	eventCallerPanicked = event.New(1112, zerolog.ErrorLevel, "front_caller_panicked",
		"A panic closed one caller connection; report it with the stack.")
	eventBadTransition = event.New(1113, zerolog.ErrorLevel, "front_bad_transition",
		"An event occurred that the state chart of a caller connection does not allow in its state; report it.")
	eventCallersRevoked = event.New(1114, zerolog.InfoLevel, "front_callers_revoked",
		"A new document no longer has the accounts of some callers; each is disconnected when it has no running request or open transaction.")
	eventRequestFailed = event.New(1120, zerolog.InfoLevel, "front_request_failed",
		"A request was refused or failed inside the system; the error states its outcome, step and peer.")
	eventTransactionLost = event.New(1121, zerolog.WarnLevel, "front_transaction_lost",
		"An open transaction was lost while its caller was idle; the caller's next statement returns the error.")
	eventCancelRequested = event.New(1122, zerolog.DebugLevel, "front_canceled",
		"A caller asked to cancel its running statement.")
)
