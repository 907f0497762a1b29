package edge

import (
	"time"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
)

// confirmedVersion encodes the version of the configuration and its age for a reply.
func (e *Edge) confirmedVersion(now time.Duration) *peerpb.DocumentVersion {
	version, age := e.tracker.ConfirmedVersion(now)
	return &peerpb.DocumentVersion{Environment: catalogName, Revision: version, ConfirmedAgeNanos: int64(age)}
}

// confirmationOf returns what the reply of a peer confirms; zero if nothing. sent is the
// time before the request was sent, and held the time for which the peer held it: the
// peer's age was true at sent+held or later. held is at most the time that the call took,
// which the clock of the peer may show as longer.
func (e *Edge) confirmationOf(version *peerpb.DocumentVersion, sent, held time.Duration) catalog.Confirmation {
	age := time.Duration(version.GetConfirmedAgeNanos())
	if version.GetEnvironment() != catalogName || age <= 0 {
		return catalog.Confirmation{}
	}
	held = max(0, min(held, e.access.clock()-sent))
	return catalog.Confirmation{Version: version.GetRevision(), At: sent + held - age}
}

// confirmFrom takes over what the reply to a ping confirms. A received ping confirms
// nothing, since the time for which it was on its way is not known.
func (e *Edge) confirmFrom(versions []*peerpb.DocumentVersion, sent time.Duration) {
	for _, v := range versions {
		if c := e.confirmationOf(v, sent, 0); c != (catalog.Confirmation{}) {
			e.tracker.Confirm(c.Version, c.At)
		}
	}
}
