package home

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/backend/backendtest"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// withAndWithoutRule runs a scenario with a safety rule, which must pass, and with
// the rule disabled, which must fail.
func withAndWithoutRule(t *testing.T, rule safetyRules, scenario func(t *testing.T, b *testBench, rule safetyRules) error) {
	t.Helper()
	for _, disabled := range []safetyRules{{}, rule} {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			err := scenario(t, b, disabled)
			switch {
			case disabled == safetyRules{} && err != nil:
				t.Errorf("with the rule: %v", err)
			case disabled != safetyRules{} && err == nil:
				t.Error("scenario passed without the rule")
			}
		})
	}
}

func (b *testBench) homeWithout(id cluster.ProxyID, disabled safetyRules) *Home {
	h := New(Config{ID: id}, b.group.Dialer(string(id)))
	h.disabled = disabled
	b.own(h)
	return h
}

func TestReadYourWritesAfterGroupMoved(t *testing.T) {
	withAndWithoutRule(t, safetyRules{sessionFloors: true}, func(t *testing.T, b *testBench, disabled safetyRules) error {
		b.mustWrite(b.homeWithout("p1", disabled), "clerk", "put k v1")
		h := b.homeWithout("p2", disabled)
		text, r, err := b.read(h, "clerk", "k")
		if err != nil {
			t.Fatal(err)
		}
		if text != "v1" {
			return fmt.Errorf("stale read %q: %+v", text, r)
		}
		return nil
	})
}

func TestReadYourWritesAtHome(t *testing.T) {
	withAndWithoutRule(t, safetyRules{sessionFloors: true}, func(t *testing.T, b *testBench, disabled safetyRules) error {
		h := b.homeWithout("p1", disabled)
		b.mustWrite(h, "clerk", "put k v0")
		time.Sleep(time.Second)
		b.mustWrite(h, "clerk", "put k v1")
		if text, r, err := b.read(h, "clerk", "k"); err != nil || text != "v1" {
			return fmt.Errorf("read %q: %+v %w", text, r, err)
		}
		return nil
	})
}

// A home that is partitioned together with the old primary must not serve stale
// reads to a session that wrote through the new home.
func TestIsolatedHomeServesNoStaleRead(t *testing.T) {
	withAndWithoutRule(t, safetyRules{quorumProof: true}, func(t *testing.T, b *testBench, disabled safetyRules) error {
		old := b.homeWithout("p1", disabled)
		b.mustWrite(old, "clerk", "put k v1")
		b.group.Isolate("s1", "warden", "p2")
		for _, id := range []string{"s2", "s3"} {
			b.group.DropTraffic("p1", id)
			b.group.DropTraffic(id, "p1")
		}
		b.promote(2, "s2", "s3")
		b.mustWrite(b.homeWithout("p2", disabled), "clerk", "put k v2")
		text, r, err := b.read(old, "clerk", "k")
		if err == nil && text != "v2" {
			return fmt.Errorf("stale read %q: %+v", text, r)
		}
		if disabled == (safetyRules{}) && !errcode.Is(err, errcode.NotFresh) && !errcode.Is(err, errcode.ConnectionLost) {
			return fmt.Errorf("unexpected error %w", err)
		}
		return nil
	})
}

func TestIsolatedPrimaryAcknowledgesNothing(t *testing.T) {
	withAndWithoutRule(t, safetyRules{quorumProof: true}, func(t *testing.T, b *testBench, disabled safetyRules) error {
		old := b.homeWithout("p1", disabled)
		b.mustWrite(old, "cook", "put k v1")
		b.group.Isolate("s1", "warden", "p2")
		for _, id := range []string{"s2", "s3"} {
			b.group.DropTraffic("p1", id)
			b.group.DropTraffic(id, "p1")
		}
		b.promote(2, "s2", "s3")
		_, err := b.write(old, "cook", "put k lost")
		if err == nil {
			return errors.New("a replaced primary acknowledged a write")
		}
		if !errcode.Is(err, errcode.Unknown) {
			return fmt.Errorf("outcome: %w", err)
		}
		return nil
	})
}

func TestAcknowledgedWriteSurvivesFailover(t *testing.T) {
	withAndWithoutRule(t, safetyRules{replicationWait: true}, func(t *testing.T, b *testBench, disabled safetyRules) error {
		h := b.homeWithout("p1", disabled)
		b.mustWrite(h, "cook", "put k v0")
		b.group.DropTraffic("s1", "s2") // the log no longer reaches any replica
		b.group.DropTraffic("s1", "s3")
		r := b.request(statement.ClassWrite, "put k v1")
		r.Timeout = 500 * time.Millisecond
		_, _, err := run(h, r)
		b.group.Kill("s1")
		b.promote(2, "s2", "s3")
		kept := len(b.group.CommittedValues("s2", "k")) == 2
		if err == nil && !kept {
			return errors.New("an acknowledged write was lost")
		}
		if disabled == (safetyRules{}) && !errcode.Is(err, errcode.Unknown) {
			return fmt.Errorf("outcome: %w", err)
		}
		return nil
	})
}

func TestPausedHomeFindsOutThatItWasReplaced(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		old := b.home("p1")
		b.mustWrite(old, "clerk", "put k v1")
		for _, id := range []string{"s1", "s2", "s3"} {
			b.group.DropTraffic("p1", id)
		}
		b.mustWrite(b.home("p2"), "clerk", "put k v2")
		for _, id := range []string{"s1", "s2", "s3"} {
			b.group.RestoreTraffic("p1", id)
		}
		if _, err := b.write(old, "clerk", "put k v3"); err == nil {
			t.Fatal("the superseded home acknowledged a write")
		}
		time.Sleep(time.Second)
		_, err := b.write(old, "clerk", "put k v4")
		if !errcode.Is(err, errcode.Superseded) || errcode.From(err).Peer != "p2" {
			t.Fatalf("want superseded by p2, got %v", err)
		}
		if got := b.group.CommittedValues("s1", "k"); len(got) != 2 {
			t.Fatalf("the superseded home wrote: %v", got)
		}
	})
}

func TestOrderWithLostResponse(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "", "put k v0")
		b.group.LoseResponses("s1", 1)
		_, err := b.write(h, "", "put k v1")
		if !errcode.Is(err, errcode.Unknown) {
			t.Fatalf("without an id: %v", err)
		}
		b.group.LoseResponses("s1", 2)
		r := b.request(statement.ClassWrite, "put k v2")
		r.OrderID = "order-2"
		text, result, err := run(h, r)
		if err != nil || !result.Deduplicated || text != "put k v2" {
			t.Fatalf("with an id: %q %+v %v", text, result, err)
		}
		if got := b.group.CommittedValues("s1", "k"); len(got) != 3 {
			t.Fatalf("writes executed: %v", got)
		}
	})
}

func TestOrderAcrossFailover(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "", "put k v0")
		b.group.LoseResponses("s1", 1)
		r := b.request(statement.ClassWrite, "put k v1")
		r.OrderID = "order-1"
		var text string
		var err error
		done := make(chan struct{})
		go func() {
			defer close(done)
			text, _, err = run(h, r)
		}()
		time.Sleep(4 * time.Millisecond)
		b.group.Kill("s1")
		time.Sleep(200 * time.Millisecond)
		b.promote(2, "s2", "s3")
		<-done
		if err != nil || text != "put k v1" {
			t.Fatalf("%q %v", text, err)
		}
		if got := b.group.CommittedValues("s2", "k"); len(got) != 2 {
			t.Fatalf("writes executed: %v", got)
		}
	})
}

func TestTransactionsNeverMix(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		const callers = 60
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				key := fmt.Sprintf("k%d", i)
				c := &caller{pause: time.Millisecond, batches: []statement.Batch{
					{Messages: []byte("put " + key + " a")},
					{Messages: []byte("get " + key), Class: statement.ClassRead},
				}}
				if i%3 > 0 { // every third caller disconnects without a commit
					c.batches = append(c.batches, statement.Batch{Messages: []byte("commit")})
				}
				r := &statement.Request{ID: key, Group: "orders", Rank: cluster.RankNormal, First: statement.Batch{Messages: []byte("begin"), Class: statement.ClassBegin}}
				if _, err := h.Run(context.Background(), r, c); err != nil {
					t.Errorf("%s: %v", key, err)
				}
				if got := len(b.group.CommittedValues("s1", key)); got != min(i%3, 1) {
					t.Errorf("%s: %d commits", key, got)
				}
			})
		}
		wg.Wait()
		for _, id := range []cluster.ServerID{"s1", "s2", "s3"} {
			if u := b.group.Usage(id); u.MaxBusy > 2 || u.MaxConns > 12 {
				t.Errorf("%s: %+v", id, u)
			}
		}
	})
}

func TestTransactionWhosePrimaryFails(t *testing.T) {
	for _, tt := range []struct {
		name  string
		fault func(g *backendtest.Group)
		at    time.Duration
		want  errcode.Code
	}{
		{"between statements", func(g *backendtest.Group) { g.Kill("s1") }, 30 * time.Millisecond, errcode.ConnectionLost},
		{"after commit was sent", func(g *backendtest.Group) { g.LoseResponses("s1", 1) }, 30 * time.Millisecond, errcode.Unknown},
	} {
		inBubble(t, nil, func(t *testing.T, b *testBench) {
			h := b.home("p1")
			time.AfterFunc(tt.at, func() { tt.fault(b.group) })
			c := &caller{pause: 40 * time.Millisecond, batches: []statement.Batch{
				{Messages: []byte("get k"), Class: statement.ClassRead}, {Messages: []byte("commit")},
			}}
			if tt.want.Name == errcode.Unknown.Name {
				c.batches = c.batches[1:]
			}
			_, err := h.Run(t.Context(), b.request(statement.ClassBegin, "begin"), c)
			if !errcode.Is(err, tt.want) {
				t.Errorf("%s: %v", tt.name, err)
			}
		})
	}
}

func TestFloorMissingOnNewPrimaryIsRefused(t *testing.T) {
	change := func(d *environment.Document) { d.Ranks.Normal.Ack = environment.AckPrimary }
	inBubble(t, change, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		kept := b.mustWrite(h, "a", "put k v0")
		time.Sleep(time.Second)
		b.group.DropTraffic("s1", "s2")
		b.group.DropTraffic("s1", "s3")
		lostWrite := b.mustWrite(h, "b", "put k v1")
		b.group.Kill("s1")
		b.promote(2, "s2", "s3")
		b.mustWrite(h, "c", "put k v2")
		b.mustWrite(h, "c", "put k v3")
		for floor, want := range map[cluster.Position]bool{kept.Position: true, lostWrite.Position: false} {
			r := b.request(statement.ClassRead, "get k")
			r.Floor, r.FloorExact = floor, true
			_, _, err := run(h, r)
			if want != (err == nil) || (err != nil && !errcode.Is(err, errcode.PositionLost)) {
				t.Errorf("floor %s: %v", floor, err)
			}
		}
	})
}

// hookedDialer calls beforeExchange before every exchange.
type hookedDialer struct {
	backend.Dialer
	beforeExchange func(x *backend.Exchange)
}

type hookedConn struct {
	backend.Conn
	beforeExchange func(x *backend.Exchange)
}

func (d *hookedDialer) Dial(ctx context.Context, s cluster.Server, g cluster.GroupName, organisation string, c backend.Claim) (backend.Conn, error) {
	conn, err := d.Dialer.Dial(ctx, s, g, organisation, c)
	if err != nil {
		return nil, err
	}
	return &hookedConn{conn, d.beforeExchange}, nil
}

func (c *hookedConn) Exchange(ctx context.Context, x *backend.Exchange, conv statement.Conversation) (backend.Result, error) {
	c.beforeExchange(x)
	return c.Conn.Exchange(ctx, x, conv)
}

// A statement that is classified as a read but writes is refused by a replica or,
// if no replica is fresh enough, by the primary. It is then run as a write: if the
// response is lost, the outcome is unknown and the statement is not retried.
func TestWriteClassifiedAsRead(t *testing.T) {
	for _, class := range []statement.Class{statement.ClassRead, statement.ClassPrimaryRead} {
		for _, catchUpTime := range []time.Duration{0, time.Second} {
			inBubble(t, nil, func(t *testing.T, b *testBench) {
				lose := false
				h := New(Config{ID: "p1"}, &hookedDialer{b.group.Dialer("p1"), func(x *backend.Exchange) {
					if lose && x.Batch.Class == statement.ClassWrite {
						b.group.LoseResponses("s1", 1)
					}
				}})
				b.own(h)
				b.mustWrite(h, "", "put k v0")
				time.Sleep(catchUpTime)
				text, result, err := run(h, b.request(class, "put k v1"))
				if err != nil || !result.Primary || !result.Position.Known() || text != "put k v1" {
					t.Fatalf("%q %+v %v", text, result, err)
				}
				time.Sleep(catchUpTime)
				lose = true
				_, _, err = run(h, b.request(class, "put k v2"))
				if !errcode.Is(err, errcode.Unknown) {
					t.Errorf("with a lost response: %v", err)
				}
				if got := b.group.CommittedValues("s1", "k"); len(got) != 3 {
					t.Errorf("writes executed: %v", got)
				}
			})
		}
	}
}

// The floor that the home assumes for unknown sessions must not make their reads
// fail when a promotion discards records that were never acknowledged.
func TestUnknownSessionReadsAfterUnacknowledgedRecordsWereLost(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		b.mustWrite(b.home("p1"), "a", "put k v0")
		time.Sleep(time.Second)
		b.group.DropTraffic("s1", "s2")
		b.group.DropTraffic("s1", "s3")
		r := b.request(statement.ClassWrite, "put k v1")
		r.Timeout = 100 * time.Millisecond
		if _, _, err := run(b.homes[0], r); !errcode.Is(err, errcode.Unknown) {
			t.Fatalf("write that no replica received: %v", err)
		}
		h := b.home("p2")
		time.Sleep(time.Second)
		b.group.Kill("s1")
		b.promote(2, "s2", "s3")
		if text, _, err := b.read(h, "new", "k"); err != nil || text != "v0" {
			t.Errorf("read %q %v", text, err)
		}
	})
}

func TestReadsContinueWithoutPrimary(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		w := b.mustWrite(b.home("p1"), "a", "put k v0")
		time.Sleep(time.Second)
		b.group.Kill("s1")
		h := b.home("p2")
		r := b.request(statement.ClassRead, "get k")
		r.Floor, r.FloorExact = w.Position, true
		if text, _, err := run(h, r); err != nil || text != "v0" {
			t.Errorf("read with an exact floor: %q %v", text, err)
		}
		if _, err := b.write(h, "a", "put k v1"); !errcode.Is(err, errcode.NoPrimary) {
			t.Errorf("write: %v", err)
		}
	})
}
