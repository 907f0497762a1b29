package front

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

// Events of the callers' side.
var (
	eventListening = event.New(1100, zerolog.InfoLevel, "front_listening",
		"The proxy accepts callers at the address.")
	eventDraining = event.New(1101, zerolog.InfoLevel, "front_draining",
		"The proxy accepts no more callers and waits for running statements and open transactions.")
	eventDrained = event.New(1102, zerolog.InfoLevel, "front_drained",
		"Every caller connection is closed.")
	eventDrainForced = event.New(1103, zerolog.WarnLevel, "front_drain_forced",
		"The time for draining passed and the remaining callers were cut off; allow more time or look for long transactions.")
	eventAcceptFailed = event.New(1104, zerolog.WarnLevel, "front_accept_failed",
		"A connection could not be accepted; check the limit of open files.")
	eventCallerRefused = event.New(1110, zerolog.InfoLevel, "front_caller_refused",
		"A caller was refused before it could send a statement; the error tells why.")
	eventCallerFailed = event.New(1111, zerolog.InfoLevel, "front_caller_failed",
		"A caller connection was ended because of an error of the caller or of its connection.")
	eventCallerPanicked = event.New(1112, zerolog.ErrorLevel, "front_caller_panicked",
		"A programming error ended one caller connection; report it with the stack.")
	eventBadTransition = event.New(1113, zerolog.ErrorLevel, "front_bad_transition",
		"A caller connection took a turn that its state chart does not allow; report it.")
	eventCallersRevoked = event.New(1114, zerolog.InfoLevel, "front_callers_revoked",
		"A new document no longer has the accounts of some callers; they are ended once nothing of theirs is open.")
	eventRequestFailed = event.New(1120, zerolog.InfoLevel, "front_request_failed",
		"A request was refused or failed in the system; the error tells its outcome, step and peer.")
	eventTransactionLost = event.New(1121, zerolog.WarnLevel, "front_transaction_lost",
		"An open transaction ended without the caller; its next statement reports the error.")
	eventCancelRequested = event.New(1122, zerolog.DebugLevel, "front_canceled",
		"A caller asked to cancel its running statement.")
)
