package proxy

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/admin"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/home"
	"github.com/rattancove/rattancove/internal/pool"
)

func TestHomeStatusIsWritableOnlyWithAProvenPrimary(t *testing.T) {
	primary := home.ServerStatus{Server: "a", Role: cluster.RolePrimary, Term: 4, Reachable: true}
	with := func(phase string, change func(*home.ServerStatus)) home.GroupStatus {
		s := primary
		change(&s)
		return home.GroupStatus{Group: "orders", Phase: phase, Term: 4, Primary: "a", Servers: []home.ServerStatus{s}}
	}
	for name, c := range map[string]struct {
		group home.GroupStatus
		want  bool
	}{
		"serving":      {with("serving", func(*home.ServerStatus) {}), true},
		"claiming":     {with("claiming", func(*home.ServerStatus) {}), false},
		"unreachable":  {with("serving", func(s *home.ServerStatus) { s.Reachable = false }), false},
		"sealed":       {with("serving", func(s *home.ServerStatus) { s.Role = cluster.RoleSealed }), false},
		"older term":   {with("serving", func(s *home.ServerStatus) { s.Term = 3 }), false},
		"no primary":   {home.GroupStatus{Group: "orders", Phase: "serving", Servers: []home.ServerStatus{primary}}, false},
		"other server": {with("serving", func(s *home.ServerStatus) { s.Server = "b" }), false},
	} {
		if got := homeStatus("entry-1", c.group, environment.Group{}).Writable; got != c.want {
			t.Errorf("%s: writable %t, want %t", name, got, c.want)
		}
	}
}

func TestServerStatusIncludesTheDocument(t *testing.T) {
	spec := environment.Group{Servers: []environment.Server{
		{ID: "a", Address: "10.0.0.1:5432", FailureDomain: "ambato", Slots: 2, Connections: 16},
	}}
	got := serverStatus(home.ServerStatus{Server: "a", Reachable: true, Leaving: true, Pool: pool.Stats{Idle: 3, InUse: 1}}, spec)
	want := admin.ServerStatus{
		ID: "a", Address: "10.0.0.1:5432", FailureDomain: "ambato", Reachable: true,
		Running: 1, Slots: 2, Connections: 4, Limit: 16, UnusedReason: reasonLeaving,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
