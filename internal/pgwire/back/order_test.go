package back_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

func order(id, text string) *backend.Exchange {
	return &backend.Exchange{Batch: simple(statement.ClassWrite, text), OrderID: id, WantPosition: true, BufferResponse: true}
}

const orderText = "INSERT INTO rolls VALUES ('fern', 7) RETURNING qty"

func TestOrderRepeatReturnsFirstAnswer(t *testing.T) {
	g := newGroup(t, 1, nil)
	for i := range 3 {
		got, a := run(t, g.conn(0, backend.Claim{}), order("o1", orderText))
		if diff := cmp.Diff([]string{"7", "INSERT 0 1", "I"}, got); diff != "" {
			t.Error(diff)
		}
		if a.Deduplicated != (i > 0) || a.Committed != (i == 0) || !a.Position.Known() || a.Tx != backend.TxIdle {
			t.Errorf("attempt %d: %+v", i, a)
		}
	}
	c := g.conn(0, backend.Claim{})
	got, a := run(t, c, order("o1", "/* traceparent='x' */"+orderText))
	if !a.Deduplicated {
		t.Errorf("a comment made a difference: %v", got)
	}
	_, err := c.Exchange(t.Context(), order("o1", "DELETE FROM rolls"), &caller{})
	if !errcode.Is(err, errcode.OrderMismatch) {
		t.Errorf("got %v", err)
	}
	run(t, c, order("o2", "DELETE FROM rolls"))
}

func TestFailedOrderIsNotRecorded(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	for _, text := range []string{"INSERT INTO absent VALUES (1)", "SELECT 1 AS end; INSERT INTO absent VALUES (1)"} {
		got, a := run(t, c, order("o1", text))
		if a.SQLState != "42P01" || a.Committed || a.Tx != backend.TxIdle || got[len(got)-1] != "I" {
			t.Errorf("got %v %+v", got, a)
		}
	}
	if _, a := run(t, c, order("o1", orderText)); !a.Committed || a.Deduplicated {
		t.Errorf("got %+v", a)
	}
}

func TestOrderInExplicitTransaction(t *testing.T) {
	g := newGroup(t, 1, nil)
	for i := range 2 {
		c := g.conn(0, backend.Claim{})
		begin := order("o1", "BEGIN")
		begin.Batch.Class = statement.ClassBegin
		run(t, c, begin)
		run(t, c, order("o1", "UPDATE rolls SET qty = CASE WHEN qty > 1 THEN 1 END"))
		if _, a := run(t, c, order("o1", "SELECT 1")); a.Tx != backend.TxOpen {
			t.Fatalf("the transaction ended early: %+v", a)
		}
		got, a := run(t, c, order("o1", "COMMIT"))
		if diff := cmp.Diff([]string{"COMMIT", "I"}, got); diff != "" || a.Deduplicated != (i > 0) || a.Committed != (i == 0) {
			t.Errorf("attempt %d: %s %+v", i, diff, a)
		}
	}
}

func TestPreparingIsNotRecorded(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	batch := prepared("s1", "INSERT INTO rolls VALUES ($1, 1) RETURNING id", "fern")
	describe := &statement.Batch{
		Prepared: batch.Prepared,
		Messages: messages(&pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{}),
	}
	for i := range 2 {
		run(t, c, &backend.Exchange{Batch: describe, OrderID: "o1"})
		got, a := run(t, c, &backend.Exchange{Batch: batch, OrderID: "o1"})
		if diff := cmp.Diff([]string{"fern", "INSERT 0 1", "I"}, got); diff != "" || a.Deduplicated != (i > 0) {
			t.Errorf("attempt %d: %s %+v", i, diff, a)
		}
	}
}

func TestReadOnlyTransactionIsNotRecorded(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	begin := order("o1", "BEGIN READ ONLY")
	begin.Batch.Class = statement.ClassBeginReadOnly
	run(t, c, begin)
	run(t, c, order("o1", "SELECT 1"))
	got, a := run(t, c, order("o1", "COMMIT"))
	if diff := cmp.Diff([]string{"COMMIT", "I"}, got); diff != "" || a.Committed {
		t.Errorf("%s %+v", diff, a)
	}
	if _, a = run(t, c, order("o1", orderText)); a.Deduplicated {
		t.Error("a read-only transaction was recorded")
	}
}

func TestOrderOfUnsupportedShapeIsRefused(t *testing.T) {
	for _, text := range []string{"ROLLBACK; " + orderText, "COMMIT", "BEGIN; " + orderText + "; COMMIT"} {
		c := newGroup(t, 1, nil).conn(0, backend.Claim{})
		if _, err := c.Exchange(t.Context(), order("o1", text), &caller{}); !errcode.Is(err, errcode.OrderShape) || c.Sent() {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestWordsInLiteralsAreNoCommands(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	text := "INSERT INTO rolls SELECT '; commit', CASE WHEN 1 THEN 2 END /* ; rollback */"
	if _, a := run(t, c, order("o1", text)); !a.Committed {
		t.Errorf("got %+v", a)
	}
}

func TestLostAnswerIsUnknownAndRepeatable(t *testing.T) {
	g := newGroup(t, 1, nil)
	c := g.conn(0, backend.Claim{})
	g.servers[0].LoseAnswers(1)
	if _, err := c.Exchange(t.Context(), order("o1", orderText), &caller{}); !errcode.Is(err, errcode.Unknown) {
		t.Fatalf("got %v", err)
	}
	got, a := run(t, g.conn(0, backend.Claim{}), order("o1", orderText))
	if !a.Deduplicated || got[0] != "7" {
		t.Errorf("got %v %+v", got, a)
	}
}

func TestOrderLostBeforeItsCommitIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, nil)
		c := g.conn(0, backend.Claim{})
		time.AfterFunc(time.Second, func() { g.servers[0].SetDown(true) })
		_, err := c.Exchange(t.Context(), order("o1", "INSERT INTO rolls SELECT 'x', rattan_work(2000)"), &caller{})
		if !errcode.Is(err, errcode.ConnectionLost) || !c.Sent() {
			t.Errorf("got %v, sent %v", err, c.Sent())
		}
	})
}

func TestReleaseMayWithholdTheAnswer(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	refusal := errors.New("term changed")
	x := order("o1", orderText)
	x.BeforeFlush = func(_ context.Context, a backend.Result) error {
		if !a.Committed || !a.Position.Known() {
			t.Errorf("incomplete answer %+v", a)
		}
		return refusal
	}
	var conv caller
	if _, err := c.Exchange(t.Context(), x, &conv); !errors.Is(err, refusal) || len(conv.answer) != 0 {
		t.Errorf("got %v, %d bytes", err, len(conv.answer))
	}
}

func TestConcurrentRepeatsRunOnce(t *testing.T) {
	g := newGroup(t, 1, nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	first := 0
	for range 6 {
		c := g.conn(0, backend.Claim{})
		wg.Go(func() {
			a, err := c.Exchange(t.Context(), order("o1", orderText), &caller{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Error(err)
			} else if !a.Deduplicated {
				first++
			}
		})
	}
	wg.Wait()
	if first != 1 {
		t.Errorf("the order ran %d times", first)
	}
}
