package catalog

import "time"

// Confirmation states that the store had no configuration above Version at the time At
// of a monotonic clock which also runs while the machine is suspended.
type Confirmation struct {
	Version uint64
	At      time.Duration
}

// Confirm records that the store had no configuration above version at a time. It has no
// effect if the version is above the active one, which is not confirmed then.
func (t *Tracker) Confirm(version uint64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.version() || t.confirmed && at <= t.confirmedAt {
		return
	}
	t.confirmedAt = at
	if !t.confirmed {
		t.confirmed = true
		t.notify() // callers may wait for the first confirmation
	}
}

// ConfirmedAge returns the time since the active configuration was confirmed. The second
// result is false if it never was.
func (t *Tracker) ConfirmedAge(now time.Duration) (age time.Duration, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed {
		return 0, false
	}
	return now - t.confirmedAt, true
}

// ConfirmedVersion returns the version of the active configuration and the time since it
// was confirmed, as another process may use them: at least one nanosecond, or zero if it
// never was confirmed.
func (t *Tracker) ConfirmedVersion(now time.Duration) (version uint64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed {
		return t.version(), 0
	}
	return t.version(), max(now-t.confirmedAt, 1)
}

// version returns the version of the active configuration, zero if there is none. The
// caller holds the lock.
func (t *Tracker) version() uint64 {
	if t.configuration == nil {
		return 0
	}
	return t.configuration.Version
}
