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

func orderExchange(id, text string) *backend.Exchange {
	return &backend.Exchange{Batch: simpleQuery(statement.ClassWrite, text), OrderID: id, WantPosition: true, BufferResponse: true}
}

const orderText = "INSERT INTO rolls VALUES ('fern', 7) RETURNING qty"

func TestOrderRepeatReturnsFirstAnswer(t *testing.T) {
	g := newGroup(t, 1, nil)
	for i := range 3 {
		got, result := run(t, g.conn(0, backend.Claim{}), orderExchange("o1", orderText))
		if diff := cmp.Diff([]string{"7", "INSERT 0 1", "I"}, got); diff != "" {
			t.Error(diff)
		}
		if result.Deduplicated != (i > 0) || result.Committed != (i == 0) || !result.Position.Known() || result.Tx != backend.TxIdle {
			t.Errorf("attempt %d: %+v", i, result)
		}
	}
	c := g.conn(0, backend.Claim{})
	got, result := run(t, c, orderExchange("o1", "/* traceparent='x' */"+orderText))
	if !result.Deduplicated {
		t.Errorf("a different comment changed the digest: %v", got)
	}
	_, err := c.Exchange(t.Context(), orderExchange("o1", "DELETE FROM rolls"), &caller{})
	if !errcode.Is(err, errcode.OrderMismatch) {
		t.Errorf("got %v", err)
	}
	run(t, c, orderExchange("o2", "DELETE FROM rolls"))
}

func TestFailedOrderIsNotRecorded(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	for _, text := range []string{"INSERT INTO absent VALUES (1)", "SELECT 1 AS end; INSERT INTO absent VALUES (1)"} {
		got, result := run(t, c, orderExchange("o1", text))
		if result.SQLState != "42P01" || result.Committed || result.Tx != backend.TxIdle || got[len(got)-1] != "I" {
			t.Errorf("got %v %+v", got, result)
		}
	}
	if _, result := run(t, c, orderExchange("o1", orderText)); !result.Committed || result.Deduplicated {
		t.Errorf("got %+v", result)
	}
}

func TestOrderInExplicitTransaction(t *testing.T) {
	g := newGroup(t, 1, nil)
	for i := range 2 {
		c := g.conn(0, backend.Claim{})
		begin := orderExchange("o1", "BEGIN")
		begin.Batch.Class = statement.ClassBegin
		run(t, c, begin)
		run(t, c, orderExchange("o1", "UPDATE rolls SET qty = CASE WHEN qty > 1 THEN 1 END"))
		if _, result := run(t, c, orderExchange("o1", "SELECT 1")); result.Tx != backend.TxOpen {
			t.Fatalf("the transaction ended before COMMIT: %+v", result)
		}
		got, result := run(t, c, orderExchange("o1", "COMMIT"))
		if diff := cmp.Diff([]string{"COMMIT", "I"}, got); diff != "" || result.Deduplicated != (i > 0) || result.Committed != (i == 0) {
			t.Errorf("attempt %d: %s %+v", i, diff, result)
		}
	}
}

func TestPrepareAndDescribeAreNotRecorded(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	batch := preparedBatch("s1", "INSERT INTO rolls VALUES ($1, 1) RETURNING id", "fern")
	describe := &statement.Batch{
		Prepared: batch.Prepared,
		Messages: messages(&pgproto3.Describe{ObjectType: 'S', Name: "s1"}, &pgproto3.Sync{}),
	}
	for i := range 2 {
		run(t, c, &backend.Exchange{Batch: describe, OrderID: "o1"})
		got, result := run(t, c, &backend.Exchange{Batch: batch, OrderID: "o1"})
		if diff := cmp.Diff([]string{"fern", "INSERT 0 1", "I"}, got); diff != "" || result.Deduplicated != (i > 0) {
			t.Errorf("attempt %d: %s %+v", i, diff, result)
		}
	}
}

func TestReadOnlyTransactionIsNotRecorded(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	begin := orderExchange("o1", "BEGIN READ ONLY")
	begin.Batch.Class = statement.ClassBeginReadOnly
	run(t, c, begin)
	run(t, c, orderExchange("o1", "SELECT 1"))
	got, result := run(t, c, orderExchange("o1", "COMMIT"))
	if diff := cmp.Diff([]string{"COMMIT", "I"}, got); diff != "" || result.Committed {
		t.Errorf("%s %+v", diff, result)
	}
	if _, result = run(t, c, orderExchange("o1", orderText)); result.Deduplicated {
		t.Error("a read-only transaction was recorded")
	}
}

func TestOrderWithUnsupportedCommandsIsRefused(t *testing.T) {
	for _, text := range []string{"ROLLBACK; " + orderText, "COMMIT", "BEGIN; " + orderText + "; COMMIT"} {
		c := newGroup(t, 1, nil).conn(0, backend.Claim{})
		if _, err := c.Exchange(t.Context(), orderExchange("o1", text), &caller{}); !errcode.Is(err, errcode.OrderShape) || c.Sent() {
			t.Errorf("%s: %v", text, err)
		}
	}
}

func TestKeywordsInLiteralsAreIgnored(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	text := "INSERT INTO rolls SELECT '; commit', CASE WHEN 1 THEN 2 END /* ; rollback */"
	if _, result := run(t, c, orderExchange("o1", text)); !result.Committed {
		t.Errorf("got %+v", result)
	}
}

func TestLostResponseIsUnknownAndRepeatable(t *testing.T) {
	g := newGroup(t, 1, nil)
	c := g.conn(0, backend.Claim{})
	g.servers[0].DropResponses(1)
	if _, err := c.Exchange(t.Context(), orderExchange("o1", orderText), &caller{}); !errcode.Is(err, errcode.Unknown) {
		t.Fatalf("got %v", err)
	}
	got, result := run(t, g.conn(0, backend.Claim{}), orderExchange("o1", orderText))
	if !result.Deduplicated || got[0] != "7" {
		t.Errorf("got %v %+v", got, result)
	}
}

func TestOrderLostBeforeCommitIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 1, nil)
		c := g.conn(0, backend.Claim{})
		time.AfterFunc(time.Second, func() { g.servers[0].SetDown(true) })
		_, err := c.Exchange(t.Context(), orderExchange("o1", "INSERT INTO rolls SELECT 'x', rattan_work(2000)"), &caller{})
		if !errcode.Is(err, errcode.ConnectionLost) || !c.Sent() {
			t.Errorf("got %v, sent %v", err, c.Sent())
		}
	})
}

func TestBeforeFlushErrorWithholdsResponse(t *testing.T) {
	c := newGroup(t, 1, nil).conn(0, backend.Claim{})
	refusal := errors.New("term changed")
	x := orderExchange("o1", orderText)
	x.BeforeFlush = func(_ context.Context, result backend.Result) error {
		if !result.Committed || !result.Position.Known() {
			t.Errorf("incomplete result %+v", result)
		}
		return refusal
	}
	var conv caller
	if _, err := c.Exchange(t.Context(), x, &conv); !errors.Is(err, refusal) || len(conv.received) != 0 {
		t.Errorf("got %v, %d bytes", err, len(conv.received))
	}
}

func TestConcurrentRepeatsRunOnce(t *testing.T) {
	g := newGroup(t, 1, nil)
	var wg sync.WaitGroup
	var mu sync.Mutex
	executions := 0
	for range 6 {
		c := g.conn(0, backend.Claim{})
		wg.Go(func() {
			result, err := c.Exchange(t.Context(), orderExchange("o1", orderText), &caller{})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Error(err)
			} else if !result.Deduplicated {
				executions++
			}
		})
	}
	wg.Wait()
	if executions != 1 {
		t.Errorf("the order ran %d times", executions)
	}
}
