package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providertest"
	"github.com/rattancove/rattancove/internal/quota"
)

var (
	testQuotaBounds = quota.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	testLimits      = map[string]quota.Limit{"o": {Rate: 10}}
)

// fakeLease is the promotion lease of one process.
type fakeLease struct {
	token     duty.Token
	remaining time.Duration
	era       uint64
}

func (l *fakeLease) Held() (duty.Token, bool) { return l.token, l.token != 0 && l.remaining > 0 }
func (l *fakeLease) Remaining() time.Duration { return l.remaining }
func (l *fakeLease) Era() uint64              { return l.era }

func newTestDealer(table provider.Table, holder string, token duty.Token, clock func() time.Duration) (*quotaDealer, *fakeLease) {
	log, lease := zerolog.Nop(), &fakeLease{token: token, remaining: time.Second}
	q := &quotaDealer{bounds: testQuotaBounds, holder: holder, lease: lease, table: table, clock: clock, log: &log}
	q.setLimits(testLimits)
	return q, lease
}

func testClock() func() time.Duration {
	start := time.Now()
	return func() time.Duration { return time.Hour + time.Since(start) }
}

// TestDealerStartsFromTheRow guards against a dealer that allocates as if no other had
// allocated before: after a token that is new to it, and where the answer to its own
// write was lost.
func TestDealerStartsFromTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clock := providertest.NewTable(), testClock()
		first, lease := newTestDealer(table, "p1", 1, clock)
		begin := func(q *quotaDealer, want quota.Start) {
			t.Helper()
			if err := q.step(t.Context()); err != nil || q.dealer == nil || q.start != want {
				t.Fatalf("dealer %v, start %v, want %v, error %v", q.dealer, q.start, want, err)
			}
		}
		table.LoseResponses(1)
		if err := first.step(t.Context()); err == nil || first.dealer != nil {
			t.Errorf("a dealer started before the row was written: %v", err)
		}
		begin(first, quota.StartFirst)
		second, _ := newTestDealer(table, "p2", 2, clock)
		first.handle("p7", peer.QuotaReportToProto(quota.Report{Sequence: 1, Incarnation: 5}))
		if err := first.step(t.Context()); err != nil || first.dealer.Unrecorded() {
			t.Fatal(err)
		}
		begin(second, quota.StartSettled)
		third, _ := newTestDealer(table, "p3", 3, clock)
		begin(third, quota.StartUnsettled)
		if third.dealer.Settled(clock()) {
			t.Error("settled although a process with credits has not reported")
		}
		if err := second.update(t.Context(), 2); err == nil {
			t.Error("an earlier dealer replaced the row")
		}
		lease.token = 4
		if first.handle("p1", peer.QuotaReportToProto(quota.Report{Sequence: 1})) != nil {
			t.Error("the dealer of an earlier token answered")
		}
		begin(first, quota.StartUnsettled)
	})
}

// TestDealersAfterARestore guards against a dealer that believes the row of a copy of the
// store: it would allocate what a later dealer has allocated already, or not know its homes. The
// later dealer, which still holds the lease, goes on and writes its row again.
func TestDealersAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table, clock := providertest.NewRestorableTable(), testClock()
		start := func(holder string, token duty.Token, era uint64) (*quotaDealer, *fakeLease) {
			q, lease := newTestDealer(table, holder, token, clock)
			if lease.era = era; q.step(t.Context()) != nil || q.dealer == nil {
				t.Fatalf("%s does not allocate", holder)
			}
			return q, lease
		}
		first, _ := start("p1", 1, 1)
		for range 2 { // the second step records that it has settled
			if err := first.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		copied := table.Copy()
		second, lease := start("p2", 2, 1)
		if second.start != quota.StartSettled {
			t.Fatalf("start %v after a settled dealer", second.start)
		}
		second.handle("p7", peer.QuotaReportToProto(quota.Report{Sequence: 1, Incarnation: 5}))
		table.Restore(copied)
		lease.era = 2
		if err := second.step(t.Context()); err != nil {
			t.Errorf("the dealer does not write its row again: %v", err)
		}
		if row, err := second.read(t.Context()); err != nil || row.Holder != "p2" || len(row.Homes) != 1 {
			t.Errorf("row %+v, error %v", row, err)
		}
		table.Restore(copied)
		third, _ := start("p3", 3, 3)
		if third.start != quota.StartUnsettled || third.dealer.Settled(clock()) {
			t.Errorf("start %v after rows were lost, settled %v", third.start, third.dealer.Settled(clock()))
		}
	})
}

// TestDealerNeedsTheLease guards against credits that a home accepts after another
// process may have begun to allocate.
func TestDealerNeedsTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := providertest.NewTable()
		q, lease := newTestDealer(table, "p1", 1, testClock())
		table.BeforeNextWrite(func() { lease.token = 0 })
		if err := q.step(t.Context()); err != nil || q.dealer != nil {
			t.Errorf("dealer %v without the lease, error %v", q.dealer, err)
		}
		lease.token = 2
		if err := q.step(t.Context()); err != nil || q.dealer == nil {
			t.Fatal(err)
		}
		for i, tt := range []struct {
			remaining time.Duration
			answers   bool
		}{{time.Second, true}, {quota.CallTime, false}, {0, false}, {quota.CallTime + 1, true}} {
			lease.remaining = tt.remaining
			report := peer.QuotaReportToProto(quota.Report{Sequence: uint64(i + 1)})
			if answered := q.handle("p1", report) != nil; answered != tt.answers {
				t.Errorf("answered %v with %v of the lease left", answered, tt.remaining)
			}
		}
	})
}

// TestOperationWaitsForCredits guards against refusals below the limit: the first
// operation waits for the reply to a call, and one beyond the limit does not.
func TestOperationWaitsForCredits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, asked := testClock(), make(chan struct{}, 1)
		log := zerolog.Nop()
		ask := func() {
			select {
			case asked <- struct{}{}:
			default:
			}
		}
		home := newQuotas(testQuotaBounds, 1, clock, ask, &log)
		dealer, _ := newTestDealer(providertest.NewTable(), "p1", 1, clock)
		if refund, err := home.Admit(t.Context(), "o"); refund != nil || err != nil {
			t.Errorf("an operation was counted without limits: %v", err)
		}
		home.setLimits(testLimits)
		start := clock()
		_, err := home.Admit(t.Context(), "o")
		if waited := clock() - start; !errcode.Is(err, errcode.QuotaExceeded) || waited != quotaWait {
			t.Errorf("without a dealer: error %v after %v", err, waited)
		}
		<-asked
		time.AfterFunc(quotaWait/2, func() { home.accept(home.report(false), nil, clock()) })
		_, _ = home.Admit(t.Context(), "o")
		for i := range 2 {
			select {
			case <-asked:
			default:
				t.Errorf("not asked again after a reply without credits (%d)", i)
			}
			if i == 0 {
				go func() { _, _ = home.Admit(t.Context(), "o") }()
				<-asked
				home.accept(home.report(false), nil, clock())
				synctest.Wait()
			}
		}
		time.Sleep(quotaWait)
		if err := dealer.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go answerCalls(ctx, home, dealer, asked)
		for i := range 62 {
			if _, err := home.Admit(t.Context(), "o"); err != nil {
				t.Fatalf("operation %d: %v", i, err)
			}
		}
		_, _ = home.Admit(t.Context(), "o")
		start = clock()
		if _, err = home.Admit(t.Context(), "o"); !errcode.Is(err, errcode.QuotaExceeded) || clock() != start {
			t.Errorf("beyond the limit: error %v after %v", err, clock()-start)
		}
		if after := errcode.From(err).RetryAfter; after < 2*time.Second || after > 8*time.Second {
			t.Errorf("advised to come back after %v", after)
		}
	})
}

// answerCalls makes a call each time that one is asked for.
func answerCalls(ctx context.Context, home *quotas, dealer *quotaDealer, asked <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
		}
		if !delay.Sleep(ctx, minGrantInterval) {
			return
		}
		sentAt := home.clock()
		report := home.report(false)
		reply := dealer.handle("p1", peer.QuotaReportToProto(*report))
		if err := dealer.step(ctx); err != nil {
			panic(err)
		}
		home.accept(report, reply, sentAt)
	}
}

// TestQuotaRowFailureAllocatesNothing guards against a dealer that cannot know what
// earlier ones allocated.
func TestQuotaRowFailureAllocatesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := providertest.NewTable()
		table.SetDown(true)
		q, _ := newTestDealer(table, "p1", 1, testClock())
		if err := q.step(t.Context()); err == nil || errors.Is(err, provider.ErrNotFound) || q.dealer != nil {
			t.Errorf("dealer %v, error %v", q.dealer, err)
		}
	})
}

// TestCreditsCome guards against reports or replies that do not reach the other side: a
// process that holds the promotion lease admits operations of an organisation with a
// limit, up to the limit.
func TestCreditsCome(t *testing.T) {
	e, err := New(Config{ID: "p1", Quota: testQuotaBounds}, Adapters{Table: providertest.NewTable()}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	e.tracker.SetConfiguration(&catalog.Configuration{
		Version: 1, Organisations: []catalog.Organisation{{Name: "o", Rate: 10}, {Name: "unlimited"}},
	}, catalog.OriginStore)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	for _, run := range []func(context.Context) error{e.reconcileHomes, e.lease.Run, e.quotaDealer.run, e.renewGrants} {
		running.Go(func() { _ = run(ctx) })
	}
	for !e.quotas.active.Load() {
		time.Sleep(time.Millisecond) // operations are not counted before the limits are known
	}
	admitted := 0
	for start := time.Now(); admitted < 62 && time.Since(start) < 10*time.Second; {
		if _, err := e.quotas.Admit(ctx, "o"); err == nil {
			admitted++
		}
	}
	if admitted < 62 {
		t.Errorf("%d operations were admitted", admitted)
	}
	if _, err := e.quotas.Admit(ctx, "o"); !errcode.Is(err, errcode.QuotaExceeded) {
		t.Errorf("error %v beyond the limit", err)
	}
	if refund, err := e.quotas.Admit(ctx, "unlimited"); refund != nil || err != nil {
		t.Errorf("error %v without a limit", err)
	}
}

// TestRowOfDealerFitsTheStore guards against a row that the store refuses: it takes no
// transaction over 1 MB, in which values are base64. Each of 1,900 processes has a long name
// and has restarted once within the time for which the row keeps it.
func TestRowOfDealerFitsTheStore(t *testing.T) {
	const processes, maxBytes = 1900, 1e6
	row := quotaRow{Holder: "p1", Token: math.MaxUint64}
	for i := range processes {
		home := fmt.Sprintf("%064d", i)
		row.Homes = append(row.Homes, quota.Process{Home: home, Incarnation: math.MaxUint64 - 1}, quota.Process{Home: home, Incarnation: math.MaxUint64})
	}
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	transaction, err := json.Marshal(provider.Write{Key: quotaRowKey, Value: value})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d bytes", len(transaction))
	if len(transaction) > maxBytes {
		t.Errorf("a transaction of %d bytes, want at most %g", len(transaction), maxBytes)
	}
}
