package warden

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// maxGap is the maximum time without a writable primary.
	maxGap = 12 * time.Second
	// maxKilledGap is the maximum such time after the primary was killed.
	maxKilledGap = 3 * time.Second
	// settleTime lets wardens begin their work before a fault.
	settleTime = 3 * time.Second
)

// withFixture runs a test in virtual time on a fixture whose wardens have settled.
func withFixture(t *testing.T, seed uint64, prepare, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, seed)
		defer f.close()
		if prepare != nil {
			prepare(f)
		}
		f.start()
		r := rand.New(rand.NewPCG(seed, 1))
		time.Sleep(settleTime + time.Duration(r.Int64N(int64(time.Second))))
		test(f)
	})
}

// fault is a way for the primary to fail.
type fault struct {
	name   string
	inject func(f *fixture)
	maxGap time.Duration
}

func faults() []fault {
	return []fault{
		{"killed", func(f *fixture) { f.group.Kill("s1") }, maxKilledGap},
		{"frozen", func(f *fixture) { f.group.Suspend("s1") }, maxGap},
		{"isolated", func(f *fixture) { f.group.Isolate("s1", entryVMs()...) }, maxGap},
		{"isolated with two proxies", func(f *fixture) { f.group.Isolate("s1", entryVMs()[2:]...) }, maxGap},
		{"cut off from its replicas", func(f *fixture) {
			f.group.Isolate("s1")
			f.write()
		}, maxGap},
		{"killed with the first warden", func(f *fixture) {
			f.group.Kill("s1")
			f.cancelWarden[f.orderedWardens()[0]]()
		}, maxGap},
		{"killed with the store down", func(f *fixture) {
			f.table.SetDown(true)
			f.group.Kill("s1")
		}, maxGap},
		{"killed with the store hanging", func(f *fixture) {
			f.table.SetDelay(time.Minute)
			f.group.Kill("s1")
		}, maxGap},
	}
}

func TestGapSeeded(t *testing.T) {
	for _, fault := range faults() {
		t.Run(fault.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range uint64(seedCount(t, 50)) {
				withFixture(t, seed, nil, func(f *fixture) {
					fault.inject(f)
					gaps = append(gaps, f.waitForPrimary(maxGap, "s1"))
				})
			}
			slices.Sort(gaps)
			worst := gaps[len(gaps)-1]
			t.Logf("%s: %d seeds, gap p50 %v, worst %v", fault.name, len(gaps), gaps[len(gaps)/2], worst)
			if worst > fault.maxGap {
				t.Errorf("worst gap %v, want at most %v", worst, fault.maxGap)
			}
		})
	}
}

func TestSilentPathIsNoFailover(t *testing.T) {
	withFixture(t, 1, nil, func(f *fixture) {
		for range 5 {
			for _, vm := range entryVMs() {
				f.group.BlackholeConns(vm, "s1")
			}
			time.Sleep(2 * time.Second)
		}
		f.expectNoFailover()
	})
}

// TestPartitionedWardensCauseNoFailover partitions the responsible wardens from a
// primary that the proxies on the other VMs reach.
func TestPartitionedWardensCauseNoFailover(t *testing.T) {
	withFixture(t, 1, nil, func(f *fixture) {
		for _, vm := range f.orderedWardens() {
			f.group.DropTraffic(vm, "s1")
		}
		time.Sleep(20 * time.Second)
		f.expectNoFailover()
	})
}
