package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Place returns the proxies that should be the homes of groups, for each group
// the home first and then the one that stands in for it. It is meant for homes
// that claim nothing, so that moving one costs little: members in doubt get
// none, and unstable ones do as long as most members are unstable.
//
// The groups are spread evenly: each goes to the member of its highest
// rendezvous weight among those that have fewer groups than their share.
func (s *Snapshot) Place(groups []cluster.GroupName) map[cluster.GroupName][]Member {
	if s.joining {
		return nil
	}
	candidates := s.placementCandidates()
	if len(candidates) == 0 {
		return nil
	}
	ordered := slices.Sorted(slices.Values(groups))
	limit := (len(ordered) + len(candidates) - 1) / len(candidates)
	weights := newRendezvous(candidates)
	load := make([]int, len(candidates))
	placed := make(map[cluster.GroupName][]Member, len(ordered))
	for _, group := range ordered {
		weights.computeWeights(group)
		home := weights.highest(func(i int) bool { return load[i] < limit })
		load[home]++
		placed[group] = []Member{candidates[home]}
		if len(candidates) > 1 {
			placed[group] = append(placed[group], candidates[weights.nextLower(home)])
		}
	}
	return placed
}

// rendezvous holds the weights of members for one group after another. Hashing the
// names once keeps a placement of many groups cheap.
type rendezvous struct {
	members []Member
	hashes  []uint64
	weights []uint64
}

func newRendezvous(members []Member) *rendezvous {
	r := &rendezvous{members: members, hashes: make([]uint64, len(members)), weights: make([]uint64, len(members))}
	for i, m := range members {
		r.hashes[i] = hashOf(m)
	}
	return r
}

func (r *rendezvous) computeWeights(group cluster.GroupName) {
	hash := xxhash.Sum64String(string(group))
	for i := range r.members {
		r.weights[i] = weightOf(hash, r.hashes[i])
	}
}

// less orders members as compareWeights does.
func (r *rendezvous) less(a, b int) bool {
	if r.weights[a] != r.weights[b] {
		return r.weights[a] < r.weights[b]
	}
	return compareKeys(r.members[a].Key(), r.members[b].Key()) < 0
}

// highest returns the member of the highest weight among those that are admitted.
func (r *rendezvous) highest(eligible func(i int) bool) int {
	best := -1
	for i := range r.members {
		if eligible(i) && (best < 0 || r.less(best, i)) {
			best = i
		}
	}
	return best
}

// nextLower returns the member of the next lower weight, or the highest one after the last.
func (r *rendezvous) nextLower(i int) int {
	if next := r.highest(func(j int) bool { return r.less(j, i) }); next >= 0 {
		return next
	}
	return r.highest(func(int) bool { return true })
}

// placementCandidates returns the members that may get groups.
func (s *Snapshot) placementCandidates() []Member {
	var usable, alive, stable []Member
	for _, e := range s.entries {
		if e.Member.Role != RoleProxy || !e.usable() {
			continue
		}
		usable = append(usable, e.Member)
		if e.State == StateAlive {
			alive = append(alive, e.Member)
		}
		if e.State == StateAlive && e.Stable {
			stable = append(stable, e.Member)
		}
	}
	switch {
	case 2*len(stable) >= len(alive) && len(stable) > 0:
		return stable
	case len(alive) > 0:
		return alive
	default:
		slices.SortFunc(usable, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
		return usable
	}
}

// Delegates returns the proxies that act for all proxies of a failure domain, up
// to n of them: the stable ones of the highest rendezvous weights, or any living
// ones while too few are stable. There are none in small views, and while this
// process has not heard from another one.
func (s *Snapshot) Delegates(domain string, n int) []Member {
	if s.joining || len(s.Usable(RoleProxy)) <= fullMeshMembers {
		return nil
	}
	var alive, stable []Member
	for _, e := range s.entries {
		if e.Member.Role != RoleProxy || e.Member.FailureDomain != domain || e.State != StateAlive {
			continue
		}
		alive = append(alive, e.Member)
		if e.Stable {
			stable = append(stable, e.Member)
		}
	}
	chosen := alive
	if len(stable) >= n {
		chosen = stable
	}
	group := cluster.GroupName(domain)
	slices.SortFunc(chosen, func(a, b Member) int { return compareWeights(group, b, a) })
	return chosen[:min(n, len(chosen))]
}
