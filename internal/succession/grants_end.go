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
	unlisted  bool
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

// unlistedPossible reports whether a server that is not listed yet may have received writes
// that were acknowledged under a grant. After grant.ListingTime the server is listed, or has
// ended, as soon as changes of the list are heard of.
func (e *grantsEnd) unlistedPossible(listStale bool, now time.Time) bool {
	recent := e.inForce || e.earlierHolderRecent(now) || !e.at.IsZero() && now.Sub(e.at) < grant.ListingTime
	e.unlisted = recent || e.unlisted && listStale
	return e.unlisted
}

// earlierHolderRecent reports whether the grants of an earlier lease holder may have ended
// within grant.ListingTime.
func (e *grantsEnd) earlierHolderRecent(now time.Time) bool {
	return !e.startedAt.IsZero() && now.Sub(e.startedAt) < grant.ListingTime
}
