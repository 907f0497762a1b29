package tlskeys

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventReloaded = event.New(5100, zerolog.InfoLevel, "tls_keys_reloaded",
		"Changed TLS files were taken up; nothing to do.")
	eventReloadFailed = event.New(5101, zerolog.ErrorLevel, "tls_keys_reload_failed",
		"Changed TLS files cannot be used and the previous ones stay in force; replace the files.")
)
