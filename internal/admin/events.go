package admin

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventRequestRefused = event.New(5300, zerolog.WarnLevel, "admin_refused",
		"A request to the administration API was refused because of its key or the key's rights; check who sent it.")
	eventKeysReloaded = event.New(5301, zerolog.InfoLevel, "admin_keys_reloaded",
		"The changed administration key file was loaded. No action is needed.")
	eventKeysFailed = event.New(5302, zerolog.ErrorLevel, "admin_keys_failed",
		"The changed administration key file is unreadable or invalid and the previous keys remain in use; correct the file.")
	eventDocumentChanged = event.New(5303, zerolog.InfoLevel, "document_changed",
		"The document of an environment was changed through the administration API. No action is needed.")
	eventRequestFailed = event.New(5304, zerolog.ErrorLevel, "admin_failed",
		"A request to the administration API failed because of an internal error or an unavailable service; check the logged error.")
	eventConnectionFailed = event.New(5305, zerolog.DebugLevel, "admin_connection_failed",
		"A connection to the administration API failed before a request was read, for example in the TLS handshake; check the client, or event 5101.")
)
