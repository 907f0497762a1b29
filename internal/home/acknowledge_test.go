package home

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/statement"
)

// testTerms has a grant of term 1 while uses is positive; each look at it takes one.
type testTerms struct{ uses atomic.Int64 }

const always = 1 << 60

func (t *testTerms) Valid(_ cluster.GroupName, term cluster.Term) bool {
	return term == 1 && t.uses.Add(-1) >= 0
}

func (t *testTerms) Acknowledge(g cluster.GroupName, term cluster.Term, _ cluster.Position) bool {
	return t.Valid(g, term)
}

// withGrants runs f with a home whose servers acknowledge writes themselves, at a time
// when no grant is on the way and no server has left recently.
func withGrants(t *testing.T, f func(t *testing.T, b *testBench, h *Home, terms *testTerms)) {
	t.Helper()
	change := func(d *environment.Document) { d.Ranks.Normal.Ack = environment.AckServer }
	inBubble(t, change, func(t *testing.T, b *testBench) {
		terms := &testTerms{}
		terms.uses.Store(always)
		h := New(Config{ID: "p1", NoClaims: true, ExactClasses: true, Terms: terms}, b.group.Dialer("p1"))
		b.own(h)
		b.mustWrite(h, "s", "put k v0")
		time.Sleep(grant.DepartureDelay)
		b.mustWrite(h, "s", "put k v1")
		f(t, b, h, terms)
	})
}

func (b *testBench) highWater(h *Home) string { return h.Status().Groups[0].HighWater }

func TestGrantedWriteNeedsNoStatusCalls(t *testing.T) {
	withGrants(t, func(_ *testing.T, b *testBench, h *Home, _ *testTerms) {
		b.group.DropTraffic("s1", "s3")
		before := statusCallsTotal.Get()
		b.mustWrite(h, "s", "put k v2")
		if calls := statusCallsTotal.Get() - before; calls > 0 {
			b.t.Errorf("%d status calls", calls)
		}
	})
}

// The next election must learn which writes were acknowledged under a grant.
func TestRevocationReportsTheAcknowledgedWrite(t *testing.T) {
	inBubble(t, func(d *environment.Document) { d.Ranks.Normal.Ack = environment.AckServer }, func(t *testing.T, b *testBench) {
		start := time.Now()
		terms := grant.NewHeldGrants("p1", func() time.Duration { return time.Since(start) })
		terms.Add("orders", 1, terms.Now(), time.Hour)
		h := New(Config{ID: "p1", NoClaims: true, ExactClasses: true, Terms: terms}, b.group.Dialer("p1"))
		b.own(h)
		b.mustWrite(h, "s", "put k v1")
		if reported := terms.Revoke("orders").Acknowledged; !reported.Known() || reported.String() != b.highWater(h) {
			t.Errorf("acknowledged %v, reported %v", b.highWater(h), reported)
		}
	})
}

func TestAcknowledgementWithoutGrantWaitsForAllServers(t *testing.T) {
	withGrants(t, func(t *testing.T, b *testBench, h *Home, terms *testTerms) {
		terms.uses.Store(0)
		b.group.DropTraffic("s1", "s3")
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { b.group.RestoreTraffic("s1", "s3") })
		b.mustWrite(h, "s", "put k v2")
		if held := time.Since(start); held < 300*time.Millisecond {
			t.Errorf("acknowledged after %v, before s3 had the write", held)
		}
	})
}

func TestAcknowledgementWithoutGrantIsPassedOnOnceGranted(t *testing.T) {
	withGrants(t, func(t *testing.T, b *testBench, h *Home, terms *testTerms) {
		terms.uses.Store(0)
		b.group.DropTraffic("s1", "s3")
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { terms.uses.Store(always) })
		b.mustWrite(h, "s", "put k v2")
		if held := time.Since(start); held < 300*time.Millisecond {
			t.Errorf("acknowledged after %v, before there was a grant", held)
		}
	})
}

func TestGrantThatEndsBeforeTheAnswerDoesNotCount(t *testing.T) {
	withGrants(t, func(t *testing.T, b *testBench, h *Home, terms *testTerms) {
		b.group.DropTraffic("s1", "s3")
		before := b.highWater(h)
		time.AfterFunc(time.Microsecond, func() { terms.uses.Store(0) }) // the write is on its way to s1
		_, err := b.write(h, "s", "put k v2")
		if !errcode.Is(err, errcode.Unknown) {
			t.Errorf("outcome: %v", err)
		}
		if after := b.highWater(h); after != before {
			t.Errorf("the write counts as acknowledged: %v after %v", after, before)
		}
	})
}

func TestWriteIsRefusedWhileNothingCanConfirmIt(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prepare func(b *testBench, h *Home)
	}{
		{"a server does not respond", func(b *testBench, _ *Home) { b.group.Kill("s3") }},
		{"a server has left", func(b *testBench, h *Home) {
			d := *b.document
			d.Groups = []environment.Group{{Name: "orders", Servers: d.Groups[0].Servers[:2]}}
			h.SetDocument(&d)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			withGrants(t, func(t *testing.T, b *testBench, h *Home, terms *testTerms) {
				tt.prepare(b, h)
				terms.uses.Store(0)
				time.Sleep(2 * time.Second)
				start := time.Now()
				_, err := b.write(h, "s", "put k v2")
				if !errcode.Is(err, errcode.NoPrimary) || errcode.From(err).RetryAfter == 0 || time.Since(start) > 0 {
					t.Errorf("after %v: %v", time.Since(start), err)
				}
				_, _, err = run(h, b.request(statement.ClassBegin, "begin"),
					statement.Batch{Messages: []byte("put k v3")}, statement.Batch{Messages: []byte("commit"), Class: statement.ClassCommit})
				if !errcode.Is(err, errcode.RolledBack) {
					t.Errorf("transaction: %v", err)
				}
				if got := b.group.CommittedValues("s1", "k"); len(got) != 2 {
					t.Errorf("a write that was reported as not run has run: %v", got)
				}
			})
		})
	}
}

func TestServerThatIsListedAgainDoesNotCountAsGone(t *testing.T) {
	withGrants(t, func(_ *testing.T, b *testBench, h *Home, terms *testTerms) {
		d := *b.document
		d.Groups = []environment.Group{{Name: "orders", Servers: d.Groups[0].Servers[:2]}}
		h.SetDocument(&d)
		h.SetDocument(b.document)
		time.Sleep(time.Second)
		terms.uses.Store(0)
		b.mustWrite(h, "s", "put k v2")
	})
}

func TestWriteWaitsForFirstGrantOfNewTerm(t *testing.T) {
	change := func(d *environment.Document) { d.Ranks.Normal.Ack = environment.AckServer }
	inBubble(t, change, func(t *testing.T, b *testBench) {
		terms := &testTerms{}
		h := New(Config{ID: "p1", NoClaims: true, ExactClasses: true, Terms: terms}, b.group.Dialer("p1"))
		b.own(h)
		time.AfterFunc(300*time.Millisecond, func() { terms.uses.Store(always) })
		for range 4 { // more than there are slots
			go func() { _, _ = b.write(h, "s", "put k v0") }()
		}
		time.Sleep(200 * time.Millisecond)
		if running := h.Status().Groups[0].Ranks[cluster.RankNormal].Running; running > 0 {
			t.Errorf("%d waiting writes hold slots", running)
		}
		b.mustWrite(h, "s", "put k v0")
	})
}
