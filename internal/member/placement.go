package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// lossDivisor and minHomeBound bound the homes of one member: the loss of a VM stops at
	// most an eighth of the groups, and in a small deployment two, for a moment.
	lossDivisor  = 8
	minHomeBound = 2
)

// Place assigns groups to proxies and returns for each group its home followed
// by its fallback home. It is intended for homes that hold no claim on their groups,
// so that moving a group is cheap: suspect members get no groups while any
// member is alive, and unstable members get groups only while most members are
// unstable.
//
// Members of equal weight form a class. The classes get groups in proportion to their
// weights, and the members of a class equally many: each group is assigned to the member of
// the highest rendezvous value among those that have fewer groups than their share.
func (s *Snapshot) Place(groups []cluster.GroupName) map[cluster.GroupName][]Member {
	if s.joining {
		return nil
	}
	candidates, weights := s.placementCandidates()
	if len(candidates) == 0 {
		return nil
	}
	ordered := slices.Sorted(slices.Values(groups))
	placed := make(map[cluster.GroupName][]Member, len(ordered))
	classes := classesOf(candidates, weights)
	divide(classes, len(ordered), len(candidates))
	rest := ordered
	for i, c := range classes {
		share := rest[:c.homes]
		rest = rest[c.homes:]
		if i > 0 {
			// A group that is placed early may displace others. The ones at the limit to the
			// class before are those that change their class, and are placed last.
			slices.Reverse(share)
		}
		placeEvenly(placed, share, c.members)
	}
	if len(classes) > 1 {
		addFallbacks(placed, classes, candidates)
	}
	return placed
}

// placeEvenly assigns groups, in their order, to members of equal weight.
func placeEvenly(placed map[cluster.GroupName][]Member, groups []cluster.GroupName, members []Member) {
	if len(groups) == 0 {
		return
	}
	limit := (len(groups) + len(members) - 1) / len(members)
	values := newRendezvous(members)
	load := make([]int, len(members))
	for _, group := range groups {
		values.computeWeights(group)
		home := values.highest(func(i int) bool { return load[i] < limit })
		load[home]++
		placed[group] = []Member{members[home]}
		if len(members) > 1 {
			placed[group] = append(placed[group], members[values.nextLower(home)])
		}
	}
}

// addFallbacks adds the fallback homes of groups whose home is the only member of its class.
// They are chosen among the members that have homes as well, or else among all.
func addFallbacks(placed map[cluster.GroupName][]Member, classes []class, candidates []Member) {
	var members []Member
	for _, c := range classes {
		if c.homes > 0 {
			members = append(members, c.members...)
		}
	}
	if len(members) == 1 {
		members = candidates
	}
	values := newRendezvous(members)
	for group, homes := range placed {
		if len(homes) > 1 {
			continue
		}
		values.computeWeights(group)
		fallback := values.highest(func(i int) bool { return members[i].Key() != homes[0].Key() })
		placed[group] = append(homes, members[fallback])
	}
}

// class is the members of one weight.
type class struct {
	weight  uint32
	members []Member
	// homes is the number of groups that the members get in all.
	homes int
}

// classesOf returns the members by weight, the highest first. Their order within a class
// is kept.
func classesOf(members []Member, weights []uint32) []class {
	if !slices.ContainsFunc(weights, func(w uint32) bool { return w != weights[0] }) {
		return []class{{weight: weights[0], members: members}}
	}
	index := map[uint32]int{}
	var classes []class
	for i, m := range members {
		at, ok := index[weights[i]]
		if !ok {
			at = len(classes)
			index[weights[i]] = at
			classes = append(classes, class{weight: weights[i]})
		}
		classes[at].members = append(classes[at].members, m)
	}
	slices.SortFunc(classes, func(a, b class) int { return cmp.Compare(b.weight, a.weight) })
	return classes
}

// divide sets the number of homes of each class so that the highest number of homes of a
// member relative to its weight is as low as possible: it adds one home for each member of
// the class for which (homes + 1) / weight is lowest, until all groups are assigned. Of
// equal classes the one of the higher weight is first, which keeps the homes of large VMs
// in their place when small ones come and go.
func divide(classes []class, groups, members int) {
	bound := max(minHomeBound, (groups+lossDivisor-1)/lossDivisor, (groups+members-1)/members)
	level := make([]uint64, len(classes))
	for groups > 0 {
		lowest := -1
		for i, c := range classes {
			if level[i] < uint64(bound) &&
				(lowest < 0 || (level[i]+1)*uint64(classes[lowest].weight) < (level[lowest]+1)*uint64(c.weight)) {
				lowest = i
			}
		}
		n := min(groups, len(classes[lowest].members))
		level[lowest]++
		classes[lowest].homes += n
		groups -= n
	}
}

// Reason tells why a member is the home of a group.
type Reason struct {
	// Weight is the weight of the member, Known whether it is its own and not the median
	// of the others.
	Weight uint32
	Known  bool
	// Homes is the number of groups whose home the member is.
	Homes int
	// Rank is the member's position in the rendezvous order of the group among the Members
	// members of equal weight, from 1.
	Rank, Members int
}

// Reason returns why a member is the home of a group that was placed with others.
func (s *Snapshot) Reason(group cluster.GroupName, home Member, placed map[cluster.GroupName][]Member) Reason {
	reason := Reason{Weight: home.knownWeightOr(s.medianWeight()), Known: home.Weight != 0, Rank: 1}
	for _, homes := range placed {
		if homes[0].Key() == home.Key() {
			reason.Homes++
		}
	}
	candidates, weights := s.placementCandidates()
	for i, m := range candidates {
		if weights[i] != reason.Weight {
			continue
		}
		reason.Members++
		if compareWeights(group, m, home) > 0 {
			reason.Rank++
		}
	}
	return reason
}

// PlacesLike reports whether Place returns the same as for another snapshot, whatever the
// groups are.
func (s *Snapshot) PlacesLike(other *Snapshot) bool {
	members, weights := s.placementCandidates()
	otherMembers, otherWeights := other.placementCandidates()
	return s.joining == other.joining && slices.Equal(members, otherMembers) && slices.Equal(weights, otherWeights)
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
// are usable. The second result holds their weights; the median for those that are unknown.
func (s *Snapshot) placementCandidates() ([]Member, []uint32) {
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
		s.weights = make([]uint32, len(s.candidates))
		for i, m := range s.candidates {
			s.weights[i] = m.knownWeightOr(s.medianWeight())
		}
	})
	return s.candidates, s.weights
}

// Delegates returns up to n proxies that act on behalf of all proxies of a
// failure domain: the stable ones of the highest weights, and of the highest rendezvous
// values among equal ones, or any alive ones while fewer than n are stable. There are none in views of up to
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
	median := s.medianWeight()
	slices.SortFunc(chosen, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.knownWeightOr(median), a.knownWeightOr(median)), compareWeights(group, b, a))
	})
	return chosen[:min(n, len(chosen))]
}
