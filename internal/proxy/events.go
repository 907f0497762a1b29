package proxy

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventStarted = event.New(6200, zerolog.InfoLevel, "proxy_started",
		"The proxy listens for callers and peers.")
	eventDraining = event.New(6201, zerolog.InfoLevel, "proxy_draining",
		"A planned stop began: the proxy reports not ready and announces that it leaves, waits, drains its callers and then releases its groups.")
	eventDrainDeadlinePassed = event.New(6202, zerolog.WarnLevel, "proxy_drain_cut",
		"Requests were still in flight at the drain deadline and were aborted; raise drain.timeout if this recurs.")
	eventStopped = event.New(6203, zerolog.InfoLevel, "proxy_stopped", "The proxy has stopped.")
)
