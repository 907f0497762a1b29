package home

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/statement"
)

func (b *testBench) ownerOf(h *Home) *owner {
	b.t.Helper()
	o, err := h.ownerFor("orders")
	if err != nil {
		b.t.Fatal(err)
	}
	return o
}

// The position of a commit on a replaced primary is lower than the positions of the
// new term, so every follower of the new primary appears to have received it. It
// must not be acknowledged.
func TestCommitOfReplacedPrimaryIsNotAcknowledged(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "clerk", "put k v1")
		b.group.Suspend("s1")
		b.promote(2, "s2", "s3")
		time.Sleep(time.Second)
		b.mustWrite(h, "clerk", "put k v2")
		o := b.ownerOf(h)
		r := o.newRequest(b.request(statement.ClassWrite, "put k v3"), &caller{})
		lost := cluster.Position{Term: 1, Offset: 2}
		if p, err := o.awaitAck(context.Background(), r, 2, lost); err == nil {
			t.Errorf("%v was acknowledged as %v", lost, p)
		}
		b.group.Resume("s1")
	})
}

// chooseDuringPromotion queues r behind two writes and lets the home learn of a new
// term, which starts after the first record, before r continues. If early is set,
// r is granted a slot in the old term.
func chooseDuringPromotion(o *owner, b *testBench, r *statement.Request, early bool) (*attempt, error) {
	choose := func(r *statement.Request) (*attempt, error) {
		return o.selectServer(context.Background(), o.newRequest(r, &caller{}), rank.LanePrimary)
	}
	first, _ := choose(b.request(statement.ClassWrite, "put k v2"))
	second, _ := choose(b.request(statement.ClassWrite, "put k v2"))
	defer second.slot.Release()
	var att *attempt
	var err error
	var waiting sync.WaitGroup
	waiting.Go(func() { att, err = choose(r) })
	synctest.Wait()
	o.mu.Lock()
	if early {
		first.slot.Release()
	} else {
		defer first.slot.Release()
	}
	for _, id := range allServers {
		report := o.view.reports[id]
		report.status.Term = 2
		o.view.reports[id] = report
	}
	o.view.term, o.view.primary = 2, "s2"
	o.view.terms.termStarts[2] = cluster.Position{Term: 1, Offset: 1}
	o.primaryChanged()
	o.rebuildRouting()
	o.mu.Unlock()
	waiting.Wait()
	return att, err
}

// A slot may be granted at a primary that is replaced before the request
// continues. The request must not run there as if the server were a replica.
func TestSlotAtReplacedPrimaryIsGivenBack(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "clerk", "put k v1")
		att, err := chooseDuringPromotion(b.ownerOf(h), b, b.request(statement.ClassWrite, "put k v3"), true)
		if err != nil {
			t.Fatal(err)
		}
		defer att.slot.Release()
		if att.node.server.ID != "s2" || att.routing.Primary != "s2" {
			t.Errorf("granted at %s in a term whose primary is %s", att.node.server.ID, att.routing.Primary)
		}
	})
}

// A floor that a promotion discarded is refused even if the request was admitted
// before the promotion.
func TestFloorLostInReplacedTermIsRefused(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "clerk", "put k v1")
		r := b.request(statement.ClassPrimaryRead, "get k")
		r.Floor, r.FloorExact = cluster.Position{Term: 1, Offset: 9}, true
		att, err := chooseDuringPromotion(b.ownerOf(h), b, r, false)
		if !errcode.Is(err, errcode.PositionLost) {
			t.Errorf("a floor that is lost gave %+v, %v", att, err)
		}
		if err == nil {
			att.slot.Release()
		}
	})
}

// An owner that is released while claiming must not win the claim later, next to
// another owner. Requests that waited for it have not run.
func TestReleaseEndsClaim(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		for _, id := range allServers {
			b.group.DropTraffic("p1", string(id))
		}
		h := b.home("p1")
		result := make(chan error)
		go func() {
			_, err := b.write(h, "clerk", "put k v1")
			result <- err
		}()
		time.Sleep(100 * time.Millisecond)
		h.Disown("orders")
		for _, id := range allServers {
			b.group.RestoreTraffic("p1", string(id))
		}
		if err := <-result; err == nil || errcode.From(err).Code.Outcome != errcode.OutcomeNotRun {
			t.Errorf("waiting request ended with %v", err)
		}
		time.Sleep(time.Second)
		if s := b.group.Status("s1"); s.Epoch != 0 || len(b.group.CommittedValues("s1", "k")) != 0 {
			t.Errorf("claim continued after the release: %+v", s)
		}
	})
}

// A data connection carries a claim that was accepted: a server admits no other
// home with the same epoch.
func TestServerAdmitsOneHomePerEpoch(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		h := b.home("p1")
		b.mustWrite(h, "clerk", "put k v1")
		o := b.ownerOf(h)
		claim := o.backendClaim()
		claim.Home = "p2"
		if c, err := b.group.Dialer("p2").Dial(context.Background(), o.node("s1").server, "orders", "", claim); err == nil {
			_ = c.Close()
			t.Error("admitted")
		}
	})
}
