package edge

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/quota"
)

// ceilingHome reports to a dealer as a home that uses what it gets.
type ceilingHome struct {
	name             string
	sequence, dealer uint64
	used             uint64
}

// need reports that operations need credits, and uses those that come.
func (h *ceilingHome) need(q *quotaDealer, operations uint64) uint64 {
	h.sequence++
	use := quota.Use{Organisation: "o", Used: h.used, Wanted: operations, Needed: operations}
	report := quota.Report{Sequence: h.sequence, Incarnation: 1, Dealer: h.dealer, Uses: []quota.Use{use}}
	reply := peer.QuotaReplyFromProto(q.handle(h.name, peer.QuotaReportToProto(report)))
	h.dealer = reply.Dealer
	if len(reply.Credits) == 0 {
		return 0
	}
	h.used += reply.Credits[0].Credits
	return reply.Credits[0].Credits
}

// rowCeiling returns the ceiling in the row; zero if there is none.
func rowCeiling(t *testing.T, q *quotaDealer) uint64 {
	t.Helper()
	reader := &quotaDealer{table: q.table}
	value, err := reader.read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return value.Ceilings["o"]
}

// newCeilingTestDealer returns a dealer of an organisation with 100 operations/s.
func newCeilingTestDealer(table *providertest.Table, holder string, token duty.Token, clock func() time.Duration) *quotaDealer {
	q, _ := newTestDealer(table, holder, token, clock)
	q.setLimits(map[string]quota.Limit{"o": {Rate: 100}})
	return q
}

// runCalm runs a dealer with a load of a fifth of the limit, until the row has a ceiling.
func runCalm(t *testing.T, q *quotaDealer, home *ceilingHome) (ceiling uint64) {
	t.Helper()
	version := uint64(0)
	for i := range 100 {
		if err := q.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		home.need(q, 5)
		time.Sleep(250 * time.Millisecond)
		if i == 60 {
			version = q.version
		}
	}
	ceiling = rowCeiling(t, q)
	if ceiling < 200 || ceiling > 300 || q.version != version {
		t.Fatalf("ceiling %d at 100 operations in a window; version %d, then %d", ceiling, version, q.version)
	}
	return ceiling
}

// TestCeilingHoldsUntilTheRowRemovesIt guards against credits above a ceiling whose removal
// may not be in the row.
func TestCeilingHoldsUntilTheRowRemovesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clock := providertest.NewTable(), testClock()
		q, home := newCeilingTestDealer(table, "p1", 1, clock), &ceilingHome{name: "p7"}
		ceiling := runCalm(t, q, home)
		table.BeforeNextWrite(func() { // the write does not take effect
			other := &quotaDealer{table: table}
			value, _ := other.read(t.Context())
			_ = other.write(t.Context(), value)
		})
		got, failed := uint64(0), 0
		rise := func() {
			for range 20 {
				got += home.need(q, 400)
				time.Sleep(60 * time.Millisecond)
				if q.step(t.Context()) != nil {
					failed++
				}
			}
		}
		if rise(); failed != 1 || got > ceiling || rowCeiling(t, q) != ceiling {
			t.Errorf("%d credits and %d failed writes, ceiling %d", got, failed, ceiling)
		}
		time.Sleep(2 * time.Second)
		if rise(); rowCeiling(t, q) != 0 || got <= ceiling {
			t.Errorf("%d credits once the ceiling of %d is removed", got, ceiling)
		}
	})
}

// TestDealerStartsFromCeilings guards against a new dealer that does not use the ceilings of
// the row, forgets them when the answer to its own write is lost, or leaves them to the next.
func TestDealerStartsFromCeilings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clock := providertest.NewTable(), testClock()
		first := newCeilingTestDealer(table, "p1", 1, clock)
		ceiling := runCalm(t, first, &ceilingHome{name: "p7"})
		for i, tt := range []struct{ least, most uint64 }{{535 - ceiling, 535 - ceiling + 35}, {0, 0}} {
			q, home := newCeilingTestDealer(table, fmt.Sprint("p", i+2), duty.Token(i+2), clock), &ceilingHome{name: fmt.Sprint("h", i)}
			table.LoseResponses(1)
			if err := q.step(t.Context()); err == nil || q.dealer != nil {
				t.Fatalf("dealer %v before the row was written, error %v", q.dealer, err)
			}
			if err := q.step(t.Context()); err != nil || q.dealer == nil || rowCeiling(t, q) != 0 {
				t.Errorf("dealer %v, error %v, ceiling of the row %d", q.dealer, err, rowCeiling(t, q))
			}
			got := uint64(0)
			for range 40 {
				if err := q.step(t.Context()); err != nil {
					t.Fatal(err)
				}
				got += home.need(q, 400)
				time.Sleep(50 * time.Millisecond)
			}
			if got+5 < tt.least || got > tt.most {
				t.Errorf("dealer %d allocated %d credits, want %d to %d", i, got, tt.least, tt.most)
			}
		}
	})
}

// TestLargeRowLeavesOutCeilings guards against a row that the store refuses for its size.
func TestLargeRowLeavesOutCeilings(t *testing.T) {
	ceilings := map[string]uint64{}
	for i := range 1000 {
		ceilings[fmt.Sprint(i, strings.Repeat("o", 20))] = 1 << 40
	}
	if n := len(boundCeilings(ceilings)); n != 1000 {
		t.Errorf("%d of 1000 ceilings are written", n)
	}
	for i := range 1000 {
		ceilings[fmt.Sprint(i, strings.Repeat("<", 1000))] = 1 << 40
	}
	if n := len(boundCeilings(ceilings)); n < 20 || n > 1100 {
		t.Errorf("%d large ceilings are written", n)
	}
}
