package member

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
)

func snapshotWith(n int, edit func(i int, e *Entry)) *Snapshot {
	var list []Entry
	for i := range n {
		e := Entry{Member: Member{ID: fmt.Sprintf("p%02d", i), Role: RoleProxy}, State: StateAlive, Stable: true}
		if edit != nil {
			edit(i, &e)
		}
		list = append(list, e)
	}
	return NewSnapshot(list)
}

func groupNames(n int) []cluster.GroupName {
	var names []cluster.GroupName
	for i := range n {
		names = append(names, cluster.GroupName(fmt.Sprintf("group-%d", i)))
	}
	return names
}

func TestPlacementIsEven(t *testing.T) {
	for _, tt := range []struct{ groups, members, most int }{{3, 7, 1}, {8, 78, 1}, {8, 5, 2}, {3, 1, 3}} {
		load := map[string]int{}
		placed := snapshotWith(tt.members, nil).Place(groupNames(tt.groups))
		for group, members := range placed {
			load[members[0].ID]++
			if tt.members > 1 && (len(members) < 2 || members[0].ID == members[1].ID) {
				t.Errorf("%s has no fallback home: %v", group, members)
			}
		}
		for id, n := range load {
			if n > tt.most {
				t.Errorf("%d groups on %d members: %s has %d", tt.groups, tt.members, id, n)
			}
		}
	}
}

func TestPlacementSkipsSuspectAndUnstableMembers(t *testing.T) {
	for _, tt := range []struct {
		name string
		edit func(i int, e *Entry)
		may  func(i int) bool
	}{
		{"suspect members get no groups", func(i int, e *Entry) {
			if i < 4 {
				e.State = StateSuspect
			}
		}, func(i int) bool { return i >= 4 }},
		{"a minority of unstable members gets no groups", func(i int, e *Entry) { e.Stable = i >= 3 }, func(i int) bool { return i >= 3 }},
		{"a majority of unstable members gets groups", func(i int, e *Entry) { e.Stable = i == 0 }, func(int) bool { return true }},
		{"leaving members get no groups", func(i int, e *Entry) {
			if i != 6 {
				e.State = StateLeaving
			}
		}, func(i int) bool { return i == 6 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			homes := map[string]bool{}
			for _, members := range snapshotWith(7, tt.edit).Place(groupNames(7)) {
				homes[members[0].ID] = true
			}
			for i := range 7 {
				if id := fmt.Sprintf("p%02d", i); homes[id] && !tt.may(i) {
					t.Errorf("%s has a group", id)
				}
			}
			if tt.name == "a majority of unstable members gets groups" && len(homes) != 7 {
				t.Errorf("%d homes for 7 groups", len(homes))
			}
		})
	}
}

// TestPlacementMatchesSortByWeight compares the placement with a reference that
// sorts all members by weight for each group.
func TestPlacementMatchesSortByWeight(t *testing.T) {
	for _, size := range []int{1, 2, 3, 17} {
		var entries []Entry
		for i := range size {
			entries = append(entries, Entry{Member: proxyNamed(fmt.Sprint("p", i), 1), State: StateAlive, Stable: true})
		}
		var groups []cluster.GroupName
		for i := range 40 {
			groups = append(groups, cluster.GroupName(fmt.Sprint("g", i)))
		}
		slices.Sort(groups)
		want, load := map[cluster.GroupName][]Member{}, map[Key]int{}
		for _, g := range groups {
			var members []Member
			for _, e := range entries {
				members = append(members, e.Member)
			}
			slices.SortFunc(members, func(a, b Member) int { return compareWeights(g, b, a) })
			home := slices.IndexFunc(members, func(m Member) bool { return load[m.Key()] < (len(groups)+size-1)/size })
			load[members[home].Key()]++
			want[g] = []Member{members[home]}
			if size > 1 {
				want[g] = append(want[g], members[(home+1)%size])
			}
		}
		if diff := cmp.Diff(want, NewSnapshot(entries).Place(groups)); diff != "" {
			t.Errorf("%d members (-want +got):\n%s", size, diff)
		}
	}
}

// BenchmarkPlace measures placement at up to the sizes that users have specified,
// with about two and a half groups per member.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []int{30, 100, 300, 1900} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			var entries []Entry
			var groups []cluster.GroupName
			for i := range size {
				entries = append(entries, Entry{Member: proxyNamed(fmt.Sprint("p", i), 1), State: StateAlive, Stable: true})
				groups = append(groups, cluster.GroupName(fmt.Sprint("g", i)), cluster.GroupName(fmt.Sprint("h", i)))
			}
			s := NewSnapshot(entries)
			for b.Loop() {
				s.Place(groups)
			}
		})
	}
}
