package duty

import "time"

// ExpiryOf returns the time at which the lease expires for its holder if it sent the
// write that renewed it at sentAt.
func ExpiryOf(sentAt time.Duration) time.Duration { return sentAt + leaseTTL - clockMargin }

// Watch determines when the lease of another process has expired.
type Watch struct {
	// version is the version of the row that was last read, and since the time at which
	// it was first read.
	version uint64
	since   time.Duration
}

// Expired reports whether the lease has expired when the row is read with a version at
// a time: the version has not changed for the lease's whole time to live.
func (w *Watch) Expired(version uint64, now time.Duration) bool {
	if version != w.version {
		w.version, w.since = version, now
		return false
	}
	return now-w.since >= leaseTTL+clockMargin
}
