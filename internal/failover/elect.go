package failover

import (
	"slices"

	"github.com/rattancove/rattancove/internal/cluster"
)

// elect returns the server to promote among the sealed ones, of which there must be at
// least one: the one with the highest position. Ties are broken in favor of servers
// that are not leaving, then by preferred failure domain, then by the lower ID.
//
// avoid names a server that should not become the primary. Another server is elected
// instead if it is known to have every write stored by a majority, even if it lacks
// writes that only the avoided one has.
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

// domainIndex returns the index of a server's failure domain among the preferred ones;
// all other domains come last.
func domainIndex(spec GroupSpec, id cluster.ServerID) int {
	server := spec.server(id)
	if i := slices.Index(spec.Policy.PreferDomains, server.FailureDomain); i >= 0 {
		return i
	}
	return len(spec.Policy.PreferDomains)
}

// safePosition returns a position that is not below any write stored by a majority of
// a group of size servers. sealed must be sorted by descending position. A write stored
// by a majority is missing from at most size-majority servers, so the number of copies
// among the sealed ones is at least majority-(size-len(sealed)). The second result is
// false if too few servers are sealed.
func safePosition(size int, sealed []cluster.ServerStatus) (cluster.Position, bool) {
	copies := cluster.Majority(size) - (size - len(sealed))
	if copies < 1 {
		return cluster.Position{}, false
	}
	return sealed[copies-1].Received, true
}
