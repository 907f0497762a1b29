package duty

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventTaken         = event.New(4500, zerolog.InfoLevel, "duty_taken", "This process holds the lease of a duty from now on; the token fences its calls.")
	eventLost          = event.New(4501, zerolog.WarnLevel, "duty_lost", "This process does not hold the lease of a duty any more.")
	eventRenewFailed   = event.New(4502, zerolog.WarnLevel, "duty_renewal_failed", "A renewal of the lease failed or its answer was lost; the row is read before another try.")
	eventWatchFailed   = event.New(4503, zerolog.WarnLevel, "duty_watch_failed", "The row of the lease could not be read or taken.")
	eventReleaseFailed = event.New(4504, zerolog.WarnLevel, "duty_release_failed", "The lease could not be given up; another process takes it after its time to live.")
)
