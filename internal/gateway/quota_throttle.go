package gateway

import (
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	// maxQuotaThrottleTime limits how long operations of an organisation are refused here
	// after a refusal by a home for its quota, of which credits become free all the time.
	maxQuotaThrottleTime = time.Second
	// quotaTrialInterval is the time between two trial operations. Many entry proxies may
	// send them at once.
	quotaTrialInterval = 250 * time.Millisecond
	// maxQuotaEntries is the number of entries above which expired ones are removed.
	maxQuotaEntries = 1024
)

// quotaKey identifies the operations of one organisation at one home, which has credits
// of its own.
type quotaKey struct {
	organisation string
	home         cluster.ProxyID
}

// quotaEntry is the last refusal by a home of an operation of one organisation.
type quotaEntry struct {
	// retryAt is the end of the wait that the home advised, and expires the end of the
	// time for which operations are refused here.
	retryAt, expires time.Time
	// lastTried is the time of the last refusal or trial operation.
	lastTried time.Time
}

// quotaThrottle refuses operations of organisations that have reached their limits where
// they enter, so that a flood does not reach the homes. It is safe for concurrent use.
type quotaThrottle struct {
	mu      sync.Mutex
	entries map[quotaKey]*quotaEntry
}

func newQuotaThrottle() *quotaThrottle {
	return &quotaThrottle{entries: map[quotaKey]*quotaEntry{}}
}

// check returns an error if the home would probably refuse the operation. trial is set
// for an operation that is sent nevertheless.
func (t *quotaThrottle) check(organisation string, home cluster.ProxyID) (trial bool, err error) {
	if organisation == "" {
		return false, nil
	}
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	key := quotaKey{organisation, home}
	entry, ok := t.entries[key]
	switch {
	case !ok:
		return false, nil
	case !now.Before(entry.expires):
		delete(t.entries, key)
		return false, nil
	case now.Sub(entry.lastTried) >= quotaTrialInterval:
		entry.lastTried = now
		quotaTrials.Inc()
		return true, nil
	}
	quotaRefused.Inc()
	refusal := errcode.New(errcode.QuotaExceeded, "quota, advised wait", string(home))
	refusal.RetryAfter = entry.retryAt.Sub(now)
	return false, refusal
}

// record records the result of an operation: a refusal that advises a wait, or a trial
// that was not refused for the quota.
func (t *quotaThrottle) record(organisation string, home cluster.ProxyID, trial bool, err error) {
	if organisation == "" {
		return
	}
	key := quotaKey{organisation, home}
	if !errcode.Is(err, errcode.QuotaExceeded) {
		if trial {
			t.mu.Lock()
			defer t.mu.Unlock()
			delete(t.entries, key)
		}
		return
	}
	advised := errcode.From(err).RetryAfter
	if advised <= 0 {
		return
	}
	now := time.Now()
	throttled := min(time.Duration(throttleFraction*float64(advised)), maxQuotaThrottleTime)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[key] = &quotaEntry{retryAt: now.Add(advised), expires: now.Add(throttled), lastTried: now}
	if len(t.entries) > maxQuotaEntries {
		t.removeExpired(now)
	}
}

func (t *quotaThrottle) removeExpired(now time.Time) {
	for key, entry := range t.entries {
		if !now.Before(entry.expires) {
			delete(t.entries, key)
		}
	}
}
