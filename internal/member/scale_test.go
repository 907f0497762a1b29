package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
)

func benchTable(n int) *table {
	now := time.Now()
	t := newTable(Member{ID: "p0", Role: RoleProxy, Address: "p0:1", FailureDomain: "d0", Incarnation: 1}, now)
	for i := 1; i < n; i++ {
		m := Member{ID: fmt.Sprintf("front-latacunga-%d", i), Role: RoleProxy, Address: fmt.Sprintf("10.0.%d.%d:8782", i/250, i%250), FailureDomain: fmt.Sprintf("d%d", i%6), Incarnation: 1}
		t.observe(Report{Member: m, State: StateAlive, Stable: true}, now)
	}
	return t
}

func BenchmarkSnapshot(b *testing.B) {
	t := benchTable(300)
	for b.Loop() {
		t.snapshot()
	}
}

func BenchmarkPlaceFleet(b *testing.B) {
	s := benchTable(300).snapshot()
	var groups []cluster.GroupName
	for i := range 20 {
		groups = append(groups, cluster.GroupName(fmt.Sprintf("group%d", i)))
	}
	for b.Loop() {
		s.Place(groups)
	}
}

func BenchmarkDelegates(b *testing.B) {
	s := benchTable(300).snapshot()
	for b.Loop() {
		s.Delegates("d1", 2)
	}
}

func BenchmarkFindAll(b *testing.B) {
	s := benchTable(300).snapshot()
	for b.Loop() {
		for _, e := range s.entries {
			s.Find(e.Member.Key())
		}
	}
}

func BenchmarkPlacesLike(b *testing.B) {
	t := benchTable(300)
	s, other := t.snapshot(), t.snapshot()
	for b.Loop() {
		if !s.PlacesLike(other) {
			b.Fatal("the same members place differently")
		}
	}
}

// The order of entries is kept while members come, go and are forgotten.
func TestSnapshotIsOrdered(t *testing.T) {
	table := benchTable(300)
	for i := 1; i < 300; i += 7 {
		table.remove(Key{RoleProxy, fmt.Sprintf("front-latacunga-%d", i)})
	}
	table.observe(Report{Member: Member{ID: "a", Role: RoleProxy, Incarnation: 1}, State: StateAlive}, time.Now())
	entries := table.snapshot().entries
	if len(entries) != len(table.entries) || !slices.IsSortedFunc(entries, func(a, b Entry) int { return compareKeys(a.Member.Key(), b.Member.Key()) }) {
		t.Errorf("%d entries of %d, in order: %v", len(entries), len(table.entries), false)
	}
}

// A snapshot places like another one exactly if Place returns the same.
func TestPlacesLike(t *testing.T) {
	groups := []cluster.GroupName{"g1", "g2", "g3"}
	table := benchTable(20)
	before := table.snapshot()
	suspect := Key{RoleProxy, "front-latacunga-3"}
	for name, change := range map[string]func(){
		"no change":      func() {},
		"one is suspect": func() { table.markSuspect(suspect, time.Now()) },
		"one is gone":    func() { table.remove(Key{RoleProxy, "front-latacunga-5"}) },
		"one has started": func() {
			table.observe(Report{Member: Member{ID: "z", Role: RoleProxy, Incarnation: 1}, State: StateAlive}, time.Now())
		},
	} {
		change()
		after := table.snapshot()
		if same := cmp.Equal(before.Place(groups), after.Place(groups)); after.PlacesLike(before) && !same {
			t.Errorf("%s: groups are placed differently although PlacesLike reports the same", name)
		}
	}
}
