package succession

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/provider"
)

// TestPrimaryThatLeavesAfterTheLeaseWasTakenOverIsReplaced guards against a leaving primary that
// stays the primary until it ends: the lease holder that had it promoted lost the lease at
// once, and the next one took the promotion for possible for 10 s although the server led.
func TestPrimaryThatLeavesAfterTheLeaseWasTakenOverIsReplaced(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		time.Sleep(3 * time.Second)
		f.servers.onCall = func(Promotion) error { f.lease.set(0); return nil }
		f.servers.kill("s1")
		time.Sleep(3 * time.Second)
		promoted := f.servers.promotions()
		if len(promoted) != 1 {
			t.Fatalf("promoted %v, want one server", promoted)
		}
		f.servers.start("s1")
		f.lease.set(6)
		time.Sleep(2 * time.Second)
		f.leave(promoted[0])
		time.Sleep(2 * time.Second)
		if promoted := f.servers.promotions(); len(promoted) != 2 || promoted[1] == promoted[0] {
			t.Errorf("promoted %v, want another server after the leaving one", promoted)
		}
	})
}

// TestTimeOfAPromotionIsHandedOn guards against a group that waits anew for the call of an
// earlier lease holder whenever the lease moves on.
func TestTimeOfAPromotionIsHandedOn(t *testing.T) {
	runController(t, func(f *controllerFixture) {
		data, _ := json.Marshal(Record{Members: allMembers, Promoting: "s3", Token: 4})
		if _, err := f.table.Commit(t.Context(), provider.Write{Key: recordKeyPrefix + "g", Value: data}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(maxPriorPromotionDelay / 2)
		f.lease.set(6)
		time.Sleep(maxPriorPromotionDelay / 4)
		f.lease.set(7)
		time.Sleep(maxPriorPromotionDelay/4 - time.Second)
		if r := f.record(t); r.Promoting != "s3" {
			t.Errorf("the promotion has ended early: %+v", r)
		}
		const late = remainingStep + pollInterval + idleDecideInterval // for each change of the lease
		time.Sleep(time.Second + 2*late + idleDecideInterval)
		if r := f.record(t); r.Promoting != "" {
			t.Errorf("the promotion is still possible: %+v", r)
		}
	})
}

// TestInheritedPromotionEnds guards against a promotion of an earlier lease holder that is
// taken for ended while a call may still come, or for possible when none can.
func TestInheritedPromotionEnds(t *testing.T) {
	for _, tt := range []struct {
		name  string
		call  PromotionCall
		role  cluster.Role
		term  cluster.Term
		ended bool
	}{
		{"the server leads", PromotionCall{TermBefore: 1, Sole: true}, cluster.RolePrimary, 2, true},
		{"it leads at an earlier term", PromotionCall{TermBefore: 2, Sole: true}, cluster.RolePrimary, 2, false},
		{"it follows another one", PromotionCall{TermBefore: 1, Sole: true}, cluster.RoleReplica, 2, false},
		{"there is another call", PromotionCall{TermBefore: 1}, cluster.RolePrimary, 2, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.view.PendingPromotions = PendingPromotions{}
			s.view.PendingPromotions.inherit(Record{Promoting: "s2", Token: 4, Call: tt.call}, 0, s.now)
			s.observe("s2", tt.role, tt.term, 100, 0)
			s.view.PendingPromotions.removeEnded(s.view.Servers)
			if ended := !otherPromotionPossible(s.view, "s3", s.now); ended != tt.ended {
				t.Errorf("ended: %v", ended)
			}
		})
	}
}

// TestOwnCallDoesNotShortenAnInheritedOne guards against a server that is promoted a second
// time, after another one has replaced it: a call of this process for the same server ended
// the wait for that of a suspended earlier holder, which came last.
func TestOwnCallDoesNotShortenAnInheritedOne(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	s.view.PendingPromotions = PendingPromotions{}
	s.view.PendingPromotions.inherit(Record{Promoting: "s2", Token: 4}, 0, s.now)
	until := s.now.Add(maxPriorPromotionDelay)
	s.now = s.now.Add(time.Second)
	s.begin("s2")
	s.observe("s2", cluster.RolePrimary, 2, 100, 0)
	s.view.PendingPromotions.removeEnded(s.view.Servers)
	if !otherPromotionPossible(s.view, "s3", until.Add(-time.Millisecond)) {
		t.Error("the call of the earlier holder can no longer take effect")
	}
	if otherPromotionPossible(s.view, "s3", until) {
		t.Error("the calls can take effect for ever")
	}
}

// TestRecordThatIsReadAgainDoesNotProlongAPromotion guards against a wait that begins anew
// each time a write of the record fails.
func TestRecordThatIsReadAgainDoesNotProlongAPromotion(t *testing.T) {
	s, r := newFixture("s1", "s2", "s3"), Record{Promoting: "s2", Token: 4}
	pending := PendingPromotions{}
	pending.inherit(r, 0, s.now)
	pending.inherit(r, 0, s.now.Add(time.Second))
	if until := pending["s2"].Until; !until.Equal(s.now.Add(maxPriorPromotionDelay)) {
		t.Errorf("possible for %v", until.Sub(s.now))
	}
	pending.inherit(Record{Promoting: "s2", Token: 5}, 0, s.now.Add(time.Second))
	if until := pending["s2"].Until; !until.Equal(s.now.Add(time.Second + maxPriorPromotionDelay)) {
		t.Errorf("possible for %v after the record of another holder", until.Sub(s.now))
	}
}

// TestRemainingTimeOfARecord guards against a call that comes after the time that its record
// allows. A holder that has ended has made its own calls, but not those of holders before it.
func TestRemainingTimeOfARecord(t *testing.T) {
	for _, tt := range []struct {
		name   string
		record Record
		want   time.Duration
	}{
		{"unknown", Record{Token: 4}, maxPriorPromotionDelay},
		{"its writer has ended", Record{Token: 7}, maxPromotionDelay},
		{"its writer has ended after the call", Record{Token: 7, Call: PromotionCall{RemainingMillis: 2000}}, 2 * time.Second},
		{"a holder before its writer may call", Record{Token: 7, Call: PromotionCall{Inherited: true}}, maxPriorPromotionDelay},
		{"stated", Record{Token: 4, Call: PromotionCall{RemainingMillis: 3000}}, 3 * time.Second},
		{"more than possible", Record{Token: 4, Call: PromotionCall{RemainingMillis: 1 << 60}}, maxPriorPromotionDelay},
	} {
		if got := tt.record.remaining(7); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestRecordStatesTheCallsOfAPromotion guards against a next lease holder that takes a second
// call for the only one, or a time for shorter than it is.
func TestRecordStatesTheCallsOfAPromotion(t *testing.T) {
	s := newFixture("s1", "s2", "s3")
	pending := PendingPromotions{}
	expect := func(announced *announcedPromotion, server cluster.ServerID, want PromotionCall) {
		t.Helper()
		if id, call := pending.recorded(announced, s.now); id != server || call != want {
			t.Errorf("the record names %q, %+v, want %q, %+v", id, call, server, want)
		}
	}
	expect(nil, "", PromotionCall{})
	announce := func() *announcedPromotion { return &announcedPromotion{"s2", pending.next("s2", 1, s.now)} }
	expect(announce(), "s2", PromotionCall{TermBefore: 1, Sole: true, RemainingMillis: 10000})
	pending.begin("s2", 1, s.now)
	s.now = s.now.Add(1500 * time.Millisecond)
	expect(nil, "s2", PromotionCall{TermBefore: 1, Sole: true, RemainingMillis: 3500})
	expect(announce(), "s2", PromotionCall{TermBefore: 1, RemainingMillis: 10000})
	earlier := pending.begin("s2", 1, s.now)
	pending.withdraw("s2", earlier)
	expect(nil, "s2", PromotionCall{TermBefore: 1, Sole: true, RemainingMillis: 3500})
	s.now = s.now.Add(maxPromotionDelay)
	expect(nil, "", PromotionCall{})
}

// TestAnnouncementOfAnotherHolderIsNotTakenForAnOwn guards against a call without a record of
// its own: a suspended earlier holder has written the same.
func TestAnnouncementOfAnotherHolderIsNotTakenForAnOwn(t *testing.T) {
	own := Record{Promoting: "s2", Token: 5}
	if own.sameAs(Record{Promoting: "s2", Token: 4}) {
		t.Error("the record of another holder is the same")
	}
	if !(Record{Token: 5}).sameAs(Record{Token: 4}) {
		t.Error("a record that names no server differs by its writer")
	}
}
