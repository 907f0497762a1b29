package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Snapshot is the view at one point in time. It is immutable and safe for concurrent use.
type Snapshot struct {
	entries []Entry
	// joining is set while a process that has just started has had no direct
	// contact with another member.
	joining bool
	// homes caches HomeOf by group.
	homes sync.Map
	// candidates and weights cache placementCandidates.
	candidatesOnce sync.Once
	candidates     []Member
	weights        []uint32
	// median and unequal cache medianWeight and UnequalWeights.
	medianOnce sync.Once
	median     uint32
	unequal    bool
}

// NewSnapshot returns a view of the given entries.
func NewSnapshot(entries []Entry) *Snapshot { return &Snapshot{entries: entries} }

// Entries returns all members, including dead ones, ordered by role and id.
func (s *Snapshot) Entries() []Entry { return slices.Clone(s.entries) }

// Usable returns the members of a role that may be assigned work: those that
// are alive or suspect.
func (s *Snapshot) Usable(role Role) []Member {
	var members []Member
	for _, e := range s.entries {
		if e.Member.Role == role && e.usable() {
			members = append(members, e.Member)
		}
	}
	return members
}

// Find returns a member by key. The second result is false for an unknown key.
func (s *Snapshot) Find(key Key) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(s.entries, key, func(e Entry, k Key) int {
		return compareKeys(e.Member.Key(), k)
	})
	if !ok {
		return Entry{}, false
	}
	return s.entries[i], true
}

// HomeOf returns the proxy that should be the home of group. Proxies that are
// not yet stable are chosen only when no stable one is usable. The second
// result is false when no proxy is usable, and while this process is joining.
func (s *Snapshot) HomeOf(group cluster.GroupName) (Member, bool) {
	if s.joining {
		return Member{}, false
	}
	if m, ok := s.homes.Load(group); ok {
		return m.(Member), true
	}
	candidates := s.homeCandidates()
	if len(candidates) == 0 {
		return Member{}, false
	}
	home := slices.MaxFunc(candidates, func(a, b Member) int {
		return compareWeights(group, a, b)
	})
	s.homes.Store(group, home)
	return home, true
}

func (s *Snapshot) homeCandidates() []Member {
	var stable []Member
	for _, e := range s.entries {
		if e.Member.Role == RoleProxy && e.usable() && e.Stable {
			stable = append(stable, e.Member)
		}
	}
	if len(stable) > 0 {
		return stable
	}
	return s.Usable(RoleProxy)
}

// WardensOf returns up to n wardens that are responsible for group, in order of
// precedence. Wardens in failure domains that are not yet represented come
// first.
func (s *Snapshot) WardensOf(group cluster.GroupName, n int) []Member {
	wardens := s.Usable(RoleWarden)
	slices.SortFunc(wardens, func(a, b Member) int { return compareWeights(group, b, a) })
	return SpreadDomains(wardens, n)
}

// SpreadDomains selects up to n members in the given order: first one of each
// failure domain, then a second one of each, and so on.
func SpreadDomains(members []Member, n int) []Member {
	perDomain := map[string]int{}
	type ranked struct {
		member Member
		round  int
	}
	order := make([]ranked, 0, len(members))
	for _, m := range members {
		order = append(order, ranked{m, perDomain[m.FailureDomain]})
		perDomain[m.FailureDomain]++
	}
	slices.SortStableFunc(order, func(a, b ranked) int { return cmp.Compare(a.round, b.round) })
	var picked []Member
	for _, p := range order[:min(n, len(order))] {
		picked = append(picked, p.member)
	}
	return picked
}

// compareWeights orders members by their rendezvous weight for a group.
func compareWeights(group cluster.GroupName, a, b Member) int {
	return cmp.Or(cmp.Compare(weight(group, a), weight(group, b)), compareKeys(a.Key(), b.Key()))
}

// weight returns the rendezvous weight of a member for a group. It hashes the
// two names' hashes instead of the names, so that the weights of similar names
// do not correlate.
func weight(group cluster.GroupName, m Member) uint64 {
	return weightOf(xxhash.Sum64String(string(group)), hashOf(m))
}

func hashOf(m Member) uint64 { return xxhash.Sum64String(m.Key().String()) }

func weightOf(group, member uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], group)
	binary.LittleEndian.PutUint64(buf[8:], member)
	return xxhash.Sum64(buf[:])
}
