package duty

import (
	"time"

	"github.com/rattancove/rattancove/internal/provider"
)

// ExpiryOf returns the time at which the lease expires for its holder if it sent the
// write that renewed it at sentAt.
func ExpiryOf(sentAt time.Duration) time.Duration { return sentAt + leaseTTL - clockMargin }

// settleTime is the time after which every lease that was valid at its begin has expired,
// unless it was renewed.
const settleTime = leaseTTL + clockMargin

// Reading is the lease's row as a process has read it.
type Reading struct {
	// Version is that of the row, or of its absence if Missing is set.
	Version uint64
	// Current is set if the row was written in the era of the table service in which it was
	// read. Any other is from a copy from which the service has come back, or was written
	// by a call of an earlier era that took effect late: what was written since is unknown.
	Current bool
	// Missing is set if there is no row, Released if its holder has given up the lease.
	Missing, Released bool
	// Own is set if this process has written the row, Predecessor if an earlier process of the
	// same name has, which has ended.
	Own, Predecessor bool
}

// Decision is what a process does after a reading.
type Decision uint8

// Decisions after a reading.
const (
	Wait Decision = iota
	// Renew extends the lease that the process holds or has acquired.
	Renew
	Acquire
)

// Watch decides what a process does with the lease, by what it has read over time.
type Watch struct {
	// version is the version of the row that was last read, and since the time at which
	// it was first read.
	version uint64
	since   time.Duration
	// era is the era of the last reading, and eraSince the time of the first one in it.
	era      uint64
	eraSince time.Duration
}

// Next returns what a process does after a reading at a time. held reports whether its lease
// is valid at that time.
//
// In a new era of the table service, another process may hold the lease although the row does
// not say so. Every process but the holder therefore waits for settleTime from its first
// reading in an era, unless the row was written in it. The holder was the last one to
// acquire the lease, since another one would have had to wait until it had expired, and
// goes on.
func (w *Watch) Next(r Reading, held bool, now time.Duration) Decision {
	if era := provider.EraOf(r.Version); era != w.era {
		w.era, w.eraSince = era, now
	}
	settled := w.era == 0 || now-w.eraSince >= settleTime
	unchanged := w.unchanged(r.Version, now)
	switch {
	case r.Own && r.Current, held && !r.Current:
		return Renew
	case r.Missing && settled, (r.Released || r.Predecessor) && (r.Current || settled), unchanged:
		return Acquire
	}
	return Wait
}

// unchanged reports whether the version of the row has not changed for the lease's whole time
// to live.
func (w *Watch) unchanged(version uint64, now time.Duration) bool {
	if version != w.version {
		w.version, w.since = version, now
		return false
	}
	return now-w.since >= settleTime
}
