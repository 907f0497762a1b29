package failover

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

func TestDiscardedRecordsMayBeLostOnlyWhenThePrimaryAloneAcknowledges(t *testing.T) {
	old := cluster.ServerStatus{Server: "s1", Term: 1, Received: cluster.Position{Term: 1, Offset: 9}}
	primary := cluster.ServerStatus{Server: "s2", Term: 2}
	tests := []struct {
		name      string
		ranks     environment.Ranks
		mayBeLost bool
	}{
		{"every rank waits for a majority", environment.Ranks{Urgent: environment.RankPolicy{Ack: environment.AckMajority}}, false},
		{"one rank does not wait", environment.Ranks{Background: environment.RankPolicy{Ack: environment.AckPrimary}}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			spec := SpecOf(environment.Group{Name: "g"}, test.ranks, "w1", 0, func(string) bool { return false })
			r := discardRecord(spec, old, primary, time.Unix(0, 0))
			if got := r.MayBeLost != ""; got != test.mayBeLost || (r.Discarded == "") != test.mayBeLost {
				t.Fatalf("record %+v", r)
			}
		})
	}
}
