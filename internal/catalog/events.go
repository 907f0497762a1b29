package catalog

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventConfigurationInForce = event.New(2300, zerolog.InfoLevel, "configuration_in_force", "A newer configuration is active in this process.")
	eventServerEntry          = event.New(2301, zerolog.InfoLevel, "server_entry", "The entry of a backend server is new or has changed.")
	eventServerMissing        = event.New(2302, zerolog.WarnLevel, "server_missing", "The entry of a backend server is missing; the server is removed if its entry does not return within the grace period.")
	eventServerGone           = event.New(2303, zerolog.WarnLevel, "server_gone", "The entry of a backend server has been missing for longer than the grace period; the server is removed and gets no more work.")
	eventHistoryExpired       = event.New(2304, zerolog.WarnLevel, "history_gone", "The store no longer keeps the changes since the last read, or has come back from a copy; everything is loaded again.")
	eventStoreLost            = event.New(2305, zerolog.WarnLevel, "store_lost", "The store does not answer this process; it continues with the last known state and asks its peers.")
	eventStoreRegained        = event.New(2306, zerolog.InfoLevel, "store_regained", "The store answers this process again.")
	eventStoreDelegated       = event.New(2307, zerolog.InfoLevel, "store_delegated", "Another process follows the store for this one.")
	eventDelegationEnded      = event.New(2308, zerolog.InfoLevel, "store_delegation_ended", "This process follows the store itself.")
	eventFeedSilent           = event.New(2310, zerolog.WarnLevel, "store_feed_silent", "Another process knows a change that the store's feed has not delivered to this one; its connection is taken for silent and replaced.")
	eventReadPanicked         = event.New(2311, zerolog.ErrorLevel, "catalog_read_panicked", "A panic failed one read of the store or of a peer's catalog; the last known state stays and the read is repeated. Report it with the stack.")
	eventKeysChanged          = event.New(2312, zerolog.InfoLevel, "api_keys_changed", "A configuration has added API keys to an organisation or withdrawn some; the fields give its version and the numbers of keys, never a key.")
	eventStoreRestored        = event.New(2313, zerolog.WarnLevel, "store_restored", "The store has come back from a copy: its versions have begun anew. The list of servers is read again, and the configuration stays active until there is a newer one.")
	eventUpstreamFailed       = event.New(2309, zerolog.WarnLevel, "store_upstream_failed", "A process that follows the store for this one did not answer, or cannot reach the store.")
)
