package rank

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// TestHighestPreferenceWins guards against a read that runs on the server that is preferred
// last instead of most, and against a server other than the one that Eligible accepted last,
// from which the caller takes its routing state.
func TestHighestPreferenceWins(t *testing.T) {
	for _, tt := range []struct {
		preferences  map[cluster.ServerID]int
		unfit, want  cluster.ServerID
		primaryReads int
	}{
		{map[cluster.ServerID]int{"s3": 2, "s4": 1}, "", "s3", 0},
		{map[cluster.ServerID]int{"s3": 1, "s4": 2}, "", "s4", 0},
		{map[cluster.ServerID]int{"s3": 1, "s4": 2}, "s4", "s3", 0},
		{map[cluster.ServerID]int{"s2": 1, "s3": 1, "s4": 1}, "", "s2", 0},
		{map[cluster.ServerID]int{"s1": 3, "s4": 1}, "", "s4", 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			d := New(Config{})
			defer d.Close()
			var servers []cluster.Server
			for _, id := range []cluster.ServerID{"s2", "s3", "s4", "s1"} {
				servers = append(servers, cluster.Server{ID: id, Slots: 2})
			}
			d.SetServers(servers)
			d.SetPrimary("s1", tt.primaryReads)
			var accepted cluster.ServerID
			slot, err := d.Acquire(t.Context(), Request{
				Rank: cluster.RankNormal, Lane: LaneRead, Deadline: time.Now().Add(time.Second),
				Eligible: func(id cluster.ServerID, _ time.Time) Eligibility {
					if id == tt.unfit {
						return Eligibility{}
					}
					accepted = id
					return Eligibility{OK: true, Reason: string(id)}
				},
				Prefers: func(id cluster.ServerID) int { return tt.preferences[id] },
			})
			if err != nil || slot.Server != tt.want || accepted != tt.want || slot.Reason != string(tt.want) {
				t.Fatalf("%v: %+v, accepted %s, %v", tt.preferences, slot, accepted, err)
			}
			slot.Release()
		})
	}
}
