package warden

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/failover"
)

// defaultSeeds is the default number of seeds of the tests that do not measure a gap.
const defaultSeeds = 20

// injectFaults wraps the dialer of every warden in a faultInjector and returns these by
// warden.
func (f *fixture) injectFaults() map[string]*faultInjector {
	injectors := map[string]*faultInjector{}
	for _, id := range entryVMs() {
		injectors[id] = newFaultInjector(f.group.Dialer(id))
	}
	f.wrapDialer = func(id string, _ backend.Dialer) backend.Dialer { return injectors[id] }
	return injectors
}

func TestLostResponses(t *testing.T) {
	for _, step := range []string{"seal", "promote", "follow"} {
		for lost := 1; lost <= 3; lost += 2 {
			t.Run(fmt.Sprintf("%s %d", step, lost), func(t *testing.T) {
				var injectors map[string]*faultInjector
				withFixture(t, 1, func(f *fixture) { injectors = f.injectFaults() }, func(f *fixture) {
					h := f.startHistory()
					time.Sleep(time.Second)
					injectors[f.orderedWardens()[0]].loseNextResponses(step, lost)
					f.group.Kill("s1")
					if gap := f.waitForPrimary(maxGap, "s1"); gap > maxKilledGap+time.Second {
						t.Errorf("gap %v", gap)
					}
					f.group.Restart("s1")
					f.settleAndCheck(h)
				})
			})
		}
	}
}

// settleAndCheck lets the group settle, checks the history and waits until the group has
// converged.
func (f *fixture) settleAndCheck(h *writeHistory) {
	f.t.Helper()
	time.Sleep(10 * time.Second)
	h.stopAndCheck()
	f.expectConverged(10 * time.Second)
}

// TestPausedWarden pauses the first warden before or after each step, long enough that
// another takes over, and then lets it continue its superseded attempt.
func TestPausedWarden(t *testing.T) {
	for _, step := range []string{"seal", "promote", "follow", "status"} {
		for _, when := range []string{"before", "after"} {
			t.Run(when+" "+step, func(t *testing.T) {
				var injectors map[string]*faultInjector
				withFixture(t, 2, func(f *fixture) { injectors = f.injectFaults() }, func(f *fixture) {
					h := f.startHistory()
					time.Sleep(time.Second)
					injector := injectors[f.orderedWardens()[0]]
					if when == "before" {
						injector.pauseNext(injector.pauseBefore, step, 8*time.Second)
					} else {
						injector.pauseNext(injector.pauseAfter, step, 8*time.Second)
					}
					f.group.Kill("s1")
					f.waitForPrimary(maxGap, "s1")
					f.group.Restart("s1")
					f.settleAndCheck(h)
				})
			})
		}
	}
}

// TestRacingWardensSeeded lets all wardens act at the same time while the table service
// is down, so that only the seals decide.
func TestRacingWardensSeeded(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(seedCount(t, defaultSeeds)) {
		withFixture(t, seed, func(f *fixture) { f.table.SetDown(true) }, func(f *fixture) {
			h := f.startHistory()
			spec := failover.SpecOf(f.doc.Groups[0], f.doc.Ranks, "racer", 0, f.members.Leaving)
			for i := range 3 {
				racer := newGroupLoop(f.config(fmt.Sprintf("e%d", i+4), seed*31+uint64(i)), spec, newFailoverRegistry())
				f.goroutines.Go(func() { racer.run(f.ctx) })
			}
			time.Sleep(time.Second)
			f.group.Kill("s1")
			worst = max(worst, f.waitForPrimary(maxGap, "s1"))
			f.group.Restart("s1")
			f.settleAndCheck(h)
		})
	}
	t.Logf("worst gap %v", worst)
}

func TestOldPrimaryDiscardsUnreplicatedRecords(t *testing.T) {
	withFixture(t, 3, nil, func(f *fixture) {
		f.group.Isolate("s1", entryVMs()...)
		for range 5 {
			f.write()
		}
		f.waitForPrimary(maxGap, "s1")
		f.group.Rejoin("s1", entryVMs()...)
		f.expectConverged(5 * time.Second)
		if got := f.group.CommittedValues("s1", "k"); len(got) != 0 {
			t.Errorf("the old primary kept %d records that no majority had stored", len(got))
		}
		records, err := failover.NewRecordStore(f.table).Records(f.ctx, f.name)
		if err != nil || len(records) == 0 || records[0].NewPrimary == "s1" {
			t.Errorf("records %+v, error %v", records, err)
		}
	})
}

func TestSecondFailureDuringFailoverSeeded(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(seedCount(t, defaultSeeds)) {
		withFixture(t, seed, nil, func(f *fixture) {
			h := f.startHistory()
			r := rand.New(rand.NewPCG(seed, 2))
			time.Sleep(time.Second)
			f.group.Kill("s1")
			time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
			second := cluster.ServerID(fmt.Sprintf("s%d", 2+r.IntN(2)))
			f.group.Suspend(second)
			time.Sleep(time.Second)
			f.group.Restart("s1")
			worst = max(worst, f.waitForPrimary(maxGap, second))
			f.group.Resume(second)
			f.settleAndCheck(h)
		})
	}
	t.Logf("worst gap %v after the first server returned", worst)
}

func TestLeavingPrimarySeeded(t *testing.T) {
	var gaps time.Duration
	for seed := range uint64(seedCount(t, defaultSeeds)) {
		withFixture(t, seed, nil, func(f *fixture) {
			h := f.startHistory()
			time.Sleep(time.Second)
			f.members.setLeaving(f.doc.Groups[0].Servers[0].Address, true)
			began := time.Now()
			var down time.Duration
			for time.Since(began) < 8*time.Second {
				if _, ok := f.writable(); !ok {
					down += time.Millisecond
				}
				time.Sleep(time.Millisecond)
			}
			gaps = max(gaps, down)
			if primary, _ := f.writable(); primary == "s1" {
				t.Errorf("seed %d: the leaving server is still the primary", seed)
			}
			h.stop()
			h.expectStored(h.committed) // a switchover loses no committed write
			f.expectConverged(10 * time.Second)
		})
	}
	t.Logf("most time without a writable primary during a switchover: %v", gaps)
}

func TestNoMajorityPolicies(t *testing.T) {
	for _, policy := range []environment.NoMajority{environment.NoMajorityWait, environment.NoMajorityPromote} {
		t.Run(string(policy), func(t *testing.T) {
			withFixture(t, 1, func(f *fixture) { f.doc.Groups[0].Promotion.NoMajority = policy }, func(f *fixture) {
				f.group.Kill("s1")
				f.group.Kill("s2")
				time.Sleep(15 * time.Second)
				promoted := f.group.Status("s3").Role == cluster.RolePrimary
				if promoted != (policy == environment.NoMajorityPromote) {
					t.Fatalf("promoted %v: %s", promoted, f.describe())
				}
				f.group.Restart("s1")
				f.group.Restart("s2")
				f.expectConverged(10 * time.Second)
				records, _ := failover.NewRecordStore(f.table).Records(f.ctx, f.name)
				if promoted && (len(records) == 0 || records[0].MayBeLost == "") {
					t.Errorf("records %+v do not state what may be lost", records)
				}
			})
		})
	}
}

// TestMixedFaultsSeeded injects one fault after another, sometimes two at a time.
func TestMixedFaultsSeeded(t *testing.T) {
	before := checkedWrites
	count := seedCount(t, defaultSeeds)
	for seed := range uint64(count) {
		var injectors map[string]*faultInjector
		withFixture(t, seed, func(f *fixture) { injectors = f.injectFaults() }, func(f *fixture) {
			h := f.startHistory()
			r := rand.New(rand.NewPCG(seed, 3))
			for range 6 {
				undo := f.injectRandomFault(r, injectors)
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				second := func() {}
				if r.IntN(3) == 0 {
					second = f.injectRandomFault(r, injectors)
				}
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				undo()
				second()
				time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
			}
			f.settleAndCheck(h)
		})
	}
	t.Logf("%d seeds, %d acknowledged writes checked", count, checkedWrites-before)
}

// injectRandomFault injects one random fault and returns a function that removes it.
func (f *fixture) injectRandomFault(r *rand.Rand, injectors map[string]*faultInjector) func() {
	id := f.servers[r.IntN(len(f.servers))].ID
	if primary, ok := f.writable(); ok && r.IntN(2) == 0 {
		id = primary
	}
	steps := []string{"seal", "promote", "follow", "status"}
	step := steps[r.IntN(len(steps))]
	injector := injectors[f.orderedWardens()[r.IntN(2)]]
	switch r.IntN(8) {
	case 0:
		f.group.Kill(id)
		return func() { f.group.Restart(id) }
	case 1:
		f.group.Suspend(id)
		return func() { f.group.Resume(id) }
	case 2:
		f.group.Isolate(id, entryVMs()...)
		return func() { f.group.Rejoin(id, entryVMs()...) }
	case 3:
		some := entryVMs()[:r.IntN(8)]
		f.group.Isolate(id, some...)
		return func() { f.group.Rejoin(id, some...) }
	case 4:
		f.table.SetDown(true)
		return func() { f.table.SetDown(false) }
	case 5:
		for _, vm := range entryVMs() {
			f.group.BlackholeConns(vm, id)
		}
		return func() {}
	case 6:
		injector.loseNextResponses(step, 2)
		return func() {}
	default:
		injector.pauseNext(injector.pauseBefore, step, time.Duration(r.Int64N(int64(10*time.Second))))
		return func() {}
	}
}
