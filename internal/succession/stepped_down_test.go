package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// TestPrimaryThatSteppedDownForAnEarlierHolderIsKnown guards against a group without a primary
// for abandonAfter: a lease holder that has not seen the primary waited for members that had
// gone, although the server whose log has every write was there.
func TestPrimaryThatSteppedDownForAnEarlierHolderIsKnown(t *testing.T) {
	end := cluster.Position{Term: 1, Offset: 143}
	for _, tt := range []struct {
		name     string
		setup    func(s *fixture)
		promoted bool
	}{
		{"it has its log", func(*fixture) {}, true},
		{"it has lost its log", func(s *fixture) { s.observe("s1", cluster.RoleReplica, 1, 142, 9) }, false},
		{"another promotion may have begun a term", func(s *fixture) {
			s.view.PendingPromotions = PendingPromotions{"s4": {Until: s.now.Add(-time.Second)}}
		}, false},
		{"a server has a later term", func(s *fixture) { s.observe("s2", cluster.RoleReplica, 2, 133, 9) }, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture("s1", "s2")
			s.state = NewState(s.now).adopt(Record{
				Members:     []Member{{"s1", 1}, {"s2", 1}, {"s3", 1}, {"s4", 1}},
				SteppedDown: SteppedDown{Server: "s1", Term: 1, End: end},
			}, s.now)
			for range 30 {
				s.observe("s1", cluster.RoleReplica, 1, 143, 9)
				s.observe("s2", cluster.RoleReplica, 1, 133, 9)
				tt.setup(s)
				s.decide(100 * time.Millisecond)
			}
			if promoted := s.state.Phase == PhasePromoting && s.state.Candidate == "s1"; promoted != tt.promoted {
				t.Errorf("promoted: %v, phase %v, waits for %v", promoted, s.state.Phase, s.state.Wait)
			}
		})
	}
}

// A command that is carried out after its attempt has ended steps the primary down while
// nobody waits for it.
func TestPrimaryThatStepsDownAfterAnAttemptIsKnown(t *testing.T) {
	s := newFixture("s1", "s2")
	s.state.Members = append(s.state.Members, Member{"s3", 1}, Member{"s4", 1})
	s.decide(time.Millisecond)
	for range 30 {
		s.observe("s1", cluster.RoleReplica, 1, 143, 9)
		s.observe("s2", cluster.RoleReplica, 1, 133, 9)
		s.decide(100 * time.Millisecond)
	}
	s.expect(t, PhasePromoting, "s1")
}

// A holder that finds no trace of a promotion must not take the primary before it for the last.
func TestRecordNamesNoSteppedDownPrimaryBesideAnotherPromotion(t *testing.T) {
	s := State{SteppedDown: SteppedDown{Server: "s1", Term: 1, End: cluster.Position{Term: 1, Offset: 143}}}
	for promoting, want := range map[cluster.ServerID]SteppedDown{"": s.SteppedDown, "s1": s.SteppedDown, "s2": {}} {
		if got := s.record(promoting).SteppedDown; got != want {
			t.Errorf("beside the promotion of %q: %v", promoting, got)
		}
	}
}

// TestRecordKeepsSwitchoverAndSteppedDownPrimary guards against a record that loses either of
// the last switchover because of late replay and the primary that has stepped down, or that
// is taken for saved while one of them is not.
func TestRecordKeepsSwitchoverAndSteppedDownPrimary(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState(now)
	s.rest = s.rest.announce(now)
	s.SteppedDown = SteppedDown{Server: "s1", Term: 1, End: cluster.Position{Term: 1, Offset: 143}}
	kept := s.record("")
	next := NewState(now).adopt(kept, now.Add(time.Second))
	if next.SteppedDown != s.SteppedDown || !next.rest.at.Equal(now) || next.rest.over(now.Add(time.Second)) {
		t.Errorf("the next lease holder knows %+v and %+v", next.SteppedDown, next.rest)
	}
	for _, promoting := range []cluster.ServerID{"", "s1", "s2"} {
		r := s.record(promoting)
		if r.ReplaySwitchover != now.UnixMilli() || (r.SteppedDown == s.SteppedDown) != (promoting != "s2") {
			t.Errorf("promoting %q: record %+v", promoting, r)
		}
	}
	if s.SteppedDown = (SteppedDown{}); s.record("").sameAs(kept) {
		t.Error("a record with a primary that has stepped down is the same without it")
	}
	if s.rest = (replayRest{}); s.record("").sameAs(NewState(now).adopt(Record{ReplaySwitchover: 1}, now).record("")) {
		t.Error("a record with a switchover is the same without it")
	}
}
