package grant

import (
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// fakeClock is a clock that is set by the test.
type fakeClock struct{ now time.Duration }

func (c *fakeClock) read() time.Duration { return c.now }

func TestGrantEndsWithTheLease(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	issuer, held := NewIssuer(clock.read), NewHeldGrants("p1", clock.read)
	issuer.Allow("g", 3)
	for _, tt := range []struct {
		name        string
		lease, want time.Duration
	}{
		{"long lease", 10 * time.Second, MaxDuration},
		{"short lease", 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			requestedAt := held.Now()
			term, duration, ok := issuer.Issue(Holder{"p1", 1}, "g", tt.lease)
			if !ok || term != 3 || duration != tt.want {
				t.Fatalf("granted term %d for %v, %v", term, duration, ok)
			}
			clock.now += 50 * time.Millisecond // the time that the answer takes
			held.Add("g", term, requestedAt, duration)
			clock.now = requestedAt + duration - 1
			if !held.Valid("g", 3) || held.Valid("g", 4) || held.Valid("other", 3) {
				t.Error("the grant is not valid for exactly its group and term")
			}
			clock.now = requestedAt + duration
			if held.Valid("g", 3) {
				t.Error("the grant is valid for longer than its duration, counted from the request")
			}
			clock.now = requestedAt + MaxDuration + time.Second
		})
	}
	if _, _, ok := issuer.Issue(Holder{"p1", 1}, "g", 0); ok {
		t.Error("granted without a lease")
	}
}

func TestBlockStopsGrantsAndReturnsHolders(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	issuer := NewIssuer(clock.read)
	issuer.Allow("g", 3)
	for _, proxy := range []cluster.ProxyID{"p1", "p2"} {
		if _, _, ok := issuer.Issue(Holder{proxy, 1}, "g", time.Minute); !ok {
			t.Fatal("not granted")
		}
	}
	holders, last := issuer.Block("g")
	if len(holders) != 2 {
		t.Errorf("holders %v, want two", holders)
	}
	if _, _, ok := issuer.Issue(Holder{"p3", 1}, "g", time.Minute); ok {
		t.Error("granted while blocked")
	}
	issuer.RecordRevoked(Revocation{Holder: Holder{"p1", 1}}, "g", last)
	if !issuer.Outstanding("g") {
		t.Error("the grant of p2 does not count as outstanding")
	}
	clock.now += MaxDuration
	if issuer.Outstanding("g") {
		t.Error("an expired grant counts as outstanding")
	}
}

// TestLateRevocationKeepsNewerGrant lets the answer to a revocation arrive after the process
// has been given another grant, which is outstanding all the same.
func TestLateRevocationKeepsNewerGrant(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	issuer := NewIssuer(clock.read)
	issuer.Allow("g", 3)
	_, _, _ = issuer.Issue(Holder{"p1", 1}, "g", time.Minute)
	_, last := issuer.Block("g")
	issuer.Allow("g", 3)
	_, _, _ = issuer.Issue(Holder{"p1", 1}, "g", time.Minute)
	issuer.RecordRevoked(Revocation{Holder: Holder{"p1", 1}}, "g", last)
	if !issuer.Outstanding("g") {
		t.Error("the grant that followed the revocation does not count as outstanding")
	}
}

// TestGrantRequestedBeforeRevocationIsIgnored lets the answer to a request
// arrive after the revocation of the group's grants: the grant in it must not count.
func TestGrantRequestedBeforeRevocationIsIgnored(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	held := NewHeldGrants("p1", clock.read)
	requestedAt := held.Now()
	clock.now += 10 * time.Millisecond
	held.Revoke("g")
	held.Add("g", 3, requestedAt, MaxDuration)
	if held.Valid("g", 3) {
		t.Error("a grant that was requested before the revocation is valid")
	}
	clock.now += time.Millisecond
	held.Add("g", 4, held.Now(), MaxDuration)
	if !held.Valid("g", 4) {
		t.Error("a grant that was requested after the revocation is not valid")
	}
}

// TestGrantsOfEarlierProcessAreOutstanding starts an issuer whose earlier process may have
// issued a grant just before it ended.
func TestGrantsOfEarlierProcessAreOutstanding(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	issuer := NewIssuer(clock.read)
	issuer.AssumeEarlierGrants()
	issuer.Allow("g", 3)
	issuer.Block("g")
	if clock.now += MaxDuration - 1; !issuer.Outstanding("g") {
		t.Error("no grant is outstanding before those of the earlier process have expired")
	}
	if clock.now++; issuer.Outstanding("g") {
		t.Error("a grant is outstanding after all have expired")
	}
}

// TestRevocationReportsWhatWasAcknowledged guards against an election that does not know of a
// write which a process has acknowledged under a grant.
func TestRevocationReportsWhatWasAcknowledged(t *testing.T) {
	clock := &fakeClock{now: time.Hour}
	issuer, held := NewIssuer(clock.read), NewHeldGrants("p1", clock.read)
	issuer.Allow("g", 3)
	term, duration, _ := issuer.Issue(held.Holder(), "g", time.Minute)
	held.Add("g", term, held.Now(), duration)
	written := cluster.Position{Term: 3, Offset: 7}
	if !held.Acknowledge("g", 3, written) || held.Acknowledge("g", 4, cluster.Position{Term: 4, Offset: 1}) {
		t.Error("a commit is acknowledged exactly under a grant of its term")
	}
	clock.now += MaxDuration + ListingTime/2 // it has expired, and the process is asked all the same
	holders, last := issuer.Block("g")
	if _, other := issuer.Acknowledged("g", ListingTime); len(holders) != 1 || !other {
		t.Fatalf("holders %v, unknown %v before the revocation", holders, other)
	}
	issuer.RecordRevoked(held.Revoke("g"), "g", last)
	if highest, other := issuer.Acknowledged("g", ListingTime); highest != written || other {
		t.Errorf("acknowledged %v, unknown %v", highest, other)
	}
}

// TestAcknowledgedIsUnknownUntilServersAreListed lets processes end with their grants, answer
// as another run, and acknowledge a commit without a position: what they acknowledged must
// count as unknown until servers that have received it are listed.
func TestAcknowledgedIsUnknownUntilServersAreListed(t *testing.T) {
	for _, tt := range []struct {
		name   string
		revoke func(*HeldGrants) Revocation
	}{
		{"no answer", nil},
		{"another run", func(*HeldGrants) Revocation { return Revocation{Holder: Holder{"p1", 7}} }},
		{"an earlier version", func(*HeldGrants) Revocation { return Revocation{Holder: Holder{"p1", 0}} }},
		{"no position", func(h *HeldGrants) Revocation {
			h.Acknowledge("g", 3, cluster.Position{})
			return h.Revoke("g")
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			clock := &fakeClock{now: time.Hour}
			issuer, held := NewIssuer(clock.read), NewHeldGrants("p1", clock.read)
			issuer.Allow("g", 3)
			term, duration, _ := issuer.Issue(held.Holder(), "g", time.Minute)
			held.Add("g", term, held.Now(), duration)
			_, last := issuer.Block("g")
			ended := clock.now + MaxDuration
			if tt.revoke != nil {
				issuer.RecordRevoked(tt.revoke(held), "g", last)
				ended = clock.now
				if issuer.Outstanding("g") {
					t.Error("a grant is outstanding after its process has answered")
				}
			}
			if clock.now = ended + ListingTime - 1; !unknown(issuer) {
				t.Error("known while a server may not be listed")
			}
			if clock.now++; unknown(issuer) {
				t.Error("unknown after all servers are listed")
			}
		})
	}
}

func unknown(i *Issuer) bool {
	_, other := i.Acknowledged("g", ListingTime)
	return other
}
