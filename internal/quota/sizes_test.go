package quota

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const (
	sizeOrganisations = 80
	// sizeTime is the length of each part: at 90% of the limits, and with a flood.
	sizeTime = 20 * time.Second
	// floodFactor is the load of the largest organisation during the flood, in multiples of
	// its usual load.
	floodFactor = 7.5
)

// sizeLoads returns the loads of organisations, of which the largest has a quarter.
func sizeLoads(total float64) map[string]float64 {
	loads, sum := map[string]float64{}, 0.0
	for i := 1; i < sizeOrganisations; i++ {
		sum += 1 / float64(i)
	}
	for i := 1; i < sizeOrganisations; i++ {
		loads[fmt.Sprint("o", i)] = 0.75 * total / float64(i) / sum
	}
	loads["o0"] = total / 4
	return loads
}

// fleet is a fleet of which some processes are homes. An organisation is served by
// homes in proportion to its load, at least by some.
type fleet struct{ processes, homes, load, least int }

// TestSizes measures messages, refusals and excess; with RATTAN_EXPERIMENTS also for
// large fleets. docs/design/quotas.md has the table.
func TestSizes(t *testing.T) {
	fleets := []fleet{{7, 7, 150, 7}}
	if os.Getenv("RATTAN_EXPERIMENTS") != "" {
		fleets = append(fleets, fleet{79, 8, 1500, 8}, fleet{79, 79, 1500, 79}, fleet{300, 300, 6000, 8}, fleet{1900, 1900, 38000, 8})
	}
	for _, f := range fleets {
		t.Run(fmt.Sprintf("%d of %d", f.homes, f.processes), func(t *testing.T) { measureSize(t, f) })
	}
}

// weights returns cumulative weights that select the homes of an organisation.
func (f fleet) weights(m *model, load float64) []float64 {
	homes := max(f.least, int(2*load/float64(f.load)*float64(f.homes)))
	weights, first, sum := make([]float64, f.homes), m.random.IntN(f.homes), 0.0
	for i := range weights {
		if (i-first+f.homes)%f.homes < homes {
			sum++
		}
		weights[i] = sum
	}
	return weights
}

func measureSize(t *testing.T, f fleet) {
	loads, limits := sizeLoads(float64(f.load)), map[string]Limit{}
	for organisation, load := range loads {
		limits[organisation] = Limit{Rate: load / 0.9, Burst: load}
	}
	m := newModel(1, testBounds, f.homes, limits)
	weights := f.weights(m, loads["o0"])
	for i := range sizeOrganisations {
		organisation := fmt.Sprint("o", i)
		m.load(organisation, loads[organisation], f.weights(m, loads[organisation]), 2*sizeTime)
	}
	m.after(sizeTime, func() { m.load("o0", (floodFactor-1)*loads["o0"], weights, 2*sizeTime) })
	started := time.Now()
	m.run(sizeTime)
	offered, refused := m.total(m.offered), m.total(m.refused)
	othersBefore := refused - m.refused["o0"]
	messages, entries, waited := m.messages, m.mentioned, m.waited
	m.run(2 * sizeTime)
	others := m.total(m.refused) - m.refused["o0"] - othersBefore
	othersOffered := (m.total(m.offered) - m.offered["o0"]) / 2 // during the flood
	most, excess := m.most("o0", sizeTime, 2*sizeTime), 0.0
	for organisation, limit := range limits {
		excess = max(excess, float64(m.most(organisation, 0, 2*sizeTime))/float64(allowed(testBounds, limit)))
	}
	calls := float64(f.homes) * sizeTime.Seconds()
	t.Logf("%d processes, %d homes, %d operations/s, at 90%%: %.2f calls/s each, %.1f entries a call, %.2f%% of operations waited, %.3f%% refused; flood: %.2f calls/s, %.1f entries, %.3f%% of others refused, %d of %d in a window; fullest window %.3f of what may run; took %v",
		f.processes, f.homes, f.load, float64(messages)/calls, float64(entries)/float64(messages), percent(waited, offered), percent(refused, offered),
		float64(m.messages-messages)/calls, float64(m.mentioned-entries)/float64(m.messages-messages),
		percent(others, othersOffered), most, allowed(testBounds, limits["o0"]), excess, time.Since(started))
	if percent(refused, offered) > 1 || percent(others, othersOffered) > 1 || excess > 1 {
		t.Errorf("refused %d of %d, of others %d of %d, excess %v", refused, offered, others, othersOffered, excess)
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(whole) }

// total returns the sum over all organisations.
func (m *model) total(counts map[string]int) (sum int) {
	for _, n := range counts {
		sum += n
	}
	return sum
}
