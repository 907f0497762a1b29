package quota

import (
	"slices"
	"sort"
	"time"
)

// most returns the largest number of operations of an organisation that ran in any
// window that begins within a time.
func (m *model) most(organisation string, from, to time.Duration) int {
	times := slices.Clone(m.ran[organisation])
	slices.Sort(times)
	most, last := 0, 0
	for first, at := range times {
		for last < len(times) && times[last] < at+m.bounds.Window {
			last++
		}
		if at >= from && at < to {
			most = max(most, last-first)
		}
	}
	return most
}

// count returns the operations of an organisation that ran within a time.
func (m *model) count(organisation string, from, to time.Duration) int {
	count := 0
	for _, at := range m.ran[organisation] {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

// allowed is the number of operations that may run in one window.
func allowed(b Bounds, l Limit) int {
	return int((l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Excess) + b.Slack)
}

// load offers operations of an organisation at a rate, at homes of the given weights.
func (m *model) load(organisation string, rate float64, weights []float64, until time.Duration) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.now < until {
			m.offer(m.homes[m.pick(weights)], organisation)
			m.load(organisation, rate, weights, until)
		}
	})
}

// pace offers operations of an organisation at an even rate, so that no window has more
// than the rate allows.
func (m *model) pace(organisation string, rate float64, weights []float64, until time.Duration) {
	m.after(time.Duration(float64(time.Second)/rate), func() {
		if m.now < until {
			m.offer(m.homes[m.pick(weights)], organisation)
			m.pace(organisation, rate, weights, until)
		}
	})
}

func (m *model) pick(weights []float64) int {
	x := m.random.Float64() * weights[len(weights)-1]
	i := sort.Search(len(weights), func(i int) bool { return weights[i] > x })
	return min(i, len(weights)-1)
}

// skewed returns cumulative weights of homes, of which each has share times the weight of
// the one before.
func skewed(homes int, share float64) []float64 {
	weights, sum, w := make([]float64, homes), 0.0, 1.0
	for i := range weights {
		sum += w
		weights[i] = sum
		w *= share
	}
	return weights
}
