package admin

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventRequestRefused = event.New(5300, zerolog.WarnLevel, "admin_refused",
		"A request to the administration API was refused for its key or its rights; check who sent it.")
	eventKeysReloaded = event.New(5301, zerolog.InfoLevel, "admin_keys_reloaded",
		"The changed file of administration keys was taken up; nothing to do.")
	eventKeysFailed = event.New(5302, zerolog.ErrorLevel, "admin_keys_failed",
		"The changed file of administration keys cannot be used and the previous keys stay; correct the file.")
	eventDocumentChanged = event.New(5303, zerolog.InfoLevel, "document_changed",
		"An operator changed the document of an environment; nothing to do.")
	eventRequestFailed = event.New(5304, zerolog.ErrorLevel, "admin_failed",
		"A request to the administration API failed inside the system; look at the cause.")
	eventConnectionFailed = event.New(5305, zerolog.DebugLevel, "admin_connection_failed",
		"A connection to the administration API ended before a request, for example in the TLS handshake; look at the client, or at event 5101.")
)
