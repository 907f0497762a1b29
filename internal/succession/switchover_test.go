package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// stepDown lets the leaving primary s1 step down at a position, after the switchover has
// begun.
func (s *fixture) stepDown(t *testing.T, at uint64) {
	t.Helper()
	s.markLeaving("s1")
	actions := s.decide(time.Millisecond)
	if len(actions) != 1 || actions[0].Kind != ActionStepDown || actions[0].Server != "s1" {
		t.Fatalf("actions %v, want only s1 to step down", actions)
	}
	s.now = s.now.Add(time.Millisecond)
	s.observe("s1", cluster.RoleReplica, 1, at, 0)
}

// pausedServers makes a decision and returns the servers that are to be paused.
func (s *fixture) pausedServers(t *testing.T, after time.Duration) map[cluster.ServerID]bool {
	t.Helper()
	paused := map[cluster.ServerID]bool{}
	for _, a := range s.decide(after) {
		if a.Kind != ActionPause || a.Term != s.state.AttemptTerm {
			t.Fatalf("action %v, want pauses at term %d", a, s.state.AttemptTerm)
		}
		paused[a.Server] = true
	}
	return paused
}

// The replicas of a leaving primary receive until one of them has its whole log. If they
// were paused first, the primary would go on taking writes that only a server which is not
// listed yet receives, and would acknowledge them.
func TestLeavingPrimaryStepsDownBeforeItsReplicasArePaused(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.stepDown(t, 103)
	if paused := s.pausedServers(t, time.Millisecond); len(paused) > 0 {
		t.Fatalf("%v paused without the last writes", paused)
	}
	s.now = s.now.Add(time.Millisecond)
	s.observe("s3", cluster.RoleReplica, 1, 103, 0)
	if paused := s.pausedServers(t, time.Millisecond); !paused["s3"] {
		t.Fatalf("%v paused, want s3", paused)
	}
	s.now = s.now.Add(time.Millisecond)
	s.observe("s3", cluster.RoleReplica, 1, 103, 2)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s3")
}

// A server joins while the primary leaves, and receives writes that no other replica has.
// Whether it is listed yet or not, no server without these writes is promoted.
func TestServerWithoutTheOldPrimarysLastWritesIsNotPromoted(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.stepDown(t, 105)
	s.now = s.now.Add(time.Millisecond)
	for _, id := range []cluster.ServerID{"s2", "s3"} {
		s.observe(id, cluster.RoleReplica, 1, 100, 2)
	}
	s.decide(switchoverTimeout / 2)
	s.expect(t, PhasePausing, "")
	s.group.Servers = append(s.group.Servers, Server{Server: cluster.Server{ID: "s4"}, StartTime: 1})
	s.observe("s4", cluster.RoleReplica, 1, 105, 2)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s4")
}

// The servers that were replaced before the primary left have just ended: they are members
// and still listed, but cannot be reached. A switchover that needed their logs would leave
// the group without a primary until they are abandoned.
func TestServersThatEndedDoNotHoldUpASwitchover(t *testing.T) {
	for name, listed := range map[string]bool{"still listed": true, "no longer listed": false} {
		t.Run(name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3", "s4", "s5")
			s.markLeaving("s4")
			s.markLeaving("s5")
			s.decide(time.Millisecond)
			s.fail("s4")
			s.fail("s5")
			if !listed {
				s.delist("s4", "s5")
			}
			s.stepDown(t, 101)
			s.now = s.now.Add(time.Millisecond)
			s.observe("s2", cluster.RoleReplica, 1, 101, 0)
			s.decide(time.Millisecond)
			s.now = s.now.Add(time.Millisecond)
			s.observe("s2", cluster.RoleReplica, 1, 101, 2)
			s.decide(time.Millisecond)
			s.expect(t, PhasePromoting, "s2")
		})
	}
}

// A replica crashes after the leaving primary has stepped down. Another one has the whole
// log, so the missing log is not waited for.
func TestReplicaThatCrashesDoesNotHoldUpASwitchover(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.stepDown(t, 101)
	s.fail("s3")
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 101, 2)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s2")
}

// The old primary leaves before a server has its last records, which were not
// acknowledged. It does not return, and neither do the servers that left before it.
func TestSwitchoverEndsAfterTheOldPrimaryHasLeft(t *testing.T) {
	s := newFixture("s1", "s2", "s3", "s4")
	s.markLeaving("s4")
	s.decide(time.Millisecond)
	s.stepDown(t, 105)
	s.decide(time.Millisecond)
	s.delist("s1", "s4")
	s.now = s.now.Add(switchoverTimeout)
	s.observe("s2", cluster.RoleReplica, 1, 101, 2)
	s.observe("s3", cluster.RoleReplica, 1, 100, 2)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s2")
}

// Another server was promoted by a call that had no response. The log of the old primary
// is not the last one then, however complete it is.
func TestOldPrimarysLogIsNotTheLastAfterAnotherPromotion(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.stepDown(t, 100)
	s.view.PendingPromotions = PendingPromotions{"s3": {Until: s.now.Add(-time.Millisecond)}}
	s.decide(time.Millisecond)
	if oldLogIsLast(s.group, s.view, s.state, s.now) {
		t.Error("the log counts as the last one before s3 was observed after its promotion")
	}
	s.now = s.now.Add(time.Millisecond)
	s.observe("s3", cluster.RoleReplica, 1, 100, 0)
	if !oldLogIsLast(s.group, s.view, s.state, s.now) {
		t.Error("the log does not count as the last one although s3 was not promoted")
	}
	s.observe("s3", cluster.RoleReplica, 2, 100, 0)
	if oldLogIsLast(s.group, s.view, s.state, s.now) {
		t.Error("the log counts as the last one although there is a later term")
	}
}

// A switchover begins only with a replica that can take over at once. Each reason against
// it is named, since the reader of the log has to know it.
func TestSwitchoverThatCannotEndDoesNotBegin(t *testing.T) {
	for name, tt := range map[string]struct {
		setup func(s *fixture)
		want  blocker
	}{
		"replicas are behind": {func(s *fixture) {
			s.observe("s1", cluster.RolePrimary, 1, 120, 0)
		}, blockedByReplication},
		"only a leaving replica is level": {func(s *fixture) {
			s.markLeaving("s3")
			s.observe("s2", cluster.RoleReplica, 1, 90, 0)
		}, blockedByReplication},
		"the other servers leave as well": {func(s *fixture) {
			s.markLeaving("s2")
			s.markLeaving("s3")
		}, blockedByNoSuccessor},
		"a promotion may take effect": {func(s *fixture) {
			s.view.PendingPromotions = PendingPromotions{"s1": {Until: s.now.Add(time.Second)}}
		}, blockedByPromotion},
		"the lease runs out":         {func(s *fixture) { s.view.LeaseRemaining = 0 }, blockedByLease},
		"an attempt has just failed": {func(s *fixture) { s.state.PostponedUntil = s.now.Add(time.Second) }, blockedByPostponement},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.markLeaving("s1")
			tt.setup(s)
			s.decide(time.Millisecond)
			s.expect(t, PhaseWatching, "")
			if s.state.Blocker != tt.want {
				t.Errorf("blocked by %q, want %q", s.state.Blocker, tt.want)
			}
		})
	}
}

// What an election waits for is named with the servers that it concerns.
func TestWaitOfAnElectionIsNamed(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.confirmPrimaryFailed(t)
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 1, 100, s.state.AttemptTerm)
	s.decide(time.Millisecond)
	if want := (Wait{"no final log", "s1,s3"}); s.state.Wait != want {
		t.Errorf("waits for %+v, want %+v", s.state.Wait, want)
	}
}
