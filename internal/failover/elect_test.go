package failover

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

// specOf returns a group of servers s1, s2, ... in failure domains d1, d2, ...
func specOf(size int) GroupSpec {
	spec := GroupSpec{Name: "g", Warden: "w", Leaving: map[cluster.ServerID]bool{}}
	for i := range size {
		n := string(rune('1' + i))
		spec.Servers = append(spec.Servers, cluster.Server{ID: cluster.ServerID("s" + n), FailureDomain: "d" + n})
	}
	return spec
}

func sealedStatus(id cluster.ServerID, term cluster.Term, offset uint64) cluster.ServerStatus {
	return cluster.ServerStatus{
		Server: id, Role: cluster.RoleSealed, Term: 4, SealHolder: "w/1",
		Received: cluster.Position{Term: term, Offset: offset},
	}
}

func TestElect(t *testing.T) {
	tests := []struct {
		name    string
		sealed  []cluster.ServerStatus
		prefer  []string
		leaving cluster.ServerID
		avoid   cluster.ServerID
		want    cluster.ServerID
	}{
		{"highest offset", []cluster.ServerStatus{sealedStatus("s2", 1, 5), sealedStatus("s3", 1, 7)}, nil, "", "", "s3"},
		{"highest term before offset", []cluster.ServerStatus{sealedStatus("s2", 2, 5), sealedStatus("s3", 1, 7)}, nil, "", "", "s2"},
		{"tie broken by domain", []cluster.ServerStatus{sealedStatus("s2", 1, 5), sealedStatus("s3", 1, 5)}, []string{"d3", "d1"}, "", "", "s3"},
		{"position before domain", []cluster.ServerStatus{sealedStatus("s2", 1, 6), sealedStatus("s3", 1, 5)}, []string{"d3"}, "", "", "s2"},
		{"tie broken against leaving", []cluster.ServerStatus{sealedStatus("s2", 1, 5), sealedStatus("s3", 1, 5)}, []string{"d2"}, "s2", "", "s3"},
		{"tie broken by ID", []cluster.ServerStatus{sealedStatus("s3", 1, 5), sealedStatus("s2", 1, 5)}, nil, "", "", "s2"},
		{"position before leaving", []cluster.ServerStatus{sealedStatus("s2", 1, 6), sealedStatus("s3", 1, 5)}, nil, "s2", "", "s2"},
		{"avoided with all sealed", []cluster.ServerStatus{sealedStatus("s1", 1, 9), sealedStatus("s2", 1, 6), sealedStatus("s3", 1, 5)}, nil, "", "s1", "s2"},
		{"avoided but the only one known to have every write", []cluster.ServerStatus{sealedStatus("s1", 1, 9), sealedStatus("s2", 1, 6)}, nil, "", "s1", "s1"},
		{"avoided on a tie", []cluster.ServerStatus{sealedStatus("s1", 1, 9), sealedStatus("s2", 1, 9)}, nil, "", "s1", "s2"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			spec := specOf(3)
			spec.Policy = environment.Promotion{PreferDomains: tt.prefer}
			spec.Leaving[tt.leaving] = true
			if got := elect(spec, tt.sealed, tt.avoid).Server; got != tt.want {
				t.Errorf("elected %s, want %s", got, tt.want)
			}
		})
	}
}

// TestElectedHasEveryMajorityWrite draws logs in which one write is stored by a
// majority and checks that any majority of seals elects a server that has it.
func TestElectedHasEveryMajorityWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 7).Draw(t, "size")
		spec := specOf(size)
		acked := rapid.Uint64Range(1, 9).Draw(t, "acked")
		order := rapid.Permutation(ids(spec)).Draw(t, "order")
		offsets := map[cluster.ServerID]uint64{}
		for i, id := range order {
			offsets[id] = rapid.Uint64Range(0, 9).Draw(t, "offset")
			if i < spec.majority() {
				offsets[id] = max(offsets[id], acked)
			}
		}
		sealOrder := rapid.Permutation(ids(spec)).Draw(t, "voters")
		count := rapid.IntRange(spec.majority(), size).Draw(t, "count")
		var sealed []cluster.ServerStatus
		for _, id := range sealOrder[:count] {
			sealed = append(sealed, sealedStatus(id, 1, offsets[id]))
		}
		avoid := rapid.SampledFrom(append(ids(spec), "")).Draw(t, "avoid")
		if got := elect(spec, sealed, avoid); got.Received.Offset < acked {
			t.Fatalf("elected %s at %d, below the acknowledged %d", got.Server, got.Received.Offset, acked)
		}
	})
}

func ids(spec GroupSpec) []cluster.ServerID {
	var all []cluster.ServerID
	for _, s := range spec.Servers {
		all = append(all, s.ID)
	}
	return all
}

func TestNextTerm(t *testing.T) {
	tests := []struct {
		above           cluster.Term
		withoutMajority bool
		want            cluster.Term
	}{
		{0, false, 2},
		{1, false, 2},
		{2, false, 4},
		{3, false, 4},
		{0, true, 1},
		{1, true, 3},
		{2, true, 3},
		{3, true, 5},
	}
	for _, tt := range tests {
		if got := nextTerm(tt.above, tt.withoutMajority); got != tt.want {
			t.Errorf("nextTerm(%d, %v) = %d, want %d", tt.above, tt.withoutMajority, got, tt.want)
		}
	}
}
