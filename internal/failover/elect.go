package failover

import (
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
)

// elect returns the server to promote among the sealed, which must not be
// empty: the one with the highest position. Ties go to a server that is not
// leaving, then to the preferred failure domain, then to the lower id.
//
// avoid names a server that should not become the primary. It is passed over
// for a server that provably has every write stored by a majority, even when
// that server lacks writes that only the avoided one has.
func elect(spec GroupSpec, sealed []cluster.ServerStatus, avoid cluster.ServerID) cluster.ServerStatus {
	ordered := slices.Clone(sealed)
	slices.SortStableFunc(ordered, func(a, b cluster.ServerStatus) int { return compareCandidates(spec, a, b) })
	best := ordered[0]
	if best.Server != avoid {
		return best
	}
	safe, ok := safePosition(len(spec.Servers), ordered)
	if !ok {
		return best
	}
	for _, s := range ordered[1:] {
		if !s.Received.Less(safe) {
			return s
		}
	}
	return best
}

// compareCandidates orders servers from best to worst.
func compareCandidates(spec GroupSpec, a, b cluster.ServerStatus) int {
	if c := b.Received.Compare(a.Received); c != 0 {
		return c
	}
	if spec.Leaving[a.Server] != spec.Leaving[b.Server] {
		if spec.Leaving[a.Server] {
			return 1
		}
		return -1
	}
	if c := domainIndex(spec, a.Server) - domainIndex(spec, b.Server); c != 0 {
		return c
	}
	if a.Server < b.Server {
		return -1
	}
	return 1
}

// domainIndex returns the place of a server's failure domain among the
// preferred ones; servers elsewhere come last.
func domainIndex(spec GroupSpec, id cluster.ServerID) int {
	server := spec.server(id)
	if i := slices.Index(spec.Policy.PreferDomains, server.FailureDomain); i >= 0 {
		return i
	}
	return len(spec.Policy.PreferDomains)
}

// safePosition returns a position that is not below any write stored by a
// majority of a group of size servers, given its sealed servers from highest
// to lowest. A write of a majority is on all but size-majority servers, so at
// least majority-(size-sealed) of the sealed have it. The second result is
// false when too few are sealed to tell.
func safePosition(size int, sealed []cluster.ServerStatus) (cluster.Position, bool) {
	holders := cluster.Majority(size) - (size - len(sealed))
	if holders < 1 {
		return cluster.Position{}, false
	}
	return sealed[holders-1].Received, true
}
