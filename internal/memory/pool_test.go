package memory

import (
	"math"
	"math/rand/v2"
	"runtime/debug"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestPoolsShareTheTotal guards against pools that together exceed their parent, and against
// bytes that are lost when the parent refuses.
func TestPoolsShareTheTotal(t *testing.T) {
	b := NewBudget(100 << 20)
	if !b.Answers.TryAcquire(30<<20) || !b.Long.TryAcquire(12<<20) {
		t.Fatal("the pools refuse what they have")
	}
	if b.Peers.TryAcquire(1 << 20) {
		t.Error("the pools exceed the total")
	}
	b.Answers.Release(30 << 20)
	b.Long.Release(12 << 20)
	if !b.Peers.TryAcquire(10 << 20) {
		t.Error("a refusal took bytes")
	}
	b.Peers.Release(10 << 20)
	if used := b.total.Used() + b.Peers.Used(); used != 0 {
		t.Errorf("%d bytes are left", used)
	}
}

func TestNoLimitWithoutASetting(t *testing.T) {
	var none *Pool
	for _, p := range []*Pool{none, NewBudget(0).Long} {
		if !p.Acquire(1<<50, 0) {
			t.Error("refused")
		}
		p.Release(1 << 50)
	}
}

// TestAcquireWaits guards against waiters that miss a release, or that wait for ever.
func TestAcquireWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewBudget(1).Long // the smallest limit
		p.TryAcquire(minPool)
		started := time.Now()
		if p.Acquire(1, 5*time.Second) || time.Since(started) != 5*time.Second {
			t.Errorf("the wait ended after %v", time.Since(started))
		}
		time.AfterFunc(time.Second, func() { p.Release(1) })
		if started = time.Now(); !p.Acquire(1, 5*time.Second) || time.Since(started) != time.Second {
			t.Errorf("the wait ended after %v", time.Since(started))
		}
		if started = time.Now(); p.Acquire(minPool+1, 5*time.Second) || time.Since(started) != 0 {
			t.Error("bytes above the limit were waited for")
		}
	})
}

// TestSlowHoldersAreClosedForWaiters guards against silent connections that keep others
// from their bytes, and against closing connections that are fast or in nobody's way.
func TestSlowHoldersAreClosedForWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewBudget(1).Long
		p.TryAcquire(minPool)
		var silent, fast *Holder
		silent = p.Hold(func() { p.Release(minPool / 2) })
		fast = p.Hold(func() { t.Error("a fast connection was closed") })
		time.Sleep(time.Minute)
		fast.Progress(100 << 20)
		started := time.Now()
		if !p.Acquire(1, 5*time.Second) || time.Since(started) > time.Second {
			t.Errorf("the wait ended after %v", time.Since(started))
		}
		silent.End()
		fast.End()
		if len(p.holders) != 0 {
			t.Errorf("%d holders are left", len(p.holders))
		}
	})
}

// TestRandomUse guards against a limit that is exceeded, and bytes that are lost, by
// concurrent use.
func TestRandomUse(t *testing.T) {
	b := NewBudget(1)
	var users sync.WaitGroup
	for i := range 8 {
		users.Go(func() {
			r := rand.New(rand.NewPCG(uint64(i), 1))
			for range 2000 {
				p := []*Pool{b.Long, b.Messages, b.Answers}[r.IntN(3)]
				n := r.Int64N(minPool)
				if p.Acquire(n, time.Duration(r.IntN(3))*time.Millisecond) {
					p.Release(n)
				}
			}
		})
	}
	users.Wait()
	for _, p := range []*Pool{b.total, b.Long, b.Messages, b.Answers} {
		if p.Used() != 0 {
			t.Errorf("%s: %d bytes are left", p.name, p.Used())
		}
	}
}

// TestBudgetOfTheRuntime guards against limits where the runtime has none, and against ones
// that ignore it.
func TestBudgetOfTheRuntime(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(math.MaxInt64))
	if limit := NewRuntimeBudget().Answers.Limit(); limit != 0 {
		t.Errorf("limit %d without one of the runtime", limit)
	}
	debug.SetMemoryLimit(60 << 20)
	if limit := NewRuntimeBudget().Answers.Limit(); limit != 30<<20 {
		t.Errorf("limit %d of answers, want 30 MiB", limit)
	}
}
