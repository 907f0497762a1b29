package edge

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"
)

// TestReloadAppliesLimitsAndSeeds checks that a reload applies new limits and seeds,
// keeps the settings that need a restart, and ignores settings that cannot be read.
func TestReloadAppliesLimitsAndSeeds(t *testing.T) {
	first := Config{
		ID: "front-1", FailureDomain: "d1", CallersListen: "10.0.0.1:1", Seeds: []string{"10.0.0.2:3"},
		StopTime: 6 * time.Second, MemoryLimit: 1 << 20, MaxDescriptors: 100,
	}
	e, err := New(first, Adapters{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	next := first
	next.Seeds, next.StopTime, next.MemoryLimit, next.MaxDescriptors = []string{"10.0.0.9:3"}, 9*time.Second, 2<<20, 200
	next.RevocationTime = 5 * time.Second
	next.CallersListen = "10.0.0.1:7"
	next.CPUShare, next.LinkMbps = 0.8, 200
	want := next
	want.CallersListen, want.CPUShare, want.LinkMbps = first.CallersListen, 0, 0
	if diff := cmp.Diff(&want, e.Reload(&next, nil)); diff != "" {
		t.Errorf("settings in force (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(&want, e.Reload(nil, errors.New("settings: node is missing"))); diff != "" {
		t.Errorf("after broken settings (-want +got):\n%s", diff)
	}
	applied, pending := settingsChanges(&first, &next)
	if diff := cmp.Diff([][]string{{"seeds", "stop_time", "memory_limit", "max_descriptors", "revocation_time"}, {"callers", "cpu_share", "link_mbps"}}, [][]string{applied, pending}); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}
