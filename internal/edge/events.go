package edge

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventStarted        = event.New(7100, zerolog.InfoLevel, "edge_started", "The process of an entry VM has started.")
	eventStopped        = event.New(7101, zerolog.InfoLevel, "edge_stopped", "The process of an entry VM has stopped in order.")
	eventDraining       = event.New(7102, zerolog.InfoLevel, "edge_draining", "The process was asked to stop: it is not ready any more and lets callers finish.")
	eventDrainCut       = event.New(7103, zerolog.WarnLevel, "edge_drain_cut", "The time to stop is over with sessions or requests of peers left; they are cut off.")
	eventAcceptFailed   = event.New(7104, zerolog.WarnLevel, "accept_failed", "A caller could not be accepted or answered at its start.")
	eventCallerRefused  = event.New(7105, zerolog.InfoLevel, "caller_refused", "A caller was refused at its start: the configuration has no route to its database, the process stops, or it has too many sessions.")
	eventOwnFailed      = event.New(7106, zerolog.WarnLevel, "own_failed", "This process should be the home of a group and could not begin.")
	eventImportFailed   = event.New(7107, zerolog.WarnLevel, "catalog_import_failed", "The catalog of a peer could not be taken up.")
	eventAnnounceFailed = event.New(7108, zerolog.InfoLevel, "announce_failed", "A peer could not be told of the planned stop at once; it learns it from others.")
	eventNoCatalog      = event.New(7110, zerolog.WarnLevel, "no_catalog", "A caller was turned away because neither the store nor a peer has told the configuration yet.")
	eventReloaded       = event.New(7109, zerolog.InfoLevel, "settings_reloaded", "The settings were read again; what needs another start is named.")
	eventReloadFailed   = event.New(7111, zerolog.WarnLevel, "settings_unreadable", "The changed settings cannot be used; the previous ones stay in force.")
)
