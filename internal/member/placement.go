package member

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Place assigns groups to proxies and returns for each group its home followed
// by its fallback home. It is intended for homes that hold no claim on their groups,
// so that moving a group is cheap: suspect members get no groups while any
// member is alive, and unstable members get groups only while most members are
// unstable.
//
// The groups are distributed evenly: each is assigned to the member of the
// highest rendezvous weight among those that have fewer groups than their
// share.
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

// PlacesLike reports whether Place returns the same as for another snapshot, whatever the
// groups are.
func (s *Snapshot) PlacesLike(other *Snapshot) bool {
	return s.joining == other.joining && slices.Equal(s.placementCandidates(), other.placementCandidates())
}

// rendezvous computes the weights of the members for one group at a time. Each
// member's name is hashed only once, which keeps placing many groups cheap.
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

// less orders members like compareWeights.
func (r *rendezvous) less(a, b int) bool {
	if r.weights[a] != r.weights[b] {
		return r.weights[a] < r.weights[b]
	}
	return compareKeys(r.members[a].Key(), r.members[b].Key()) < 0
}

// highest returns the eligible member of the highest weight; -1 if none is
// eligible.
func (r *rendezvous) highest(eligible func(i int) bool) int {
	best := -1
	for i := range r.members {
		if eligible(i) && (best < 0 || r.less(best, i)) {
			best = i
		}
	}
	return best
}

// nextLower returns the member of the next lower weight; for the member of the
// lowest weight it returns that of the highest.
func (r *rendezvous) nextLower(i int) int {
	if next := r.highest(func(j int) bool { return r.less(j, i) }); next >= 0 {
		return next
	}
	return r.highest(func(int) bool { return true })
}

// placementCandidates returns the proxies to which Place may assign groups: the stable
// ones, all that are alive while fewer than half of those are stable, or else all that
// are usable.
func (s *Snapshot) placementCandidates() []Member {
	s.candidatesOnce.Do(func() {
		alive, stable := 0, 0
		for i := range s.entries {
			if e := &s.entries[i]; e.Member.Role == RoleProxy && e.State == StateAlive {
				alive++
				if e.Stable {
					stable++
				}
			}
		}
		onlyAlive := alive > 0
		onlyStable := stable > 0 && 2*stable >= alive
		s.candidates = make([]Member, 0, max(alive, 1))
		for i := range s.entries {
			e := &s.entries[i]
			if e.Member.Role != RoleProxy || !e.usable() || onlyAlive && e.State != StateAlive || onlyStable && !e.Stable {
				continue
			}
			s.candidates = append(s.candidates, e.Member)
		}
	})
	return s.candidates
}

// Delegates returns up to n proxies that act on behalf of all proxies of a
// failure domain: the stable ones of the highest rendezvous weights, or any
// alive ones while fewer than n are stable. There are none in views of up to
// fullMeshMembers proxies, and while this process is joining.
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
