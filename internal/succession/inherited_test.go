package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

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
		{"a holder before its writer may call", Record{Token: 7, Call: PromotionCall{Inherited: true}}, maxPriorPromotionDelay},
	} {
		if got := tt.record.remaining(7); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
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
