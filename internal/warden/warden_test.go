package warden

import (
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// gapBound is the longest time without a writable primary.
	gapBound = 12 * time.Second
	// killedAim is the longest such time after a killed primary.
	killedAim = 3 * time.Second
	// settleTime lets wardens take up their work before a fault.
	settleTime = 3 * time.Second
)

// inFleet runs a test in virtual time against a settled fleet.
func inFleet(t *testing.T, seed uint64, prepare, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed)
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

// fault is one way for a primary to fail.
type fault struct {
	name string
	do   func(f *fleet)
	aim  time.Duration
}

func faults() []fault {
	return []fault{
		{"killed", func(f *fleet) { f.group.Kill("s1") }, killedAim},
		{"frozen", func(f *fleet) { f.group.Freeze("s1") }, gapBound},
		{"isolated", func(f *fleet) { f.group.Isolate("s1", entryVMs()...) }, gapBound},
		{"isolated with two proxies", func(f *fleet) { f.group.Isolate("s1", entryVMs()[2:]...) }, gapBound},
		{"cut off from its replicas", func(f *fleet) {
			f.group.Isolate("s1")
			f.write()
		}, gapBound},
		{"killed with the first warden", func(f *fleet) {
			f.group.Kill("s1")
			f.cancels[f.orderedWardens()[0]]()
		}, gapBound},
		{"killed with the store down", func(f *fleet) {
			f.table.SetDown(true)
			f.group.Kill("s1")
		}, gapBound},
		{"killed with the store hanging", func(f *fleet) {
			f.table.SetDelay(time.Minute)
			f.group.Kill("s1")
		}, gapBound},
	}
}

func TestGapSeeded(t *testing.T) {
	for _, fault := range faults() {
		t.Run(fault.name, func(t *testing.T) {
			var gaps []time.Duration
			for seed := range uint64(seeds(t, 50)) {
				inFleet(t, seed, nil, func(f *fleet) {
					fault.do(f)
					gaps = append(gaps, f.gap(gapBound, "s1"))
				})
			}
			slices.Sort(gaps)
			worst := gaps[len(gaps)-1]
			t.Logf("%s: %d seeds, gap p50 %v, worst %v", fault.name, len(gaps), gaps[len(gaps)/2], worst)
			if worst > fault.aim {
				t.Errorf("worst gap %v, want at most %v", worst, fault.aim)
			}
		})
	}
}

func TestSilentPathIsNoFailover(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		for range 5 {
			for _, vm := range entryVMs() {
				f.group.Silence(vm, "s1")
			}
			time.Sleep(2 * time.Second)
		}
		f.untouched()
	})
}

// TestCutOffWardensAreNoFailover cuts the responsible wardens off from a
// primary that the proxies on the other VMs reach.
func TestCutOffWardensAreNoFailover(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		for _, vm := range f.orderedWardens() {
			f.group.Cut(vm, "s1")
		}
		time.Sleep(20 * time.Second)
		f.untouched()
	})
}
