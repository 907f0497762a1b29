package tlskeys

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventReloaded = event.New(5100, zerolog.InfoLevel, "tls_keys_reloaded",
		"Changed TLS files were loaded; nothing to do.")
	eventReloadFailed = event.New(5101, zerolog.ErrorLevel, "tls_keys_reload_failed",
		"Changed TLS files cannot be loaded and the previous keys stay in use; replace the files.")
)
