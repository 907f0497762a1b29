package catalog

import (
	"testing"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/provider"
)

func coverageOf(era, number uint64) Coverage {
	v := provider.JoinVersion(era, number)
	return Coverage{Complete: v, Latest: v}
}

// TestPeersPassOnTheNewestEra guards against lists of the time before a restore of the store
// that replace those after it because their version is higher, and against lists of the new
// era that peers do not take over.
func TestPeersPassOnTheNewestEra(t *testing.T) {
	before, after, started := newTracker(), newTracker(), newTracker()
	for _, tracker := range []*Tracker{before, after} {
		tracker.SetConfiguration(configuration(3), OriginStore)
		tracker.SetServers([]Server{{ID: "s1", Group: "g"}}, coverageOf(1, 90), OriginStore)
	}
	after.SetServers([]Server{{ID: "s1", Group: "g", Draining: true}}, coverageOf(2, 40), OriginStore)
	transfer(t, before, started)
	transfer(t, after, started)
	transfer(t, before, started)
	transfer(t, before, after)
	for name, tracker := range map[string]*Tracker{"started": started, "after": after} {
		if !tracker.State().Leaving()["s1"] {
			t.Errorf("%s: %+v", name, tracker.State().Servers)
		}
	}
}

// transfer passes what one process lacks on from another.
func transfer(t *testing.T, from, to *Tracker) {
	t.Helper()
	c, s := to.Versions()
	data, err := from.Export(Known{Configuration: c, Servers: s})
	if err == nil && data != nil {
		err = to.Import(data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestPeersThatNameNoEra guards against lists of processes of an earlier version: until the
// store comes back from a copy their versions compare, afterwards they would hide newer ones.
func TestPeersThatNameNoEra(t *testing.T) {
	tracker := newTracker()
	tracker.SetConfiguration(configuration(3), OriginStore)
	tracker.SetServers([]Server{{ID: "s1", Group: "g"}}, coverageOf(1, 40), OriginStore)
	list := func(number string) []byte {
		return []byte(`{"Organisations":true,"Servers":[{"ID":"s2","Group":"g"}],"Covered":{"Complete":` + number + `,"Latest":` + number + `}}`)
	}
	importList := func(number string) {
		if err := tracker.Import(list(number)); err != nil {
			t.Fatal(err)
		}
	}
	importList("39")
	if _, known := tracker.State().Servers["s2"]; known {
		t.Error("an older list was taken over")
	}
	importList("50")
	if _, known := tracker.State().Servers["s2"]; !known {
		t.Error("a newer list was not taken over")
	}
	tracker.SetServers([]Server{{ID: "s3", Group: "g"}}, coverageOf(2, 30), OriginStore)
	importList("70")
	tracker.ApplyChanges(map[cluster.ServerID]*Server{"s4": {ID: "s4", Group: "g"}}, coverageOf(2, 31))
	if _, known := tracker.State().Servers["s4"]; !known {
		t.Error("a change was ignored after a list without an era")
	}
}
