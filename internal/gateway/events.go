package gateway

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var eventRerouted = event.New(2210, zerolog.InfoLevel, "request_rerouted",
	"An attempt at the home of a group failed before any response was passed to the caller; the request is sent again, to the home in the field next if there is one.")
