package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// begin records a call to promote a server.
func (s *fixture) begin(id cluster.ServerID) (earlier PendingPromotion) {
	return s.view.PendingPromotions.begin(id, maxServerTerm(s.view), s.now)
}

// promote calls the platform to promote s2, and lets s2 report that it is the primary of
// term 2.
func (s *fixture) promote() {
	s.view.PendingPromotions = PendingPromotions{}
	s.begin("s2")
	s.now = s.now.Add(time.Second)
	s.observe("s1", cluster.RoleReplica, 2, 100, 0)
	s.observe("s2", cluster.RolePrimary, 2, 100, 0)
	s.observe("s3", cluster.RoleReplica, 2, 100, 0)
	s.view.PendingPromotions.removeEnded(s.view.Servers)
}

// The promoted server leaves at once. A note that its promotion may still take effect would
// allow no other server: the leaving one would be promoted again and again.
func TestPrimaryThatLeavesSoonAfterItsPromotionIsReplaced(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.promote()
	s.markLeaving("s2")
	if actions := s.decide(time.Millisecond); len(actions) != 1 || actions[0].Kind != ActionStepDown {
		t.Fatalf("actions %v, blocked by %q, want s2 to step down", actions, s.state.Blocker)
	}
	s.now = s.now.Add(time.Millisecond)
	s.observe("s2", cluster.RoleReplica, 2, 101, 0)
	s.observe("s3", cluster.RoleReplica, 2, 101, 3)
	s.decide(time.Millisecond)
	s.expect(t, PhasePromoting, "s3")
}

// Of two calls for a server one may promote it later, after the other one has.
func TestSecondPromotionCallStaysPossible(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.view.PendingPromotions = PendingPromotions{}
	s.begin("s2")
	s.view.PendingPromotions.removeEnded(s.view.Servers)
	if !otherPromotionPossible(s.view, "s3", s.now) {
		t.Error("the call can no longer take effect, although its server is a replica")
	}
	s.begin("s2")
	s.observe("s2", cluster.RolePrimary, 3, 100, 0)
	s.view.PendingPromotions.removeEnded(s.view.Servers)
	if !otherPromotionPossible(s.view, "s3", s.now) {
		t.Error("the other call can no longer take effect, since one has")
	}
	if otherPromotionPossible(s.view, "s3", s.now.Add(maxPromotionDelay)) {
		t.Error("the calls can take effect for ever")
	}
}

// A group's primary is promoted, and reported at the term from before the call.
func TestPromotionThatHasNotTakenEffectStaysPossible(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.view.PendingPromotions = PendingPromotions{}
	s.begin("s1")
	s.view.PendingPromotions.removeEnded(s.view.Servers)
	if !otherPromotionPossible(s.view, "s2", s.now) {
		t.Error("the promotion of s1 has ended at its old term")
	}
}

// The next lease holder must not wait for a call that has taken effect.
func TestRecordForgetsAPromotionThatHasTakenEffect(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		if promoted, r := f.servers.promotions(), f.record(t); len(promoted) != 1 || r.Promoting != "" {
			t.Errorf("promoted %v, record %+v", promoted, r)
		}
	})
}
