package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/member"
)

// TestWeightFollowsTheSettings guards against a capacity that does not reach the peers, and
// against a weight, or reads that prefer their failure domain, where the settings state only
// the memory of the VM, as they do for earlier versions.
func TestWeightFollowsTheSettings(t *testing.T) {
	for _, tt := range []struct {
		config Config
		weight uint32
	}{
		{Config{MemoryLimit: 284 << 20}, 0},
		{Config{MemoryLimit: 284 << 20, CPUShare: 0.8, LinkMbps: 200}, 64},
		{Config{MemoryLimit: 64 << 20, CPUShare: 0.8, LinkMbps: 200}, 16},
		{Config{CPUShare: 0.8, LinkMbps: 10}, 16},
	} {
		tt.config.ID, tt.config.FailureDomain = "p0", "d"
		e, err := New(tt.config, Adapters{}, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		self, _ := e.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: "p0"})
		if self.Member.Weight != tt.weight || placementWeight.Get() != uint64(tt.weight) {
			t.Errorf("%+v: weight %d, metric %d, want %d", tt.config, self.Member.Weight, placementWeight.Get(), tt.weight)
		}
		if got := e.homeConfig().FailureDomain; (got == "d") != (tt.weight > 0) {
			t.Errorf("%+v: reads prefer domain %q", tt.config, got)
		}
	}
}

// TestStartedHomeIsLoggedWithItsReason guards against a placement that cannot be explained
// afterwards, and against a count of homes with groups that no longer exist.
func TestStartedHomeIsLoggedWithItsReason(t *testing.T) {
	var log bytes.Buffer
	e, err := New(Config{ID: "p0"}, Adapters{}, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	self := member.Member{ID: "p0", Role: member.RoleProxy}
	e.placements.snapshot = member.NewSnapshot([]member.Entry{{Member: self, State: member.StateAlive}, {
		Member: member.Member{ID: "p1", Role: member.RoleProxy, Weight: 16}, State: member.StateAlive,
	}})
	e.placements.byGroup = e.placements.snapshot.Place([]cluster.GroupName{"g", "h"})
	for group := range e.placements.byGroup {
		e.logPlacement(group) // one of them has the other process as its home
	}
	if want := `"weight":16,"weight_known":false,"homes":1,"rank":`; strings.Count(log.String(), want) != 1 || strings.Count(log.String(), "\n") != 1 ||
		!strings.Contains(log.String(), `"of_equal_weight":2`) {
		t.Errorf("logged %s", log.String())
	}
	e.homesStarted["g"], e.homesStarted["gone"] = struct{}{}, struct{}{}
	e.forgetHomes(&environment.Document{Groups: []environment.Group{{Name: "g"}}})
	if got := homesOwned.Get(); got != 1 {
		t.Errorf("%d homes", got)
	}
}
