package home

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

func pos(t cluster.Term, offset uint64) cluster.Position {
	return cluster.Position{Term: t, Offset: offset}
}

func reportOf(id cluster.ServerID, role cluster.Role, term cluster.Term, received cluster.Position, epoch cluster.Epoch, seq uint64) report {
	return report{known: true, proofSeq: seq, status: cluster.ServerStatus{
		Server: id, Role: role, Term: term, Received: received, Replayed: received, Epoch: epoch, Home: "p1",
	}}
}

func viewOf(reports ...report) *view {
	v := newView(3)
	for _, r := range reports {
		v.observe(r.status.Server, r)
	}
	return v
}

func TestLearnPrimary(t *testing.T) {
	const primary, replica, sealed = cluster.RolePrimary, cluster.RoleReplica, cluster.RoleSealed
	p := pos(1, 5)
	tests := []struct {
		name    string
		reports []report
		want    cluster.ServerID
		known   bool
	}{
		{"one report is not a majority", []report{reportOf("s1", primary, 1, p, 1, 1)}, "", false},
		{"majority", []report{reportOf("s1", primary, 1, p, 1, 1), reportOf("s2", replica, 1, p, 1, 1)}, "s1", true},
		{
			"a majority is sealed at a higher term",
			[]report{reportOf("s1", primary, 1, p, 1, 1), reportOf("s2", replica, 1, p, 1, 1), reportOf("s2", sealed, 2, p, 1, 1), reportOf("s3", sealed, 2, p, 1, 1)},
			"s1", false,
		},
		{
			"a new primary while the old one still reports",
			[]report{reportOf("s1", primary, 1, p, 1, 1), reportOf("s2", primary, 2, p, 1, 1), reportOf("s3", replica, 2, p, 1, 1)},
			"s2", true,
		},
		{
			"a late report of the old primary",
			[]report{reportOf("s2", primary, 2, p, 1, 1), reportOf("s3", replica, 2, p, 1, 1), reportOf("s1", primary, 1, p, 1, 1)},
			"s2", true,
		},
	}
	for _, tt := range tests {
		v := viewOf(tt.reports...)
		if v.primary != tt.want || v.primaryKnown() != tt.known {
			t.Errorf("%s: primary %q, known %v", tt.name, v.primary, v.primaryKnown())
		}
	}
}

func TestProven(t *testing.T) {
	requirement := proofRequirement{proofSeq: 7, claim: claim{3, "p1"}, term: 2, received: pos(2, 9)}
	good := func(id cluster.ServerID) report {
		return reportOf(id, cluster.RoleReplica, 2, pos(2, 9), 3, 7)
	}
	tests := []struct {
		name   string
		second report
		want   bool
	}{
		{"majority", good("s2"), true},
		{"status call before the proof request", reportOf("s2", cluster.RoleReplica, 2, pos(2, 9), 3, 6), false},
		{"another term", reportOf("s2", cluster.RoleSealed, 3, pos(2, 9), 3, 7), false},
		{"another home", reportOf("s2", cluster.RoleReplica, 2, pos(2, 9), 4, 7), false},
		{"not yet received", reportOf("s2", cluster.RoleReplica, 2, pos(2, 8), 3, 7), false},
	}
	for _, tt := range tests {
		if got := viewOf(good("s1"), tt.second).proven(requirement); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

func TestSampleTime(t *testing.T) {
	base := time.Now()
	begun := func(r report, after time.Duration) report {
		r.begun = base.Add(after)
		return r
	}
	v := viewOf(
		begun(reportOf("s1", cluster.RolePrimary, 1, pos(1, 5), 1, 1), 30*time.Millisecond),
		begun(reportOf("s2", cluster.RoleReplica, 1, pos(1, 5), 1, 1), 10*time.Millisecond),
		begun(reportOf("s3", cluster.RoleReplica, 1, pos(1, 4), 1, 1), 20*time.Millisecond),
	)
	if at, ok := v.sampleTime(claim{1, "p1"}); !ok || at != base.Add(20*time.Millisecond) {
		t.Errorf("sample at %v, %v", at.Sub(base), ok)
	}
	if _, ok := v.sampleTime(claim{2, "p1"}); ok {
		t.Error("servers with an older claim prove a sample")
	}
}

func TestRetention(t *testing.T) {
	status := func(role cluster.Role, term cluster.Term, received, termStart cluster.Position) cluster.ServerStatus {
		return cluster.ServerStatus{Server: "s1", Role: role, Term: term, Received: received, TermStart: termStart}
	}
	none := cluster.Position{}
	tests := []struct {
		name     string
		statuses []cluster.ServerStatus
		floor    cluster.Position
		want     retention
	}{
		{"current term", nil, pos(4, 50), retained},
		{"unknown floor", nil, none, retained},
		{"nothing is known", nil, pos(3, 10), undecided},
		{"before the first write of the term", []cluster.ServerStatus{status(cluster.RolePrimary, 4, pos(3, 20), none)}, pos(3, 20), retained},
		{"lost", []cluster.ServerStatus{status(cluster.RolePrimary, 4, pos(3, 20), none)}, pos(3, 21), lost},
		{"reported while sealed", []cluster.ServerStatus{status(cluster.RoleSealed, 4, pos(3, 20), none), status(cluster.RolePrimary, 4, pos(4, 25), none)}, pos(3, 21), lost},
		{"reported by the server", []cluster.ServerStatus{status(cluster.RolePrimary, 4, pos(4, 25), pos(3, 20))}, pos(3, 20), retained},
		{"the whole term is lost", []cluster.ServerStatus{status(cluster.RolePrimary, 4, pos(2, 9), none)}, pos(3, 1), lost},
		{"two terms ago, one step unknown", []cluster.ServerStatus{status(cluster.RolePrimary, 4, pos(3, 20), none)}, pos(2, 5), undecided},
		{
			"two terms ago",
			[]cluster.ServerStatus{status(cluster.RolePrimary, 3, pos(2, 9), none), status(cluster.RolePrimary, 4, pos(3, 20), none)},
			pos(2, 10), lost,
		},
	}
	for _, tt := range tests {
		l := newTermHistory()
		for _, s := range tt.statuses {
			l.observe(s)
		}
		if got := l.retention(tt.floor, 4); got != tt.want {
			t.Errorf("%s: %v", tt.name, got)
		}
	}
}

func TestSessionFloorsAreBounded(t *testing.T) {
	s := newSessionFloors(2)
	s.record("a", pos(1, 1))
	s.record("b", pos(1, 2))
	s.record("a", pos(1, 3))
	s.record("c", pos(1, 4))
	if _, ok := s.floor("b"); ok {
		t.Error("the least recently used session was not evicted")
	}
	if s.evictedFloor != pos(1, 2) {
		t.Errorf("evicted floor %v", s.evictedFloor)
	}
	if f, ok := s.floor("a"); !ok || f != pos(1, 3) {
		t.Errorf("floor of a: %v", f)
	}
}

func TestTransactionPermitsByRank(t *testing.T) {
	permits := newTransactionPermits(4)
	ctx := t.Context()
	for _, step := range []struct {
		rank cluster.Rank
		free bool
	}{{cluster.RankBackground, true}, {cluster.RankBackground, true}, {cluster.RankBackground, false}, {cluster.RankNormal, true}, {cluster.RankNormal, false}, {cluster.RankUrgent, true}, {cluster.RankUrgent, false}} {
		if got := permits.inUse < permits.limits[step.rank]; got != step.free {
			t.Fatalf("rank %s with %d in use: free %v", step.rank, permits.inUse, got)
		}
		if step.free && permits.acquire(ctx, step.rank, permitHolder{weight: 1}) != nil {
			t.Fatal("a free permit was refused")
		}
	}
}
