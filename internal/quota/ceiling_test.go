package quota

import (
	"math/rand/v2"
	"testing"
	"time"
)

// ceilingStart is when the dealers of these tests are asked for their ceilings.
const ceilingStart = calmTime + time.Second

// newCeilingDealer returns a dealer of the basis 535 whose only home uses 20 credits a
// second, and which observes a ceiling.
func newCeilingDealer(t *testing.T) (d *Dealer, use Use) {
	t.Helper()
	d = newTestDealer(StartFirst)
	handle(d, "a", 0, 1, 0, Use{Wanted: 400})
	for at := time.Duration(0); at < ceilingStart; at += 500 * ms {
		use = Use{Used: use.Used + 10, Held: 350, Wanted: 400}
		handle(d, "a", at, uint64(2+at/ms), 7, use)
		if d.CeilingsDue(dealerStart + at) {
			t.Fatalf("a ceiling of %v with 350 credits outstanding", d.Ceilings(dealerStart+at))
		}
	}
	if o := d.organisations["o"]; o.allowed() != 243 {
		t.Fatalf("%d credits allowed", o.allowed())
	}
	return d, use
}

// reportUse makes the home report, and returns whether ceilings have to be recorded.
func reportUse(d *Dealer, at time.Duration, use Use) bool {
	handle(d, "a", at, uint64(2+at/ms), 7, use)
	return d.CeilingsDue(dealerStart + at)
}

// TestCeilingIsRecordedOnceItHolds guards against a lower ceiling in the record while more
// credits are used or outstanding, and against credits above one that may be recorded.
func TestCeilingIsRecordedOnceItHolds(t *testing.T) {
	d, use := newCeilingDealer(t)
	use.Held = 160
	if reportUse(d, ceilingStart, use) {
		t.Error("due with more credits outstanding than the ceiling")
	}
	if o := d.organisations["o"]; o.allowed() != 243 {
		t.Errorf("%d credits allowed", o.allowed())
	}
	use.Held = 20
	if !reportUse(d, ceilingStart+200*ms, use) {
		t.Fatal("not due once the ceiling holds")
	}
	if c := d.Ceilings(dealerStart + ceilingStart + 200*ms); len(c) != 1 || c["o"] != 243 {
		t.Fatalf("ceilings %v", c)
	}
	// The answer is lost. The home needs more than the ceiling.
	for i := range 10 {
		use.Needed = 400
		if c := handle(d, "a", ceilingStart+time.Duration(300+i)*ms, uint64(ceilingStart/ms)+400+uint64(i), 7, use); c.Exhausted {
			t.Errorf("told that the limit is reached: %+v", c)
		}
		use.Held = d.organisations["o"].outstanding
		d.CeilingsDue(dealerStart + ceilingStart + time.Duration(300+100*i)*ms)
	}
	if o := d.organisations["o"]; o.uses.total+o.outstanding > 243 || o.uses.total+o.outstanding < 230 {
		t.Errorf("%d credits counted below a ceiling of 243", o.uses.total+o.outstanding)
	}
	if d.CeilingsDue(dealerStart + ceilingStart + 200*ms + ceilingInterval - 1) {
		t.Error("due again within the interval")
	}
	at := ceilingStart + 200*ms + ceilingInterval
	d.RecordCeilings(map[string]uint64{"o": 243}) // the answer to the first record comes late
	if o := d.organisations["o"]; o.allowed() != 243 {
		t.Errorf("%d credits allowed after a record that does not remove the ceiling", o.allowed())
	}
	if !d.CeilingsDue(dealerStart + at) {
		t.Fatal("the removal is not due")
	}
	removed := d.Ceilings(dealerStart + at)
	if o := d.organisations["o"]; len(removed) > 0 || o.allowed() != 243 {
		t.Errorf("%d credits allowed before the removal is recorded, ceilings %v", o.allowed(), removed)
	}
	d.RecordCeilings(removed)
	if o := d.organisations["o"]; o.allowed() != 535 || d.CeilingsDue(dealerStart+at+ceilingInterval) {
		t.Errorf("%d credits allowed after the removal", o.allowed())
	}
}

// TestCeilingGivesWayEarly guards against a removal that is asked for only when a home is
// short of credits, one that is written although no ceiling is recorded, and a record that
// is not repeated after its answer was lost.
func TestCeilingGivesWayEarly(t *testing.T) {
	d, use := newCeilingDealer(t)
	use.Used, use.Held = use.Used+90, 0
	if due := reportUse(d, ceilingStart, use); due || d.organisations["o"].allowed() != 535 {
		t.Errorf("%d credits allowed with half of the headroom used, due %v", d.organisations["o"].allowed(), due)
	}
	if reportUse(d, ceilingStart+time.Second, use); d.organisations["o"].allowed() != 535 {
		t.Errorf("%d credits allowed soon after", d.organisations["o"].allowed())
	}
	d, use = newCeilingDealer(t)
	use.Held, use.Wanted = 20, 20
	reportUse(d, ceilingStart, use)
	d.Ceilings(dealerStart + ceilingStart)
	if reportUse(d, ceilingStart+ceilingInterval-ms, use) || !reportUse(d, ceilingStart+ceilingInterval, use) {
		t.Error("not due again when the interval has passed without an answer")
	}
	d.RecordCeilings(d.Ceilings(dealerStart + ceilingStart + ceilingInterval))
	use.Used += 200
	if at := ceilingStart + 2*ceilingInterval; !reportUse(d, at, use) || len(d.Ceilings(dealerStart+at)) > 0 {
		t.Error("the removal is not due with half of the headroom used")
	}
}

// TestNewDealerAllocatesAboveTheCeiling guards against a new dealer that waits although it
// knows of a ceiling, one that allocates what homes may have below it, and one that takes a
// missing ceiling for none used.
func TestNewDealerAllocatesAboveTheCeiling(t *testing.T) {
	for _, tt := range []struct {
		name     string
		ceilings map[string]uint64
		limit    Limit
		want     uint64
	}{
		{"ceiling", map[string]uint64{"o": 335}, hundred, 10 + 200},
		{"of another organisation", map[string]uint64{"p": 335}, hundred, 10},
		{"none", nil, hundred, 10},
		{"above a lower limit", map[string]uint64{"o": 335}, Limit{Rate: 50}, 5},
		{"below a higher limit", map[string]uint64{"o": 335}, Limit{Rate: 200}, 10 + 725},
	} {
		d := newTestDealer(StartUnsettled)
		d.SetLimits(map[string]Limit{"o": tt.limit})
		d.SetEarlierCeilings(tt.ceilings)
		handle(d, "a", 0, 1, 0, Use{Held: 10, Wanted: 10, Basis: 535})
		if allowed := d.organisations["o"].allowed(); allowed != tt.want {
			t.Errorf("%s: %d credits allowed, want %d", tt.name, allowed, tt.want)
		}
		for at := time.Duration(0); at < calmTime+time.Second; at += sampleInterval {
			if d.CeilingsDue(dealerStart+at) || len(d.Ceilings(dealerStart+at)) > 0 {
				t.Fatalf("%s: ceilings of a dealer that has not settled", tt.name)
			}
			d.RecordCeilings(nil)
		}
	}
}

// TestCeilingsRefuseNobody guards against ceilings that cause refusals when the load rises to
// the limit, and against writes of the row while the load hardly changes.
func TestCeilingsRefuseNobody(t *testing.T) {
	for _, homes := range []int{1, 8} {
		for _, limit := range []Limit{{Rate: 4}, {Rate: 10}, {Rate: 100, Burst: 50}, {Rate: 500}} {
			m := newModel(7, testBounds, homes, map[string]Limit{"o": limit})
			m.pace("o", 0.3*limit.Rate, skewed(homes, 0.8), 30*time.Second)
			m.run(30 * time.Second)
			rows, ceilings := m.rows, len(m.ceilings)
			m.pace("o", 0.28*limit.Rate, skewed(homes, 0.8), 60*time.Second)
			m.run(60 * time.Second)
			steady := m.rows - rows
			m.pace("o", 0.95*limit.Rate, skewed(homes, 0.5), 80*time.Second)
			m.run(80 * time.Second)
			if limit.Rate == 4 && ceilings > 0 {
				t.Errorf("%d homes: a ceiling where the allowance serves half of the operations", homes)
			}
			if steady > 0 || m.rows > rows+1 || ceilings == 0 && limit.Rate > 10 || m.refused["o"]*100 > m.offered["o"] {
				t.Errorf("%d homes, %+v: %d ceilings, %d writes at a steady load and %d after it, %d of %d refused",
					homes, limit, ceilings, steady, m.rows-rows, m.refused["o"], m.offered["o"])
			}
		}
	}
}

// TestCeilingsHoldInEveryWindow guards against a new dealer that allocates more than an
// earlier one left: floods follow calm times in which ceilings are recorded, and all
// processes end, or the holder changes, while ceilings are lowered or removed and limits
// change.
func TestCeilingsHoldInEveryWindow(t *testing.T) {
	ceilings, limit := 0, Limit{Rate: 60, Burst: 30}
	for seed := range seeds() {
		m := newModel(seed, testBounds, 6, map[string]Limit{"o": limit})
		random := rand.New(rand.NewPCG(seed, 4))
		between := func(from, to float64) time.Duration {
			return time.Duration((from + (to-from)*random.Float64()) * float64(time.Second))
		}
		m.lossy, m.late = 0.3*random.Float64()*float64(seed%2), 0.05*random.Float64()
		for range 4 {
			calm := m.now + between(11, 28)
			m.load("o", limit.Rate*(0.1+0.4*random.Float64()), skewed(6, 0.8), calm)
			m.run(calm)
			ceilings += len(m.ceilings)
			flood := m.now + between(8, 16)
			m.load("o", 8*limit.Rate, skewed(6, 0.9), flood)
			if random.IntN(3) == 0 {
				lower := Limit{Rate: limit.Rate * (0.4 + 0.6*random.Float64()), Burst: limit.Burst}
				m.configure(map[string]Limit{"o": lower}, time.Second)
				m.after(between(2, 8), func() { m.configure(map[string]Limit{"o": limit}, time.Second) })
			}
			for range 1 + random.IntN(2) {
				m.run(m.now + between(0, 2.5))
				if random.IntN(3) > 0 {
					m.losePower(between(0, 0.5))
				} else {
					m.homes[random.IntN(6)].cut = true
					m.fail(between(0, 2), m.homes[random.IntN(6)])
				}
			}
			m.run(max(flood, m.now))
			for _, h := range m.homes {
				h.cut = false
			}
		}
		if most := m.most("o", 0, m.now); most > allowed(testBounds, limit) {
			t.Errorf("seed %d: %d operations in a window, limit %d", seed, most, allowed(testBounds, limit))
		}
	}
	if ceilings < int(seeds()) {
		t.Errorf("%d ceilings in %d runs", ceilings, seeds())
	}
}
