package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/grant"
)

// grantsEnd tells when the last grant of a group had ended. The zero value belongs to a
// lease holder that has issued none, and knows of none of an earlier holder.
type grantsEnd struct {
	inForce bool
	at      time.Time
	// startedAt is when the lease was taken; the grants of an earlier holder had ended. What
	// was acknowledged under them is not known.
	startedAt time.Time
	// heardAt is when changes of the list of servers were last heard of.
	heardAt time.Time
}

// update returns a time after which no process has had a grant; zero if none is known to
// have had one. inForce is set if grants were allowed since the last decision or any is
// outstanding.
func (e *grantsEnd) update(inForce bool, now time.Time) time.Time {
	if e.inForce && !inForce {
		e.at = now
	}
	e.inForce = inForce
	return e.at
}

// listingWindow returns the time since the end of a grant after which all servers that have
// received writes under it are known to be listed, or to have ended. It is longer than
// grant.ListingTime while changes of the list are not heard of.
func (e *grantsEnd) listingWindow(listStale bool, now time.Time) time.Duration {
	if !listStale || e.heardAt.IsZero() {
		e.heardAt = now
	}
	return grant.ListingTime + min(now.Sub(e.heardAt), grant.MaxListAge)
}

// unlistedPossible reports whether a server that is not listed yet may have received writes
// that were acknowledged under a grant, which ended within the listing window.
func (e *grantsEnd) unlistedPossible(window time.Duration, now time.Time) bool {
	return e.inForce || e.earlierHolderRecent(window, now) || !e.at.IsZero() && now.Sub(e.at) < window
}

// earlierHolderRecent reports whether the grants of an earlier lease holder may have ended
// within the listing window.
func (e *grantsEnd) earlierHolderRecent(window time.Duration, now time.Time) bool {
	return !e.startedAt.IsZero() && now.Sub(e.startedAt) < window
}
