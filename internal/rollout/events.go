package rollout

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventDocumentInForce = event.New(5200, zerolog.InfoLevel, "document_in_force",
		"A revision of the environment document is in force in this process. No action is needed.")
	eventDocumentFetchFailed = event.New(5201, zerolog.WarnLevel, "document_fetch_failed",
		"A newer document could not be fetched or parsed, and the one in force remains; check the cause if this repeats.")
	eventPointerReadFailed = event.New(5202, zerolog.WarnLevel, "document_look_failed",
		"The pointer row could not be read; peers still announce newer documents.")
	eventProofExpired = event.New(5203, zerolog.ErrorLevel, "document_old",
		"There was no proof for too long that the document in force is the newest, so this proxy accepts no new callers; restore the platform or the connections to the peers.")
	eventDocumentProvenAgain = event.New(5204, zerolog.InfoLevel, "document_proven_again",
		"The document in force is proven to be the newest again. No action is needed.")
	eventPointerRegressed = event.New(5205, zerolog.ErrorLevel, "document_pointer_fell",
		"The pointer row names an older revision than the one in force, or another document of the same revision, and the one in force remains; check whether the table was restored from a backup.")
)
