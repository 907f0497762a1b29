package grant

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// DepartureDelay is the time for which a server that is no longer listed may still be
// promoted: by a call in transit, or by a lease holder that has not heard of it yet.
const DepartureDelay = 10 * time.Second

// Copy is what a listed server of a group has reported.
type Copy struct {
	// Asked is set if the status was requested after the primary's answer had come.
	Asked    bool
	Term     cluster.Term
	Received cluster.Position
}

// MayAcknowledge reports whether a commit that a primary of term has acknowledged at
// position may be acknowledged to its caller: no promotion can discard it. Either the
// process has a valid grant of the term, and the grant was checked after the answer had
// come; then the logs that the next election compares are read later. Or all listed
// servers have the commit, so that it makes no difference which of them a call that is
// already in transit promotes. copies must be empty if they are not known to be all.
func MayAcknowledge(granted bool, copies []Copy, term cluster.Term, position cluster.Position) bool {
	if granted {
		return true
	}
	for _, c := range copies {
		// A log that ends in a later term may lack what another primary has written.
		if !c.Asked || c.Term != term || c.Received.Term > term || c.Received.Less(position) {
			return false
		}
	}
	return len(copies) > 0 && position.Known()
}
