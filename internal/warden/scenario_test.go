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

// mixedSeeds is the number of seeds of the tests that do not measure a gap.
const mixedSeeds = 20

// meddle puts a meddler in front of every warden and returns them by id.
func (f *fleet) meddle() map[string]*meddler {
	meddlers := map[string]*meddler{}
	for _, id := range entryVMs() {
		meddlers[id] = newMeddler(f.group.Dialer(id))
	}
	f.wrap = func(id string, _ backend.Dialer) backend.Dialer { return meddlers[id] }
	return meddlers
}

func TestLostAnswers(t *testing.T) {
	for _, step := range []string{"seal", "promote", "follow"} {
		for lost := 1; lost <= 3; lost += 2 {
			t.Run(fmt.Sprintf("%s %d", step, lost), func(t *testing.T) {
				var meddlers map[string]*meddler
				inFleet(t, 1, func(f *fleet) { meddlers = f.meddle() }, func(f *fleet) {
					h := f.record()
					time.Sleep(time.Second)
					meddlers[f.orderedWardens()[0]].loseNext(step, lost)
					f.group.Kill("s1")
					if gap := f.gap(gapBound, "s1"); gap > killedAim+time.Second {
						t.Errorf("gap %v", gap)
					}
					f.group.Restart("s1")
					f.settle(h)
				})
			})
		}
	}
}

// settle stops the writes, waits for the group to converge and checks the history.
func (f *fleet) settle(h *history) {
	f.t.Helper()
	time.Sleep(10 * time.Second)
	h.check()
	f.converged(10 * time.Second)
}

// TestPausedWarden stops the first warden before or after each step, for long
// enough that another takes over, and lets it go on with its old attempt.
func TestPausedWarden(t *testing.T) {
	for _, step := range []string{"seal", "promote", "follow", "status"} {
		for _, when := range []string{"before", "after"} {
			t.Run(when+" "+step, func(t *testing.T) {
				var meddlers map[string]*meddler
				inFleet(t, 2, func(f *fleet) { meddlers = f.meddle() }, func(f *fleet) {
					h := f.record()
					time.Sleep(time.Second)
					m := meddlers[f.orderedWardens()[0]]
					if when == "before" {
						m.pauseNext(m.before, step, 8*time.Second)
					} else {
						m.pauseNext(m.after, step, 8*time.Second)
					}
					f.group.Kill("s1")
					f.gap(gapBound, "s1")
					f.group.Restart("s1")
					f.settle(h)
				})
			})
		}
	}
}

// TestRacingWardens lets all wardens act at once while the table service is
// down, so that only the seals decide.
func TestRacingWardensSeeded(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(seeds(t, mixedSeeds)) {
		inFleet(t, seed, func(f *fleet) { f.table.SetDown(true) }, func(f *fleet) {
			h := f.record()
			spec := failover.SpecOf(f.doc.Groups[0], f.doc.Ranks, "racer", 0, f.view.Leaving)
			for i := range 3 {
				racer := newGroupLoop(f.config(fmt.Sprintf("e%d", i+4), seed*31+uint64(i)), spec, newRunning())
				f.wardens.Go(func() { racer.run(f.ctx) })
			}
			time.Sleep(time.Second)
			f.group.Kill("s1")
			worst = max(worst, f.gap(gapBound, "s1"))
			f.group.Restart("s1")
			f.settle(h)
		})
	}
	t.Logf("worst gap %v", worst)
}

func TestOldPrimaryReturnsWithTail(t *testing.T) {
	inFleet(t, 3, nil, func(f *fleet) {
		f.group.Isolate("s1", entryVMs()...)
		for range 5 {
			f.write()
		}
		f.gap(gapBound, "s1")
		f.group.Rejoin("s1", entryVMs()...)
		f.converged(5 * time.Second)
		if got := f.group.Values("s1", "k"); len(got) != 0 {
			t.Errorf("the old primary kept %d records that no majority had", len(got))
		}
		records, err := failover.NewStore(f.table).Records(f.ctx, f.name)
		if err != nil || len(records) == 0 || records[0].NewPrimary == "s1" {
			t.Errorf("records %+v, error %v", records, err)
		}
	})
}

func TestSecondFailureDuringFailoverSeeded(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(seeds(t, mixedSeeds)) {
		inFleet(t, seed, nil, func(f *fleet) {
			h := f.record()
			r := rand.New(rand.NewPCG(seed, 2))
			time.Sleep(time.Second)
			f.group.Kill("s1")
			time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
			second := cluster.ServerID(fmt.Sprintf("s%d", 2+r.IntN(2)))
			f.group.Freeze(second)
			time.Sleep(time.Second)
			f.group.Restart("s1")
			worst = max(worst, f.gap(gapBound, second))
			f.group.Thaw(second)
			f.settle(h)
		})
	}
	t.Logf("worst gap %v after the first server returned", worst)
}

func TestLeavingPrimarySeeded(t *testing.T) {
	var gaps time.Duration
	for seed := range uint64(seeds(t, mixedSeeds)) {
		inFleet(t, seed, nil, func(f *fleet) {
			h := f.record()
			time.Sleep(time.Second)
			f.view.setLeaving(f.doc.Groups[0].Servers[0].Address, true)
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
			h.compare(h.committed) // a hand-over loses nothing that was answered
			f.converged(10 * time.Second)
		})
	}
	t.Logf("most time without a writable primary during a switchover: %v", gaps)
}

func TestNoMajorityPolicies(t *testing.T) {
	for _, policy := range []environment.NoMajority{environment.NoMajorityWait, environment.NoMajorityPromote} {
		t.Run(string(policy), func(t *testing.T) {
			inFleet(t, 1, func(f *fleet) { f.doc.Groups[0].Promotion.NoMajority = policy }, func(f *fleet) {
				f.group.Kill("s1")
				f.group.Kill("s2")
				time.Sleep(15 * time.Second)
				promoted := f.group.Status("s3").Role == cluster.RolePrimary
				if promoted != (policy == environment.NoMajorityPromote) {
					t.Fatalf("promoted %v: %s", promoted, f.describe())
				}
				f.group.Restart("s1")
				f.group.Restart("s2")
				f.converged(10 * time.Second)
				records, _ := failover.NewStore(f.table).Records(f.ctx, f.name)
				if promoted && (len(records) == 0 || records[0].MayBeLost == "") {
					t.Errorf("records %+v do not say what may be lost", records)
				}
			})
		})
	}
}

// TestMixedFaultsSeeded breaks one thing after another, sometimes two at once.
func TestMixedFaultsSeeded(t *testing.T) {
	before := ackedWrites
	count := seeds(t, mixedSeeds)
	for seed := range uint64(count) {
		var meddlers map[string]*meddler
		inFleet(t, seed, func(f *fleet) { meddlers = f.meddle() }, func(f *fleet) {
			h := f.record()
			r := rand.New(rand.NewPCG(seed, 3))
			for range 6 {
				undo := f.breakSomething(r, meddlers)
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				second := func() {}
				if r.IntN(3) == 0 {
					second = f.breakSomething(r, meddlers)
				}
				time.Sleep(time.Duration(r.Int64N(int64(4 * time.Second))))
				undo()
				second()
				time.Sleep(time.Duration(r.Int64N(int64(3 * time.Second))))
			}
			f.settle(h)
		})
	}
	t.Logf("%d seeds, %d acknowledged writes checked", count, ackedWrites-before)
}

// breakSomething causes one random fault and returns its undoing.
func (f *fleet) breakSomething(r *rand.Rand, meddlers map[string]*meddler) func() {
	id := f.servers[r.IntN(len(f.servers))].ID
	if primary, ok := f.writable(); ok && r.IntN(2) == 0 {
		id = primary
	}
	steps := []string{"seal", "promote", "follow", "status"}
	step := steps[r.IntN(len(steps))]
	m := meddlers[f.orderedWardens()[r.IntN(2)]]
	switch r.IntN(8) {
	case 0:
		f.group.Kill(id)
		return func() { f.group.Restart(id) }
	case 1:
		f.group.Freeze(id)
		return func() { f.group.Thaw(id) }
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
			f.group.Silence(vm, id)
		}
		return func() {}
	case 6:
		m.loseNext(step, 2)
		return func() {}
	default:
		m.pauseNext(m.before, step, time.Duration(r.Int64N(int64(10*time.Second))))
		return func() {}
	}
}
