package duty

import (
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventAcquired      = event.New(4500, zerolog.InfoLevel, "duty_taken", "This process has acquired the promotion lease; the token fences its calls.")
	eventLost          = event.New(4501, zerolog.WarnLevel, "duty_lost", "This process no longer holds the promotion lease.")
	eventRenewFailed   = event.New(4502, zerolog.WarnLevel, "duty_renewal_failed", "A renewal of the lease failed or its answer was lost; the row is read before the next attempt.")
	eventCheckFailed   = event.New(4503, zerolog.WarnLevel, "duty_watch_failed", "The row of the promotion lease could not be read, or the lease could not be acquired.")
	eventReleaseFailed = event.New(4504, zerolog.WarnLevel, "duty_release_failed", "The lease could not be released; another process acquires it after its time to live.")
	eventKept          = event.New(4505, zerolog.WarnLevel, "duty_kept", "The table service has come back from a copy, and the holder has written its lease again; the fields give the holder and the token of the row in the copy.")
)
