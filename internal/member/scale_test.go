package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
)

// fleetSize is the number of members of a large fleet.
const fleetSize = 300

// fleetMember returns the i-th member of a fleet in six failure domains.
func fleetMember(i int) Member {
	return Member{
		ID: fmt.Sprintf("front-%d", i), Role: RoleProxy, Address: fmt.Sprintf("10.0.%d.%d:8782", i/250, i%250),
		FailureDomain: fmt.Sprintf("d%d", i%6), Incarnation: 1,
	}
}

// fleetTable returns the view that member 0 has of n members.
func fleetTable(n int) *table {
	now := time.Now()
	t := newTable(fleetMember(0), now)
	for i := 1; i < n; i++ {
		t.observe(Report{Member: fleetMember(i), State: StateAlive, Stable: true}, now)
	}
	return t
}

func BenchmarkSnapshot(b *testing.B) {
	t := fleetTable(fleetSize)
	for b.Loop() {
		t.snapshot()
	}
}

func BenchmarkPlaceFleet(b *testing.B) {
	s := fleetTable(fleetSize).snapshot()
	var groups []cluster.GroupName
	for i := range 20 {
		groups = append(groups, cluster.GroupName(fmt.Sprintf("group%d", i)))
	}
	for b.Loop() {
		s.Place(groups)
	}
}

func BenchmarkDelegates(b *testing.B) {
	s := fleetTable(fleetSize).snapshot()
	for b.Loop() {
		s.Delegates("d1", 2)
	}
}

func BenchmarkPlacesLike(b *testing.B) {
	t := fleetTable(fleetSize)
	s, other := t.snapshot(), t.snapshot()
	for b.Loop() {
		if !s.PlacesLike(other) {
			b.Fatal("the same members place differently")
		}
	}
}

// The order of entries is kept while members come, go and are forgotten.
func TestSnapshotIsOrdered(t *testing.T) {
	table := fleetTable(fleetSize)
	for i := 1; i < fleetSize; i += 7 {
		table.remove(fleetMember(i).Key())
	}
	table.observe(Report{Member: Member{ID: "a", Role: RoleProxy, Incarnation: 1}, State: StateAlive}, time.Now())
	entries := table.snapshot().entries
	if len(entries) != len(table.entries) {
		t.Errorf("%d entries, want %d", len(entries), len(table.entries))
	}
	if !slices.IsSortedFunc(entries, func(a, b Entry) int { return compareKeys(a.Member.Key(), b.Member.Key()) }) {
		t.Error("the entries are not in the order of their keys")
	}
}

// Groups keep their places while PlacesLike reports that nothing moved. It must not miss a
// change that moves one.
func TestPlacesLike(t *testing.T) {
	groups := []cluster.GroupName{"g1", "g2", "g3"}
	table := fleetTable(20)
	before := table.snapshot()
	for _, tt := range []struct {
		name   string
		change func()
		same   bool
	}{
		{"no change", func() {}, true},
		{"one has started and is not stable yet", func() {
			table.observe(Report{Member: fleetMember(20), State: StateAlive}, time.Now())
		}, true},
		{"one is suspect", func() { table.markSuspect(fleetMember(3).Key(), time.Now()) }, false},
		{"one is gone", func() { table.remove(fleetMember(5).Key()) }, false},
	} {
		tt.change()
		after := table.snapshot()
		if got := after.PlacesLike(before); got != tt.same {
			t.Errorf("%s: PlacesLike reports %v, want %v", tt.name, got, tt.same)
		}
		if after.PlacesLike(before) && !cmp.Equal(before.Place(groups), after.Place(groups)) {
			t.Errorf("%s: groups moved although PlacesLike reports the same", tt.name)
		}
		before = after
	}
}
