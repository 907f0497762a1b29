package quota

import (
	"fmt"
	"testing"
	"time"
)

const (
	// restartSpread is the time within which the processes start again, and electionTime
	// that from the start of the earlier holder of the lease to its dealer's.
	restartSpread = time.Second
	electionTime  = 500 * time.Millisecond
)

// losePower ends all processes at once. They start again after a time, each up to
// restartSpread later, and the earlier holder takes its lease over.
func (m *model) losePower(down time.Duration) {
	holder := m.holder
	if holder == nil {
		holder = m.homes[0]
	}
	m.holder, m.dealer = nil, nil
	for _, h := range m.homes {
		h.life++
		h.down, h.frozen = true, false
		life := h.life
		m.after(down+time.Duration(m.random.Int64N(int64(restartSpread))), func() {
			if h.life == life {
				m.boot(h)
			}
			if h == holder {
				m.after(electionTime, func() {
					if m.holder == nil {
						m.elect(h)
					}
				})
			}
		})
	}
}

// TestLossOfPower measures the operations within the limit that are refused after all
// processes have ended at once, and guards against windows above the limit, and against a new
// dealer that does not use the ceilings of the earlier one.
func TestLossOfPower(t *testing.T) {
	const (
		lost  = 30 * time.Second
		down  = 3 * time.Second
		after = 8 * time.Second
		end   = lost + down + after + 10*time.Second
	)
	limit := Limit{Rate: 100}
	for i, load := range []float64{0.4, 0.6, 0.8} {
		mostRefused := []float64{20, 60, 80}[i] // percent; without ceilings 65 to 71
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			offered, refused, most := 0, 0, 0
			for seed := range seeds() {
				m := newModel(seed, testBounds, 8, map[string]Limit{"o": limit})
				m.load("o", load*limit.Rate, skewed(8, 0.8), end)
				m.after(lost, func() { m.losePower(down) })
				m.run(lost + down)
				offered -= m.offered["o"]
				refused -= m.refused["o"]
				m.run(lost + down + after)
				offered += m.offered["o"]
				refused += m.refused["o"]
				m.run(end)
				most = max(most, m.most("o", 0, end))
			}
			t.Logf("load %v of the limit: %d of %d operations refused in %v (%.1f%%), at most %d in a window of %d that may run",
				load, refused, offered, after, percent(refused, offered), most, allowed(testBounds, limit))
			if most > allowed(testBounds, limit) {
				t.Errorf("%d operations in a window, limit %d", most, allowed(testBounds, limit))
			}
			if percent(refused, offered) > mostRefused {
				t.Errorf("more than %v%% refused", mostRefused)
			}
		})
	}
}
