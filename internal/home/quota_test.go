package home

import (
	"context"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// fakeQuotas counts the operations that it admitted and those given back.
type fakeQuotas struct {
	refuse             bool
	admitted, refunded int
}

func (q *fakeQuotas) Admit(context.Context, string) (func(), error) {
	if q.refuse {
		return nil, errcode.New(errcode.QuotaExceeded, "quota", "o")
	}
	q.admitted++
	return func() { q.refunded++ }, nil
}

// TestOperationsCountOnceForTheQuota guards against transactions that count for each
// statement, operations that no server was sent and that count all the same, and refused
// ones that run.
func TestOperationsCountOnceForTheQuota(t *testing.T) {
	inBubble(t, nil, func(t *testing.T, b *testBench) {
		quotas := &fakeQuotas{}
		h := New(Config{ID: "p1", Quotas: quotas}, b.group.Dialer("p1"))
		b.own(h)
		send := func(organisation string, class statement.Class, timeout time.Duration, first string, more ...statement.Batch) error {
			r := b.request(class, first)
			r.Organisation, r.Timeout = organisation, timeout
			_, _, err := run(h, r, more...)
			return err
		}
		check := func(step string, admitted, refunded int) {
			t.Helper()
			if quotas.admitted != admitted || quotas.refunded != refunded {
				t.Errorf("%s: %d admitted, %d refunded, want %d and %d", step, quotas.admitted, quotas.refunded, admitted, refunded)
			}
		}
		if err := send("o", statement.ClassWrite, time.Second, "put k v"); err != nil {
			t.Fatal(err)
		}
		check("statement", 1, 0)
		if err := send("o", statement.ClassBegin, time.Second, "begin", statement.Batch{Messages: []byte("put k w"), Class: statement.ClassWrite},
			statement.Batch{Messages: []byte("commit"), Class: statement.ClassCommit}); err != nil {
			t.Fatal(err)
		}
		check("transaction", 2, 0)
		if err := send("", statement.ClassWrite, time.Second, "put k v"); err != nil {
			t.Fatal(err)
		}
		check("no organisation", 2, 0)
		if err := send("o", statement.ClassWrite, time.Nanosecond, "put k v"); !errcode.Is(err, errcode.DeadlinePassed) {
			t.Errorf("error %v of an operation whose time has passed", err)
		}
		check("not sent", 3, 1)
		quotas.refuse = true
		if err := send("o", statement.ClassWrite, time.Second, "put k refused"); !errcode.Is(err, errcode.QuotaExceeded) {
			t.Errorf("error %v of a refused operation", err)
		}
		check("refused", 3, 1)
	})
}
