package rank

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
)

// withDispatcher runs f in a synctest bubble with a dispatcher for a primary with
// two slots.
func withDispatcher(t *testing.T, ranks environment.Ranks, f func(t *testing.T, d *Dispatcher)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Ranks: ranks, QueueBytes: 1000})
		defer d.Close()
		d.SetServers([]cluster.Server{{ID: "s", Slots: 2}})
		d.SetPrimary("s", 2)
		f(t, d)
	})
}

func primaryRequest(r cluster.Rank) Request {
	return Request{Rank: r, Lane: LanePrimary, Eligible: anyServerEligible}
}

func mustAcquire(t *testing.T, d *Dispatcher, r Request) *Slot {
	t.Helper()
	slot, err := d.Acquire(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	return slot
}

// outcomeLog records the order in which requests got a slot or an error.
type outcomeLog struct {
	mu      sync.Mutex
	entries []string
}

func (l *outcomeLog) add(entry string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
}

func (l *outcomeLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

// acquireAsync acquires a slot in the background and logs name when it has it.
func acquireAsync(d *Dispatcher, r Request, name string, log *outcomeLog, hold time.Duration) {
	go func() {
		slot, err := d.Acquire(context.Background(), r)
		if err != nil {
			log.add(name + " " + errcode.From(err).Code.Name)
			return
		}
		log.add(name)
		time.Sleep(hold)
		slot.Release()
	}()
	synctest.Wait()
}

func TestOrderOfService(t *testing.T) {
	withDispatcher(t, environment.Ranks{}, func(t *testing.T, d *Dispatcher) {
		a, b := mustAcquire(t, d, primaryRequest(cluster.RankNormal)), mustAcquire(t, d, primaryRequest(cluster.RankNormal))
		var order outcomeLog
		acquireAsync(d, primaryRequest(cluster.RankBackground), "background", &order, time.Millisecond)
		acquireAsync(d, primaryRequest(cluster.RankNormal), "normal", &order, time.Millisecond)
		acquireAsync(d, primaryRequest(cluster.RankUrgent), "urgent", &order, time.Millisecond)
		pinned := primaryRequest(cluster.RankBackground)
		pinned.Pinned = "s"
		acquireAsync(d, pinned, "open transaction", &order, time.Millisecond)
		a.Release()
		a.Release() // must have no effect
		time.Sleep(time.Second)
		b.Release()
		want := []string{"open transaction", "urgent", "normal", "background"}
		if diff := cmp.Diff(want, order.all()); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestRefusals(t *testing.T) {
	ranks := environment.Ranks{Normal: environment.RankPolicy{Queue: 1, MaxWait: 100 * time.Millisecond}}
	withDispatcher(t, ranks, func(t *testing.T, d *Dispatcher) {
		mustAcquire(t, d, primaryRequest(cluster.RankNormal))
		mustAcquire(t, d, primaryRequest(cluster.RankNormal))
		var order outcomeLog
		acquireAsync(d, primaryRequest(cluster.RankNormal), "first", &order, 0)
		_, err := d.Acquire(t.Context(), primaryRequest(cluster.RankNormal))
		if !errcode.Is(err, errcode.Overloaded) || errcode.From(err).RetryAfter <= 0 {
			t.Errorf("full queue: error %v", err)
		}
		large := primaryRequest(cluster.RankUrgent)
		large.Bytes = 2000
		if _, err := d.Acquire(t.Context(), large); !errcode.Is(err, errcode.Overloaded) {
			t.Errorf("queued bytes beyond the limit: error %v", err)
		}
		shortDeadline := primaryRequest(cluster.RankUrgent)
		shortDeadline.Deadline = time.Now().Add(20 * time.Millisecond)
		if _, err := d.Acquire(t.Context(), shortDeadline); !errcode.Is(err, errcode.DeadlinePassed) {
			t.Errorf("caller's deadline passed: error %v", err)
		}
		time.Sleep(time.Second)
		if diff := cmp.Diff([]string{"first overloaded"}, order.all()); diff != "" {
			t.Errorf("request beyond the maximum wait: %s", diff)
		}
		if s := d.Stats(); s.QueuedBytes != 0 || s.Queued != [3]int{} {
			t.Errorf("requests still queued: %+v", s)
		}
	})
}

func TestRefusedBeforeADeadlineThatCannotBeMet(t *testing.T) {
	withDispatcher(t, environment.Ranks{}, func(t *testing.T, d *Dispatcher) {
		for range 20 { // the observed cost becomes 50 ms
			g := mustAcquire(t, d, primaryRequest(cluster.RankNormal))
			time.Sleep(50 * time.Millisecond)
			g.Release()
		}
		request := primaryRequest(cluster.RankNormal)
		request.Deadline = time.Now().Add(30 * time.Millisecond)
		if _, err := d.Acquire(t.Context(), request); !errcode.Is(err, errcode.DeadlinePassed) {
			t.Fatalf("want a refusal before execution, got %v", err)
		}
	})
}

func TestKeepFreeSlots(t *testing.T) {
	ranks := environment.Ranks{Urgent: environment.RankPolicy{KeepFreeSlots: 1}}
	withDispatcher(t, ranks, func(t *testing.T, d *Dispatcher) {
		mustAcquire(t, d, primaryRequest(cluster.RankBackground))
		var order outcomeLog
		acquireAsync(d, primaryRequest(cluster.RankNormal), "normal", &order, time.Hour)
		if len(order.all()) != 0 {
			t.Fatal("the free slot was given to a lower rank")
		}
		acquireAsync(d, primaryRequest(cluster.RankUrgent), "urgent", &order, time.Hour)
		if len(order.all()) != 1 {
			t.Fatal("the free slot was refused to the urgent rank")
		}
		time.Sleep(2 * time.Hour)
	})
}

func TestReadsKeepAPrimarySlotFree(t *testing.T) {
	withDispatcher(t, environment.Ranks{}, func(t *testing.T, d *Dispatcher) {
		d.SetPrimary("s", 1)
		read := Request{Rank: cluster.RankUrgent, Lane: LaneRead, Eligible: anyServerEligible}
		mustAcquire(t, d, read)
		var order outcomeLog
		acquireAsync(d, read, "read", &order, 0)
		if len(order.all()) != 0 {
			t.Fatal("reads occupied every slot of the primary")
		}
		mustAcquire(t, d, primaryRequest(cluster.RankBackground))
		d.Close()
	})
}

func TestRequestWaitsForAnEligibleServer(t *testing.T) {
	withDispatcher(t, environment.Ranks{}, func(t *testing.T, d *Dispatcher) {
		ready := time.Now().Add(30 * time.Millisecond)
		r := primaryRequest(cluster.RankNormal)
		r.Eligible = func(_ cluster.ServerID, now time.Time) Eligibility {
			return Eligibility{OK: !now.Before(ready), RetryAt: ready}
		}
		g := mustAcquire(t, d, r)
		if g.Waited != 30*time.Millisecond {
			t.Fatalf("waited %v", g.Waited)
		}
		g.Release()
	})
}

func TestBudget(t *testing.T) {
	b := NewRetryBudget()
	for range retryBudgetLimit {
		if !b.TryWithdraw() {
			t.Fatal("a full budget refused a retry")
		}
	}
	if b.TryWithdraw() {
		t.Fatal("an empty budget allowed a retry")
	}
	for range 11 {
		b.Deposit()
	}
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Fatal("eleven requests should earn one retry")
	}
}

func TestWritesAreOnlyOfferedToThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{})
		d.SetServers([]cluster.Server{{ID: "s1", Slots: 1}, {ID: "s2", Slots: 1}})
		d.SetPrimary("s1", 1)
		for range 3 {
			go func() {
				g, err := d.Acquire(t.Context(), Request{Lane: LanePrimary, Eligible: func(id cluster.ServerID, _ time.Time) Eligibility {
					if id != "s1" {
						t.Errorf("write offered to %s, want s1", id)
					}
					return Eligibility{OK: true}
				}})
				if err == nil {
					time.Sleep(time.Second)
					g.Release()
				}
			}()
		}
		time.Sleep(time.Minute)
		if n := d.Stats().Granted[cluster.RankUrgent]; n != 3 {
			t.Errorf("%d writes granted, want 3", n)
		}
	})
}
