package route

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/statement"
)

const replicaWait = 25 * time.Millisecond

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func at(offset uint64) cluster.Position { return cluster.Position{Term: 2, Offset: offset} }

func replica(id cluster.ServerID, replayed uint64) Server {
	return Server{ID: id, Term: 2, Replayed: at(replayed), Lag: 50 * time.Millisecond, Reachable: true}
}

// group returns a group with primary s1 at offset 100 and two replicas at 90 and
// 80. The primary was proven to be at 80 one second ago and at 90 half a second ago.
func group(change func(g *Group)) *Group {
	history := NewHistory(10, time.Millisecond).
		With(Sample{At: start.Add(-time.Second), Position: at(80)}).
		With(Sample{At: start.Add(-500 * time.Millisecond), Position: at(90)}).
		With(Sample{At: start.Add(-100 * time.Millisecond), Position: at(100)})
	g := &Group{
		Term: 2, Primary: "s1", ReplicaWait: replicaWait, History: history, Commits: history,
		Servers: []Server{replica("s1", 100), replica("s2", 90), replica("s3", 80)},
	}
	if change != nil {
		change(g)
	}
	return g
}

func TestDecide(t *testing.T) {
	read := Query{Class: statement.ClassRead, FloorKnown: true, Arrived: start}
	queryWith := func(change func(q *Query)) Query {
		q := read
		change(&q)
		return q
	}
	bounded := func(age time.Duration) Query {
		return queryWith(func(q *Query) {
			q.Freshness = statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: age}
		})
	}
	tests := []struct {
		name   string
		query  Query
		change func(g *Group)
		want   []cluster.ServerID
		reason Reason
	}{
		{"any replica", read, nil, []cluster.ServerID{"s2", "s3", "s1"}, ReasonFresh},
		{"floor that one replica meets", queryWith(func(q *Query) { q.Floor = at(85) }), nil, []cluster.ServerID{"s2", "s3", "s1"}, ReasonFresh},
		{"floor that no replica meets soon enough", queryWith(func(q *Query) { q.Floor = at(101) }), nil, []cluster.ServerID{"s1"}, ReasonStale},
		{"floor of an older term", queryWith(func(q *Query) { q.Floor = cluster.Position{Term: 1, Offset: 500} }), nil, []cluster.ServerID{"s2", "s3", "s1"}, ReasonFresh},
		{"unknown floor", queryWith(func(q *Query) { q.FloorKnown = false }), nil, []cluster.ServerID{"s1"}, ReasonUnknownFloor},
		{"write", queryWith(func(q *Query) { q.Class = statement.ClassWrite }), nil, []cluster.ServerID{"s1"}, ReasonWrite},
		{"refused by a replica", queryWith(func(q *Query) { q.PrimaryOnly = true }), nil, []cluster.ServerID{"s1"}, ReasonRefused},
		{"read-only transaction", queryWith(func(q *Query) { q.Class = statement.ClassBeginReadOnly }), nil, []cluster.ServerID{"s2", "s3", "s1"}, ReasonFresh},
		{"age one second", bounded(time.Second), nil, []cluster.ServerID{"s2", "s3", "s1"}, ReasonFresh},
		{"age that no sample proves", bounded(50 * time.Millisecond), nil, []cluster.ServerID{"s1"}, ReasonStale},
		{"failed before", queryWith(func(q *Query) { q.Failed = []cluster.ServerID{"s2"} }), nil, []cluster.ServerID{"s3", "s1"}, ReasonFresh},
		{"shorter wait first", read, func(g *Group) { g.Servers[1].Wait = time.Second }, []cluster.ServerID{"s3", "s1", "s2"}, ReasonFresh},
		{"ejected", read, func(g *Group) { g.Servers[1].Ejected = true }, []cluster.ServerID{"s3", "s1"}, ReasonFresh},
		{"leaving", read, func(g *Group) { g.Servers[1].Leaving = true }, []cluster.ServerID{"s3", "s1"}, ReasonFresh},
		{"unreachable", read, func(g *Group) { g.Servers[1].Reachable = false }, []cluster.ServerID{"s3", "s1"}, ReasonFresh},
		{"another term", read, func(g *Group) { g.Servers[1].Term = 1 }, []cluster.ServerID{"s3", "s1"}, ReasonFresh},
		{"diverged", read, func(g *Group) { g.Servers[1].Diverged = true }, []cluster.ServerID{"s3", "s1"}, ReasonFresh},
		{"primary leaving", read, func(g *Group) { g.Servers[0].Leaving = true }, []cluster.ServerID{"s2", "s3"}, ReasonFresh},
		{"no primary", read, func(g *Group) { g.Primary = "" }, []cluster.ServerID{"s1", "s2", "s3"}, ReasonFresh},
		{"no server", queryWith(func(q *Query) { q.Floor = at(101) }), func(g *Group) { g.Servers[0].Reachable = false }, nil, ReasonNoServer},
		{"write without a primary", queryWith(func(q *Query) { q.Class = statement.ClassWrite }), func(g *Group) { g.Primary = "" }, nil, ReasonNoPrimary},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := Decide(tt.query, group(tt.change), start)
			var got []cluster.ServerID
			reason := d.Reason
			for i, o := range d.Options {
				got = append(got, o.Server)
				if i == 0 {
					reason = o.Reason
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
			if reason != tt.reason {
				t.Errorf("reason %q, want %q", reason, tt.reason)
			}
		})
	}
}

func TestWaitForALaggingReplica(t *testing.T) {
	tests := []struct {
		name      string
		committed time.Duration
		lag       time.Duration
		want      bool
		overdue   bool
	}{
		{"soon", -40 * time.Millisecond, 50 * time.Millisecond, true, false},
		{"too late", -10 * time.Millisecond, 50 * time.Millisecond, false, false},
		{"should have been replayed", -80 * time.Millisecond, 50 * time.Millisecond, true, true},
		{"lag not yet known", -time.Millisecond, 0, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := group(func(g *Group) {
				g.Commits = NewHistory(10, 0).With(Sample{At: start.Add(tt.committed), Position: at(200)})
				g.Servers = g.Servers[:2]
				g.Servers[1].Lag = tt.lag
			})
			q := Query{Class: statement.ClassRead, FloorKnown: true, Floor: at(200), Arrived: start}
			o, ok := Decide(q, g, start).Option("s2")
			if ok != tt.want || o.ReplayOverdue != tt.overdue {
				t.Errorf("option %+v, %v", o, ok)
			}
			if ok && !o.NotBefore.After(start) {
				t.Error("the replica may run the read before it has replayed the floor")
			}
			afterWait := Decide(q, g, start.Add(replicaWait))
			if primary, ok := afterWait.Option("s1"); !ok || primary.NotBefore.After(start.Add(replicaWait)) {
				t.Errorf("after the replica wait the primary is still not allowed: %+v", afterWait)
			}
		})
	}
}

func TestHistoryKeepsTheNewest(t *testing.T) {
	h := NewHistory(3, time.Second)
	older := h
	for i := range 10 {
		h = h.With(Sample{At: start.Add(time.Duration(i) * 600 * time.Millisecond), Position: at(uint64(i))})
		if i == 5 {
			older = h
		}
	}
	if p, ok := h.AtOrAfter(start); !ok || p != at(4) {
		t.Errorf("oldest sample that was kept: %v %v", p, ok)
	}
	if when, ok := h.ReachedAt(at(7)); !ok || when != start.Add(8*600*time.Millisecond) {
		t.Errorf("reached: %v %v", when, ok)
	}
	if _, ok := h.ReachedAt(at(9)); ok {
		t.Error("a position beyond all samples counts as reached")
	}
	if p, ok := older.AtOrAfter(start); !ok || p != at(0) {
		t.Errorf("an older History changed: %v %v", p, ok)
	}
}

// TestWaitForACommitMissingInTheHistory checks that a commit that is missing
// in Commits counts from the arrival of the read, and that the wait for a slot of
// the replica does not count towards ReplicaWait.
func TestWaitForACommitMissingInTheHistory(t *testing.T) {
	g := group(func(g *Group) {
		g.Commits = NewHistory(10, 0)
		g.Servers[1].Lag = replicaWait / 2
		g.Servers[1].Wait = replicaWait
	})
	q := Query{Class: statement.ClassRead, FloorKnown: true, Floor: at(200), Arrived: start}
	o, ok := Decide(q, g, start).Option("s2")
	if !ok || !o.NotBefore.Equal(start.Add(replicaWait/2)) {
		t.Errorf("option %+v, %v", o, ok)
	}
}

// TestWaitGrowsWithTheObservedLag checks when a replica that lags more than its
// estimated lag is checked again.
func TestWaitGrowsWithTheObservedLag(t *testing.T) {
	const lag = 10 * time.Millisecond
	tests := []struct {
		name string
		// sinceCommit is the time from the commit to the last status.
		sinceCommit time.Duration
		want        time.Duration
		ok          bool
	}{
		{"not checked since the estimated lag", lag - 1, 0, true},
		{"a little late", lag, recheckInterval, true},
		{"late", 80 * time.Millisecond, 10 * time.Millisecond, true},
		{"too late to wait for", time.Second, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := group(func(g *Group) {
				g.Commits = NewHistory(10, 0).With(Sample{At: start.Add(-tt.sinceCommit), Position: at(200)})
				g.Servers[1].Lag = lag
				g.Servers[1].Observed = start
			})
			q := Query{Class: statement.ClassRead, FloorKnown: true, Floor: at(200), Arrived: start}
			o, ok := Decide(q, g, start).Option("s2")
			if ok != tt.ok || o.ReplayOverdue {
				t.Fatalf("option %+v, %v", o, ok)
			}
			if tt.want > 0 && !o.NotBefore.Equal(start.Add(tt.want)) {
				t.Errorf("checked again after %v", o.NotBefore.Sub(start))
			}
		})
	}
}
