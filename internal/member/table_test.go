package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

var start = time.Date(2026, 3, 2, 3, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func proxyNamed(id string, incarnation uint64) Member {
	return Member{ID: id, Role: RoleProxy, Address: id + ":1", FailureDomain: "d1", Incarnation: incarnation}
}

// tableEvent is one call of a table's method.
type tableEvent struct {
	at          float64
	event       string
	age         time.Duration
	state       State
	incarnation uint64
}

func TestTable(t *testing.T) {
	heard := func(when float64) tableEvent { return tableEvent{at: when, event: "heard", incarnation: 1} }
	reported := func(when float64, state State, age time.Duration) tableEvent {
		return tableEvent{at: when, event: "told", state: state, age: age, incarnation: 1}
	}
	missed := func(when float64) tableEvent { return tableEvent{at: when, event: "missed"} }
	tick := func(when float64) tableEvent { return tableEvent{at: when, event: "tick"} }
	tests := []struct {
		name   string
		steps  []tableEvent
		want   State
		stable bool
	}{
		{"heard", []tableEvent{heard(1)}, StateAlive, false},
		{"missed", []tableEvent{heard(1), missed(2)}, StateSuspect, false},
		{"still suspect", []tableEvent{heard(1), missed(2), tick(3.4)}, StateSuspect, false},
		{"dead", []tableEvent{heard(1), missed(2), tick(4)}, StateDead, false},
		{"refuted", []tableEvent{heard(1), missed(2), heard(3), tick(5)}, StateAlive, true},
		{"refuted by a report", []tableEvent{heard(1), missed(2), reported(3, StateAlive, 500*time.Millisecond), tick(5)}, StateAlive, true},
		{"not refuted by an older report", []tableEvent{heard(1), missed(2), reported(3, StateAlive, 1500*time.Millisecond), tick(4)}, StateDead, false},
		{"reported suspect", []tableEvent{heard(1), reported(3, StateSuspect, 100*time.Millisecond)}, StateSuspect, false},
		{"suspicion refuted by direct contact", []tableEvent{heard(1), reported(2, StateSuspect, 100*time.Millisecond)}, StateAlive, false},
		{"death refuted by direct contact", []tableEvent{heard(1), reported(2, StateDead, 0)}, StateAlive, false},
		{"older suspicion is ignored", []tableEvent{heard(1), reported(2, StateSuspect, 2*time.Second)}, StateAlive, false},
		{"repeated suspicion does not extend the timeout", []tableEvent{heard(1), missed(2), reported(3, StateSuspect, 0), reported(3.5, StateSuspect, 0), tick(4)}, StateDead, false},
		{"reported dead", []tableEvent{heard(1), reported(3, StateDead, 0)}, StateSuspect, false},
		{"reported dead and not refuted", []tableEvent{heard(1), reported(3, StateDead, 0), tick(5)}, StateDead, false},
		{"alive again after death", []tableEvent{heard(1), missed(3), tick(5), heard(6)}, StateAlive, false},
		{"alive again and not yet stable", []tableEvent{heard(1), missed(7), tick(9), heard(9.5), tick(14.4)}, StateAlive, false},
		{"alive again and stable", []tableEvent{heard(1), missed(7), tick(9), heard(9.5), tick(14.5)}, StateAlive, true},
		{"restarted", []tableEvent{heard(1), missed(2), tick(4), {at: 4.5, event: "told", state: StateAlive, incarnation: 2}}, StateAlive, false},
		{"earlier incarnation is ignored", []tableEvent{{at: 1, event: "heard", incarnation: 2}, reported(3, StateDead, 0)}, StateAlive, false},
		{"leaving", []tableEvent{heard(1), reported(2, StateLeaving, 0), heard(3)}, StateLeaving, false},
		{"left", []tableEvent{heard(1), reported(2, StateLeaving, 0), missed(3)}, StateDead, false},
		{"left and restarted", []tableEvent{heard(1), reported(2, StateLeaving, 0), {at: 3, event: "heard", incarnation: 2}}, StateAlive, false},
		{"forgotten", []tableEvent{heard(1), missed(1), tick(3), tick(603)}, "", false},
		{"unknown dead member is not added", []tableEvent{reported(2, StateDead, 0)}, "", false},
		{"stable as soon as this process is", []tableEvent{heard(1), tick(5)}, StateAlive, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := newTable(proxyNamed("self", 1), start)
			for _, event := range tt.steps {
				applyEvent(table, event)
			}
			e := table.entries[Key{RoleProxy, "p"}]
			if e == nil {
				e = &Entry{}
			}
			if e.State != tt.want || e.Stable != tt.stable {
				t.Errorf("state %q, stable %v, want %q, %v", e.State, e.Stable, tt.want, tt.stable)
			}
		})
	}
}

func applyEvent(table *table, e tableEvent) {
	m := proxyNamed("p", e.incarnation)
	switch e.event {
	case "heard":
		table.contact(Report{Member: m, State: StateAlive}, at(e.at))
	case "told":
		table.observe(Report{Member: m, State: e.state, Age: e.age}, at(e.at))
	case "missed":
		table.markSuspect(m.Key(), at(e.at))
	case "tick":
		table.tick(at(e.at))
	}
}

// A member that restarts while this process starts must not be considered
// stable because of reports about its previous incarnation.
func TestRestartDuringStartIsNotStable(t *testing.T) {
	table := newTable(proxyNamed("self", 1), at(0))
	other := proxyNamed("other", 1)
	table.observe(Report{Member: other, State: StateAlive, Stable: true}, at(1))
	if !table.entries[other.Key()].Stable {
		t.Error("the member is not stable although another process reports it stable")
	}
	table.observe(Report{Member: proxyNamed("other", 2), State: StateAlive}, at(4.8))
	for _, when := range []float64{5, 9.7, 9.9} {
		table.tick(at(when))
		if want := when > 9.8; table.entries[other.Key()].Stable != want {
			t.Errorf("at %v s stable is %t", when, !want)
		}
	}
}

func TestPausedProcessLosesStability(t *testing.T) {
	table := newTable(proxyNamed("self", 1), at(0))
	other := proxyNamed("other", 1)
	table.observe(Report{Member: other, State: StateAlive}, at(0))
	table.tick(at(10))
	table.markSuspect(other.Key(), at(10))
	table.restartTimers(at(20))
	table.tick(at(20))
	if table.entries[table.self].Stable {
		t.Error("stable right after a pause")
	}
	if got := table.entries[other.Key()].State; got != StateSuspect {
		t.Errorf("state %s: the pause counted towards the timeout of the suspect", got)
	}
	table.tick(at(25))
	if !table.entries[table.self].Stable {
		t.Error("not stable again")
	}
}

func TestReportsAreSentLimitedTimes(t *testing.T) {
	table := newTable(proxyNamed("self", 1), start)
	for i := range 20 {
		table.contact(Report{Member: proxyNamed(fmt.Sprintf("p%d", i), 1), State: StateAlive}, at(1))
	}
	sent := 0
	for rounds := 0; ; rounds++ {
		reports := table.pendingReports(maxPingReports, at(2))
		if len(reports) == 0 {
			break
		}
		if len(reports) > maxPingReports || rounds > 1000 {
			t.Fatalf("round %d carries %d reports", rounds, len(reports))
		}
		sent += len(reports)
	}
	if least, most := 20*sendFactor, 20*table.sendCount(); sent < least || sent > most {
		t.Errorf("%d reports were sent, want %d to %d", sent, least, most)
	}
}

// stableSnapshot returns a view of stable members in the given number of failure domains.
func stableSnapshot(role Role, count, domains int) *Snapshot {
	var entries []Entry
	for i := range count {
		m := Member{ID: fmt.Sprintf("m%04d", i), Role: role, FailureDomain: fmt.Sprintf("d%d", i%domains)}
		entries = append(entries, Entry{Member: m, State: StateAlive, Stable: true})
	}
	return NewSnapshot(entries)
}

func TestHomeOfMovesOnlyGroupsOfDeadHome(t *testing.T) {
	const groups = 2000
	before := stableSnapshot(RoleProxy, 8, 4)
	after := NewSnapshot(before.Entries())
	after.entries[3].State = StateDead
	lost := after.entries[3].Member.ID
	load := map[string]int{}
	for i := range groups {
		group := cluster.GroupName(fmt.Sprintf("group_%d", i))
		a, _ := before.HomeOf(group)
		b, _ := after.HomeOf(group)
		load[a.ID]++
		if a.ID != b.ID && a.ID != lost {
			t.Fatalf("group %s moved from %s to %s", group, a.ID, b.ID)
		}
		if b.ID == lost {
			t.Fatalf("group %s has a dead home", group)
		}
	}
	for id, n := range load {
		if n < groups/8*7/10 || n > groups/8*13/10 {
			t.Errorf("%s is the home of %d of %d groups", id, n, groups)
		}
	}
}

func TestHomeOfPrefersStable(t *testing.T) {
	s := stableSnapshot(RoleProxy, 3, 3)
	home, _ := s.HomeOf("g")
	for i := range s.entries {
		s.entries[i].Stable = s.entries[i].Member.ID != home.ID
	}
	if got, ok := NewSnapshot(s.entries).HomeOf("g"); !ok || got.ID == home.ID {
		t.Errorf("home %s, which is not stable", got.ID)
	}
	for i := range s.entries {
		s.entries[i].Stable = false
	}
	if got, _ := NewSnapshot(s.entries).HomeOf("g"); got.ID != home.ID {
		t.Errorf("home %s, want %s when no proxy is stable", got.ID, home.ID)
	}
	if _, ok := NewSnapshot(nil).HomeOf("g"); ok {
		t.Error("an empty view has a home")
	}
}

func TestWardensOfSpreadOverDomains(t *testing.T) {
	s := stableSnapshot(RoleWarden, 8, 4)
	for i := range 200 {
		domains := map[string]bool{}
		wardens := s.WardensOf(cluster.GroupName(fmt.Sprintf("g%d", i)), 3)
		for _, m := range wardens {
			domains[m.FailureDomain] = true
		}
		if len(wardens) != 3 || len(domains) != 3 {
			t.Fatalf("%d wardens in %d failure domains", len(wardens), len(domains))
		}
	}
	if got := stableSnapshot(RoleWarden, 4, 1).WardensOf("g", 3); len(got) != 3 {
		t.Errorf("%d wardens in one failure domain, want 3", len(got))
	}
}
