package edge

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventStarted             = event.New(7100, zerolog.InfoLevel, "edge_started", "The process of an entry VM has started.")
	eventStopped             = event.New(7101, zerolog.InfoLevel, "edge_stopped", "The process of an entry VM has shut down gracefully.")
	eventDraining            = event.New(7102, zerolog.InfoLevel, "edge_draining", "The process was asked to stop: it reports not ready and drains its callers.")
	eventDrainDeadlinePassed = event.New(7103, zerolog.WarnLevel, "edge_drain_cut", "The drain deadline passed with sessions or peer requests still open. The statements of callers that still run are ended and answered; event 2200 names each.")
	eventAcceptFailed        = event.New(7104, zerolog.WarnLevel, "accept_failed", "Accepting a caller connection, or answering its start-up message, failed.")
	eventCallerRefused       = event.New(7105, zerolog.InfoLevel, "caller_refused", "A caller was refused at start-up: the configuration has no route to its database, its API key is unknown or was withdrawn, the process is draining, or it has too many sessions. The cause names the configuration that withdrew the key, where this process knows it.")
	eventOwnFailed           = event.New(7106, zerolog.WarnLevel, "own_failed", "This process should be the home of a group but failed to take it over.")
	eventCatalogFetchFailed  = event.New(7107, zerolog.WarnLevel, "catalog_import_failed", "The catalog of a peer could not be fetched or imported.")
	eventAnnounceFailed      = event.New(7108, zerolog.InfoLevel, "announce_failed", "A peer could not be notified of the planned stop directly; it learns of it from other members.")
	eventNoCatalog           = event.New(7110, zerolog.WarnLevel, "no_catalog", "A caller was disconnected because no configuration has been received from the store or a peer yet.")
	eventCallerPanicked      = event.New(7112, zerolog.ErrorLevel, "caller_panicked", "A panic closed one caller connection; report it with the stack.")
	eventKeysUnconfirmed     = event.New(7113, zerolog.WarnLevel, "api_keys_unconfirmed", "Callers with API keys are refused because this process cannot rule out that their keys were withdrawn: neither the store nor a peer has confirmed the configuration for 0.9 of the revocation time. Public routes are served.")
	eventKeysServed          = event.New(7114, zerolog.InfoLevel, "api_keys_served", "The configuration is confirmed again, and callers with API keys are served.")
	eventReloaded            = event.New(7109, zerolog.InfoLevel, "settings_reloaded", "The settings were reloaded; after_restart names the changed settings that take effect at the next start.")
	eventQuotaRefused        = event.New(7116, zerolog.WarnLevel, "quota_refused", "Operations of an organisation were refused: cause tells whether it has reached its limit or this process got no credits, refused counts those since the last line. Logged at most once a second for each organisation.")
	eventQuotaDealer         = event.New(7117, zerolog.InfoLevel, "quota_dealer_started", "This process holds the promotion lease and allocates the credits of organisations with a limit.")
	eventQuotaRowFailed      = event.New(7118, zerolog.WarnLevel, "quota_row_failed", "The row that tells dealers of quotas about each other could not be read or written; until it is, no credits are allocated after a change of the holder of the promotion lease.")
	eventHomeStarted         = event.New(7119, zerolog.InfoLevel, "home_started", "This process became the home of a group. The line gives the weight of its VM, where weight_known is false the median of the others, its groups, and its rank in the rendezvous order of the group among the members of equal weight; members before it have their share of groups.")
	eventReloadFailed        = event.New(7111, zerolog.WarnLevel, "settings_unreadable", "The changed settings are invalid or cannot be read; the previous ones stay in force.")
)
