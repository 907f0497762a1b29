package quota

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"
)

var testBounds = Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// seeds returns the number of seeds of the model, few unless RATTAN_SEEDS is set.
func seeds() uint64 {
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		return uint64(n)
	}
	return 12
}

// TestNoWindowExceedsTheLimit floods organisations through processes that are cut off,
// frozen, restarted, replaced as holder and all ended at once, with lost and late messages, and counts the
// operations that ran in all windows.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	for seed := range seeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { floodWithFaults(t, seed) })
	}
}

func floodWithFaults(t *testing.T, seed uint64) {
	limits := map[string]Limit{"tiny": {Rate: 1}, "small": {Rate: 10, Burst: 5}, "large": {Rate: 100, Burst: 40}}
	m := newModel(seed, testBounds, 8, limits)
	random := rand.New(rand.NewPCG(seed, 2))
	if seed%3 > 0 {
		m.start = StartSettled
	}
	m.lossy, m.late = 0.1*random.Float64(), 0.1*random.Float64()
	const until = 60 * time.Second
	for organisation, limit := range limits {
		m.load(organisation, limit.Rate*(0.8+4*random.Float64()), skewed(8, 0.4+0.6*random.Float64()), until)
	}
	for _, h := range m.homes {
		h.refundPer = 0.2 * random.Float64() * float64(seed%2)
	}
	m.disturb(random, until)
	const calm = until + 35*time.Second // all faults and the time of a new dealer are over
	m.after(until, m.calm)
	for organisation, limit := range limits {
		m.after(until, func() { m.pace(organisation, 3*limit.Rate, skewed(8, 0.8), calm+20*time.Second) })
	}
	m.run(calm + 20*time.Second)
	for organisation, limit := range limits {
		if most := m.most(organisation, 0, m.now); most > allowed(testBounds, limit) {
			t.Errorf("%s: %d operations in a window, limit %d", organisation, most, allowed(testBounds, limit))
		}
		if ran := m.count(organisation, calm, calm+20*time.Second); ran < int(0.95*limit.Rate*20) {
			t.Errorf("%s: %d operations ran in 20 s after the faults", organisation, ran)
		}
	}
}

// disturb injects a fault every second or so.
func (m *model) disturb(random *rand.Rand, until time.Duration) {
	m.after(time.Duration(random.ExpFloat64()*float64(1500*time.Millisecond)), func() {
		if m.now >= until {
			return
		}
		h := m.homes[random.IntN(len(m.homes))]
		switch random.IntN(5) {
		case 0:
			h.cut = true
			m.after(time.Duration(random.Int64N(int64(12*time.Second))), func() { h.cut = false })
		case 1:
			m.freeze(h, time.Duration(random.Int64N(int64(9*time.Second))))
		case 2:
			if h != m.holder {
				m.boot(h)
			}
		case 3:
			m.fail(time.Duration(random.Int64N(int64(4*time.Second))), h)
		case 4:
			if random.IntN(3) == 0 {
				m.losePower(time.Duration(random.Int64N(int64(3 * time.Second))))
			}
		}
		m.disturb(random, until)
	})
}

// calm ends the loss of messages and the refunds.
func (m *model) calm() {
	m.lossy, m.late = 0, 0
	for _, h := range m.homes {
		h.refundPer = 0
	}
}

// TestLowerLimitBindsAfterOneWindow lowers limits while processes learn of it at
// different times and may be cut off afterwards.
func TestLowerLimitBindsAfterOneWindow(t *testing.T) {
	for seed := range seeds() {
		random := rand.New(rand.NewPCG(seed, 3))
		before, after := Limit{Rate: 200, Burst: 100}, Limit{Rate: 200 * random.Float64() * random.Float64()}
		m := newModel(seed, testBounds, 8, map[string]Limit{"o": before})
		// Few operations at first leave large stocks.
		m.load("o", 60, skewed(8, 0.8), 20*time.Second)
		const learned = 15 * time.Second
		m.after(10*time.Second, func() { m.configure(map[string]Limit{"o": after}, 5*time.Second) })
		cut := time.Duration(random.Int64N(int64(20 * time.Second)))
		m.after(cut, func() { m.homes[1].cut, m.homes[2].cut = true, true })
		m.after(12*time.Second, func() { m.load("o", 800, skewed(8, 0.9), 40*time.Second) })
		m.run(40 * time.Second)
		if most := m.most("o", learned+testBounds.Window, 40*time.Second); most > allowed(testBounds, after) {
			t.Errorf("seed %d: %d operations in a window, limit %d", seed, most, allowed(testBounds, after))
		}
		if most := m.most("o", 0, 40*time.Second); most > allowed(testBounds, before) {
			t.Errorf("seed %d: %d operations in a window under the earlier limit", seed, most)
		}
	}
}

// TestNobodyIsRefusedBelowTheLimit offers up to 95% of the limit at every skew, without
// faults other than a few lost messages.
func TestNobodyIsRefusedBelowTheLimit(t *testing.T) {
	for _, homes := range []int{1, 8, 30} {
		for _, share := range []float64{0.1, 0.5, 1} {
			for _, limit := range []Limit{{Rate: 1}, {Rate: 10}, {Rate: 100, Burst: 50}, {Rate: 500}} {
				m := newModel(7, testBounds, homes, map[string]Limit{"o": limit})
				m.lossy = 0.001
				until := max(time.Minute, time.Duration(300/limit.Rate)*time.Second)
				m.pace("o", 0.95*limit.Rate, skewed(homes, share), until)
				m.run(until)
				if most := m.most("o", 0, until); m.refused["o"]*100 > m.offered["o"] {
					t.Errorf("%d homes, share %v, %+v: %d of %d refused, up to %d in a window (%d may run)",
						homes, share, limit, m.refused["o"], m.offered["o"], most, allowed(testBounds, limit))
				}
			}
		}
	}
}
