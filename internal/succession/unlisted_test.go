package succession

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/grant"
)

// TestWriteAtAServerThatIsNotListedYetIsWaitedFor guards against the loss of a write that
// only the failed primary and a server that has just started have. The processes may or may
// not report that they acknowledged it.
func TestWriteAtAServerThatIsNotListedYetIsWaitedFor(t *testing.T) {
	for _, tt := range []struct {
		name         string
		acknowledged uint64
		unknown      bool
		elected      bool
	}{
		{"nothing beyond the logs", 110, false, true},
		{"a write beyond the logs", 111, false, false},
		{"unknown", 100, true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := newFixture("s1", "s2", "s3")
			s.confirmPrimaryFailed(t)
			s.now = s.now.Add(time.Millisecond)
			s.observe("s2", cluster.RoleReplica, 1, 110, 2)
			s.observe("s3", cluster.RoleReplica, 1, 110, 2)
			s.view.UnlistedPossible, s.view.AcknowledgedUnknown = true, tt.unknown
			s.view.Acknowledged = cluster.Position{Term: 1, Offset: tt.acknowledged}
			s.decide(time.Millisecond)
			if got := s.state.Phase == PhasePromoting; got != tt.elected {
				t.Fatalf("elected: %v, waits for %q", got, s.state.Wait.Reason)
			}
			if !tt.elected && s.state.Wait.Reason == "" {
				t.Error("no reason to wait is given")
			}
			s.view.UnlistedPossible = false
			s.decide(time.Millisecond)
			s.expect(t, PhasePromoting, "s2")
		})
	}
}

// TestUnlistedServersArePossible checks when a server that has received writes under a grant
// may not be listed: until the listing time has passed since the last grant ended, and while
// changes of the list are not heard of, for grant.MaxListAge at most.
func TestUnlistedServersArePossible(t *testing.T) {
	start := time.Unix(1000, 0)
	e := grantsEnd{startedAt: start}
	for i, tt := range []struct {
		after          time.Duration
		inForce, stale bool
		want           bool
	}{
		{0, false, false, true},
		{grant.ListingTime, false, false, false},
		{grant.ListingTime, false, true, false},
		{time.Minute, true, false, true},
		{2 * time.Minute, false, false, true},
		{2*time.Minute + grant.ListingTime - 1, false, false, true},
		{2*time.Minute + grant.ListingTime, false, true, true},
		{2*time.Minute + grant.MaxListAge, false, true, true},
		{2*time.Minute + grant.MaxListAge, false, false, false},
		{3 * time.Minute, true, false, true},
		{3*time.Minute + 1, false, true, true},
		{3*time.Minute + grant.MaxListAge + grant.ListingTime + 1, false, true, false},
	} {
		now := start.Add(tt.after)
		e.update(tt.inForce, now)
		if got := e.unlistedPossible(e.listingWindow(tt.stale, now), now); got != tt.want {
			t.Errorf("step %d: %v", i, got)
		}
	}
}
