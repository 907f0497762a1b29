package member

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"github.com/rattancove/rattancove/internal/cluster"
)

func TestWeightFollowsTheScarcestLimit(t *testing.T) {
	for _, tt := range []struct {
		capacity Capacity
		weight   uint32
		limit    string
	}{
		{Capacity{RAMBytes: 284 << 20}, 0, "unknown"},
		{Capacity{CPUShare: 0.192, LinkMbps: 10, RAMBytes: 184 << 20}, 16, "cpu_share"},
		{Capacity{CPUShare: 0.193, LinkMbps: 10, RAMBytes: 184 << 20}, 16, "cpu_share"},
		{Capacity{CPUShare: 0.8, LinkMbps: 200, RAMBytes: 536 << 20}, 64, "cpu_share"},
		{Capacity{CPUShare: 0.8, LinkMbps: 10, RAMBytes: 536 << 20}, 16, "link_mbps"},
		{Capacity{CPUShare: 0.8, LinkMbps: 200, RAMBytes: 64 << 20}, 16, "ram_mb"},
		{Capacity{CPUShare: 0.12}, 12, "cpu_share"},
		{Capacity{LinkMbps: 10}, 16, "link_mbps"},
		{Capacity{CPUShare: 1e-6}, 1, "cpu_share"},
		{Capacity{CPUShare: math.NaN(), LinkMbps: -1}, 0, "unknown"},
		{Capacity{CPUShare: 1e9, LinkMbps: 1e9}, maxWeight, "cpu_share"},
	} {
		weight, limit := tt.capacity.Weight()
		if weight != tt.weight || limit != tt.limit {
			t.Errorf("%+v: %d by %s, want %d by %s", tt.capacity, weight, limit, tt.weight, tt.limit)
		}
	}
}

// placeWithoutWeights is the placement from before members had weights.
func placeWithoutWeights(s *Snapshot, groups []cluster.GroupName) map[cluster.GroupName][]Member {
	candidates, _ := s.placementCandidates()
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

// TestEqualWeightsPlaceAsWithoutWeights guards against a move of any home by an upgrade to
// this version where no VM states its capacity, or all state the same. The weights are equal
// as well while only some of the members have sent theirs.
func TestEqualWeightsPlaceAsWithoutWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weight := rapid.SampledFrom([]uint32{0, 1, 16, 1 << 31}).Draw(rt, "weight")
		all := rapid.Bool().Draw(rt, "all known")
		s := snapshotWith(rapid.IntRange(0, 40).Draw(rt, "members"), func(_ int, e *Entry) {
			e.State = rapid.SampledFrom([]State{StateAlive, StateAlive, StateAlive, StateSuspect, StateLeaving, StateDead}).Draw(rt, "state")
			e.Stable = rapid.Bool().Draw(rt, "stable")
			if all || rapid.Bool().Draw(rt, "known") {
				e.Member.Weight = weight
			}
		})
		groups := groupNames(rapid.IntRange(0, 90).Draw(rt, "groups"))
		if diff := cmp.Diff(placeWithoutWeights(s, groups), s.Place(groups)); diff != "" {
			rt.Errorf("(-without weights +got):\n%s", diff)
		}
	})
}

// homesOf returns the number of homes of each member.
func homesOf(placed map[cluster.GroupName][]Member) map[string]int {
	homes := map[string]int{}
	for _, members := range placed {
		homes[members[0].ID]++
	}
	return homes
}

// TestHomesFollowWeights guards against homes on small VMs while large ones have capacity
// left, against more homes of one VM than may be lost with it, and against a fallback home
// that is the home itself.
func TestHomesFollowWeights(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		members, groups := rapid.IntRange(1, 30).Draw(rt, "members"), rapid.IntRange(0, 100).Draw(rt, "groups")
		weights := map[string]uint32{}
		s := snapshotWith(members, func(_ int, e *Entry) {
			e.Member.Weight = rapid.SampledFrom([]uint32{1, 2, 3, 4, 16}).Draw(rt, "weight")
			weights[e.Member.ID] = e.Member.Weight
		})
		placed := s.Place(groupNames(groups))
		homes, total := homesOf(placed), 0
		bound := max(2, int(math.Ceil(float64(groups)/8)), int(math.Ceil(float64(groups)/float64(members))))
		for id, n := range homes {
			total += n
			if n > bound {
				rt.Errorf("%s has %d of %d groups", id, n, groups)
			}
			for other, weight := range weights {
				// Within a class one member may have a home more than another, as without weights.
				if n*int(weight) > (homes[other]+1)*int(weights[id]) && homes[other] < bound && weight != weights[id] &&
					!slices.ContainsFunc(s.entries, func(e Entry) bool {
						return weights[e.Member.ID] == weight && homes[e.Member.ID] > homes[other]
					}) {
					rt.Errorf("%s of weight %d has %d homes, %s of weight %d has %d", id, weights[id], n, other, weight, homes[other])
				}
			}
		}
		if total != groups {
			rt.Errorf("%d of %d groups placed", total, groups)
		}
		for group, m := range placed {
			if members > 1 && (len(m) != 2 || m[0].ID == m[1].ID) {
				rt.Errorf("%s has no fallback home: %v", group, m)
			}
		}
	})
}

// weightedFleet returns a view of n VMs, of which every thirteenth is large.
func weightedFleet(n int) []Entry {
	var entries []Entry
	for i := range n {
		entries = append(entries, weightedEntry(i))
	}
	return entries
}

func weightedEntry(i int) Entry {
	e := Entry{Member: fleetMember(i), State: StateAlive, Stable: true}
	e.Member.Weight = 16
	if i%13 == 0 {
		e.Member.Weight = 64
	}
	return e
}

// TestHomesAreOnLargeVMs is the deployment that placement by capacity is for: 73 VMs of 0.192
// cores and 6 of 0.8 with 8 groups, where the homes were nearly all on the small ones.
func TestHomesAreOnLargeVMs(t *testing.T) {
	entries := weightedFleet(79)[1:] // 78 of them, 6 large
	s := NewSnapshot(entries)
	placed := s.Place(groupNames(8))
	for group, members := range placed {
		for i, m := range members {
			if m.Weight != 64 {
				t.Errorf("%s: place %d is %+v", group, i, m)
			}
		}
		if got := s.Reason(group, members[0], placed); got.Weight != 64 || !got.Known || got.Homes < 1 || got.Homes > 2 ||
			got.Rank < 1 || got.Rank > 6 || got.Members != 6 {
			t.Errorf("%s: %+v", group, got)
		}
	}
	for _, m := range s.Delegates("d1", 1) {
		if m.Weight != 64 {
			t.Errorf("delegate %+v", m)
		}
	}
}

// TestFallbackHomesAreLarge guards against a fallback home on a small VM where the home is
// the only VM of its weight and another large one has homes.
func TestFallbackHomesAreLarge(t *testing.T) {
	s := snapshotWith(20, func(i int, e *Entry) { e.Member.Weight = []uint32{64, 48, 1}[min(i, 2)] })
	for group, members := range s.Place(groupNames(4)) {
		if members[0].Weight < 48 || members[1].Weight < 48 {
			t.Errorf("%s: %v", group, members)
		}
	}
}

// TestPlacementMovesFewHomes guards against homes that move although neither their VM nor
// the one that comes or goes is concerned. The least possible number of moves is the number
// of homes of the VM that comes or goes.
func TestPlacementMovesFewHomes(t *testing.T) {
	for _, tt := range []struct {
		members, groups, trials int
		// allowed is the highest number of moves for each unavoidable one, and spare the
		// moves in addition that are allowed for each change.
		allowed, spare float64
	}{{79, 8, 6, 3, 1}, {300, 30, 23, 3, 1}, {1900, 4700, 3, 8, 0}} {
		groups := groupNames(tt.groups)
		equal, weighted := weightedFleet(tt.members), weightedFleet(tt.members)
		for i := range equal {
			equal[i].Member.Weight = 0
		}
		for _, fleet := range []struct {
			name    string
			entries []Entry
			// first is the first VM that leaves; every thirteenth one after it does as well.
			first int
		}{{"equal", equal, 1}, {"by capacity, small", weighted, 1}, {"by capacity, large", weighted, 0}} {
			with := NewSnapshot(fleet.entries).Place(groups)
			moved, least := 0, 0
			for trial := range tt.trials {
				gone := fleet.first + trial*13
				without := NewSnapshot(slices.Concat(fleet.entries[:gone], fleet.entries[gone+1:])).Place(groups)
				for g, members := range with {
					if members[0].ID != without[g][0].ID {
						moved++
					}
				}
				least += homesOf(with)[fleet.entries[gone].Member.ID]
			}
			changes := float64(tt.trials)
			t.Logf("%d VMs, %d groups, %s: %.2f homes (%.2f%%) move at one leave or join, at least %.2f", tt.members, tt.groups,
				fleet.name, float64(moved)/changes, 100*float64(moved)/changes/float64(tt.groups), float64(least)/changes)
			if float64(moved) > tt.allowed*float64(least)+tt.spare*changes {
				t.Errorf("%d VMs, %s: %d homes moved in %d changes, at least %d had to", tt.members, fleet.name, moved, tt.trials, least)
			}
		}
	}
}

// TestWeightIsLearnedOnceAndKept guards against homes that move back and forth when reports
// with and without a weight arrive in any order, and against a weight that is not used, or not
// passed on, because the member was heard of first through a process of an earlier version.
func TestWeightIsLearnedOnceAndKept(t *testing.T) {
	now := time.Now()
	table := newTable(proxyNamed("a", 1), now)
	weighted := func(incarnation uint64, weight uint32) Report {
		m := proxyNamed("b", incarnation)
		m.Weight = weight
		return Report{Member: m, State: StateAlive, Stable: true}
	}
	for i, tt := range []struct {
		report  Report
		changed bool
		weight  uint32
	}{
		{weighted(1, 0), true, 0},
		{weighted(1, 64), true, 64},
		{weighted(1, 0), false, 64},
		{weighted(1, 16), false, 64},
		{weighted(2, 0), true, 0}, // restarted with an earlier version
		{weighted(1, 64), false, 0},
		{weighted(2, 16), true, 16},
	} {
		before := table.snapshot()
		now = now.Add(time.Millisecond)
		changed := table.observe(tt.report, now)
		e := table.entries[tt.report.Member.Key()]
		if changed != tt.changed || e.Member.Weight != tt.weight {
			t.Errorf("report %d: changed %v, weight %d", i, changed, e.Member.Weight)
		}
		if changed && e.sendsLeft == 0 {
			t.Errorf("report %d is not passed on", i)
		}
		if changed && table.snapshot().PlacesLike(before) {
			t.Errorf("report %d: the placement does not follow", i)
		}
		e.sendsLeft = 0
	}
}

// TestWeightIsLearnedFromALease guards against a weight that is known only after a direct
// ping, which may take a pass over all members, while the row states it.
func TestWeightIsLearnedFromALease(t *testing.T) {
	m := New(Config{Self: proxyNamed("a", 1)})
	b := proxyNamed("b", 1)
	m.table.observe(Report{Member: b, State: StateSuspect}, time.Now())
	b.Weight = 64
	m.discover([]leaseValue{{Member: b, State: StateAlive}})
	if e, _ := m.Snapshot().Find(b.Key()); e.Member.Weight != 64 || e.State != StateSuspect {
		t.Errorf("%+v", e)
	}
}

// TestUnknownWeightIsTheMedian guards against members without a weight that get no homes, or
// all of them, and against a median that changes while a member is suspect.
func TestUnknownWeightIsTheMedian(t *testing.T) {
	for _, tt := range []struct {
		name    string
		weights []uint32
		edit    func(i int, e *Entry)
		want    uint32
		unequal bool
	}{
		{"none is known", []uint32{0, 0, 0}, nil, 1, false},
		{"one is known", []uint32{0, 64, 0}, nil, 64, false},
		{"some are known", []uint32{0, 64, 16, 16}, nil, 16, true},
		{"the lower one of two", []uint32{0, 64, 16}, nil, 16, true},
		{"suspect and leaving members count", []uint32{0, 16, 64, 64}, func(i int, e *Entry) {
			e.State = []State{StateAlive, StateAlive, StateSuspect, StateLeaving}[i]
		}, 64, true},
		{"dead members and wardens do not", []uint32{0, 16, 64, 64, 64, 64}, func(i int, e *Entry) {
			if i == 2 || i == 3 {
				e.State = StateDead
			}
			if i >= 4 {
				e.Member.Role = RoleWarden
			}
		}, 16, false},
	} {
		s := snapshotWith(len(tt.weights), func(i int, e *Entry) {
			e.Member.Weight = tt.weights[i]
			if tt.edit != nil {
				tt.edit(i, e)
			}
		})
		if s.UnequalWeights() != tt.unequal {
			t.Errorf("%s: unequal %v", tt.name, !tt.unequal)
		}
		if _, weights := s.placementCandidates(); weights[0] != tt.want {
			t.Errorf("%s: %d, want %d", tt.name, weights[0], tt.want)
		}
	}
}

// TestMedianMovesHomes guards against PlacesLike missing a weight that only other members
// have changed.
func TestMedianMovesHomes(t *testing.T) {
	view := func(last State) *Snapshot {
		return snapshotWith(5, func(i int, e *Entry) {
			e.Member.Weight = []uint32{0, 0, 16, 64, 64}[i]
			if i == 4 {
				e.State = last
			}
		})
	}
	if view(StateLeaving).PlacesLike(view(StateDead)) {
		t.Error("the median has changed, but PlacesLike reports the same")
	}
}

// TestDelegatesPreferWeight guards against a small VM that follows the store for its
// failure domain while a large one could, and against an order that changes with the
// placement where all are equal.
func TestDelegatesPreferWeight(t *testing.T) {
	equal, weighted := fleetTable(fleetSize).snapshot(), NewSnapshot(weightedFleet(fleetSize))
	for d := range 6 {
		domain := fmt.Sprint("d", d)
		for _, m := range weighted.Delegates(domain, 2) {
			if m.Weight != 64 {
				t.Errorf("%s: %+v", domain, m)
			}
		}
		members := equal.Usable(RoleProxy)
		members = slices.DeleteFunc(members, func(m Member) bool { return m.FailureDomain != domain || m.ID == "front-0" })
		slices.SortFunc(members, func(a, b Member) int { return compareWeights(cluster.GroupName(domain), b, a) })
		if diff := cmp.Diff(members[:2], equal.Delegates(domain, 2)); diff != "" {
			t.Errorf("%s (-without weights +got):\n%s", domain, diff)
		}
		some := weightedFleet(fleetSize)
		for i := range some {
			some[i].Member.Weight = uint32(i%4/2) * 16
		}
		for i, m := range NewSnapshot(some).Delegates(domain, 2) {
			if m.ID != members[i].ID {
				t.Errorf("%s: delegate %d is %s where some members have sent the same weight, want %s", domain, i, m.ID, members[i].ID)
			}
		}
	}
}

// weightlessPinger is the network of a fleet in which processes with names from "old" on are
// of an earlier version, which neither sends nor passes on weights.
type weightlessPinger struct{ testPinger }

func (p weightlessPinger) Ping(ctx context.Context, address string, message PingMessage) (PingMessage, error) {
	if strings.HasPrefix(p.from, "old") || strings.HasPrefix(address, "old") {
		message = withoutWeights(message)
	}
	reply, err := p.testPinger.Ping(ctx, address, message)
	if strings.HasPrefix(p.from, "old") || strings.HasPrefix(address, "old") {
		reply = withoutWeights(reply)
	}
	return reply, err
}

func withoutWeights(m PingMessage) PingMessage {
	m.From.Member.Weight, m.Members = 0, slices.Clone(m.Members)
	for i := range m.Members {
		m.Members[i].Member.Weight = 0
	}
	return m
}

// TestHomesMoveOnceWhenALargeVMJoins guards against homes that move back and forth, or more
// than once, while the weight of a VM that starts reaches the others, some through processes
// of an earlier version.
func TestHomesMoveOnceWhenALargeVMJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net, stop := newTestNet(t)
		defer stop()
		for i := range 24 {
			net.startWeighted(fmt.Sprint("new", i), uint32(16+48*(i%12/11)), "new0:1", "old0:1")
		}
		for i := range 4 {
			net.startWeighted(fmt.Sprint("old", i), 0, "new0:1")
		}
		time.Sleep(40 * time.Second)
		groups := groupNames(6)
		views := map[string][]string{}
		watch := func() {
			for address, m := range net.members {
				if strings.HasPrefix(address, "old") {
					continue
				}
				placed, homes := m.Snapshot().Place(groups), ""
				for _, g := range groups {
					if len(placed[g]) > 0 {
						homes += " " + placed[g][0].ID
					}
				}
				if seen := views[address]; homes != "" && (len(seen) == 0 || seen[len(seen)-1] != homes) {
					views[address] = append(seen, homes)
				}
			}
		}
		watch()
		large := net.startWeighted("new-large", 64, "old0:1")
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			watch()
		}
		want := ""
		for _, homes := range views {
			want = homes[len(homes)-1]
		}
		if !strings.Contains(want, "new-large") {
			t.Errorf("the VM that joined got no home:%s", want)
		}
		for address, homes := range views {
			if address != large.cfg.Self.Address && len(homes) != 2 || homes[len(homes)-1] != want {
				t.Errorf("%s:%q", address, homes)
			}
		}
	})
}

func (n *testNet) startWeighted(id string, weight uint32, seeds ...string) *Membership {
	self := Member{ID: id, Role: RoleProxy, Address: id + ":1", Incarnation: 1, Weight: weight}
	m := New(Config{
		Self: self, Seeds: seeds, Table: n.table, VMs: n.vms, Log: zerolog.Nop(),
		Pinger: weightlessPinger{testPinger{n, self.Address}}, Rand: rand.New(rand.NewPCG(1, uint64(len(n.members)))),
	})
	n.mu.Lock()
	n.members[self.Address] = m
	n.mu.Unlock()
	n.wg.Go(func() { _ = m.Run(n.ctx) })
	return m
}
