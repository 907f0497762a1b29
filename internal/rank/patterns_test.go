package rank

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// workload is one kind of requests of a load pattern.
type workload struct {
	name      string
	rank      cluster.Rank
	rate      float64 // requests a second
	cost      time.Duration
	objective time.Duration
	timeout   time.Duration
	// onTimeValue in time and late, of one request.
	onTimeValue, lateValue float64
}

// loadPattern is a load on one server that takes all requests.
type loadPattern struct {
	slots     int
	workloads []workload
	// costs are multiplied by slow from a third of the time to two thirds.
	slowdown float64
	duration time.Duration
	// beginOutage and end change the servers after a third and after half of the time.
	beginOutage, endOutage func(d *Dispatcher)
	// lane is that of all requests.
	lane Lane
}

// outcomeCounts counts how the requests of a pattern ended.
type outcomeCounts struct {
	mu                          sync.Mutex
	requested, inTime, answered map[string]int
	earnedValue, possibleValue  float64
	// refusedLate counts refusals that came later than a quarter of the objective.
	refusedLate, refused int
}

const maxRetries = 2

// simulate runs a pattern. Without objectives it is the scheduling in order of
// arrival that was there before.
func (p loadPattern) simulate(t *testing.T, objectives bool) *outcomeCounts {
	t.Helper()
	counts := &outcomeCounts{requested: map[string]int{}, inTime: map[string]int{}, answered: map[string]int{}}
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{})
		defer d.Close()
		d.SetServers([]cluster.Server{{ID: "s", Slots: p.slots}})
		d.SetPrimary("s", p.slots)
		if p.lane == LaneRead {
			d.SetServers([]cluster.Server{{ID: "s", Slots: p.slots}, {ID: "s2", Slots: p.slots}})
		}
		start := time.Now()
		var callers sync.WaitGroup
		if p.beginOutage != nil {
			callers.Go(func() {
				time.Sleep(p.duration / 3)
				p.beginOutage(d)
				time.Sleep(p.duration / 6)
				p.endOutage(d)
			})
		}
		for i, k := range p.workloads {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(7, uint64(i)))
				for time.Since(start) < p.duration {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / k.rate))
					cost := time.Duration(random.ExpFloat64() * float64(k.cost))
					if at := time.Since(start); at > p.duration/3 && at < 2*p.duration/3 && p.slowdown > 0 {
						cost = time.Duration(float64(cost) * p.slowdown)
					}
					callers.Go(func() { counts.request(t, d, k, p.lane, cost, objectives) })
				}
			})
		}
		callers.Wait()
	})
	return counts
}

// request makes one request and repeats it after a refusal, as callers do.
func (s *outcomeCounts) request(t *testing.T, d *Dispatcher, k workload, lane Lane, cost time.Duration, objectives bool) {
	started := time.Now()
	for range 1 + maxRetries {
		attempted := time.Now()
		r := Request{Rank: k.rank, Lane: lane, Deadline: attempted.Add(k.timeout), Eligible: anyServerEligible}
		if objectives {
			r.Objective = attempted.Add(k.objective)
		}
		g, err := d.Acquire(t.Context(), r)
		if err == nil {
			time.Sleep(cost)
			g.Release()
			s.recordEnd(k, time.Since(started), true)
			return
		}
		s.recordRefusal(time.Since(attempted) > k.objective/4)
		time.Sleep(10 * time.Millisecond)
		if time.Since(started) > k.timeout {
			break
		}
	}
	s.recordEnd(k, 0, false)
}

func (s *outcomeCounts) recordRefusal(late bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused++
	if late {
		s.refusedLate++
	}
}

func (s *outcomeCounts) recordEnd(k workload, latency time.Duration, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requested[k.name]++
	s.possibleValue += k.onTimeValue
	switch {
	case !answered:
	case latency <= k.objective:
		s.inTime[k.name]++
		s.answered[k.name]++
		s.earnedValue += k.onTimeValue
	default:
		s.answered[k.name]++
		s.earnedValue += k.lateValue
	}
}

// The kinds of the two deployments as one group gets them, in the shares of an
// eighth of a grown deployment.
func orders(rate float64) workload {
	return workload{"orders", cluster.RankUrgent, rate, 11 * time.Millisecond, 200 * time.Millisecond, time.Second, 3.4, 0.41}
}

func confirmations(rate float64) workload {
	return workload{"confirmations", cluster.RankNormal, rate, 33 * time.Millisecond, 400 * time.Millisecond, time.Second, 1.8, 0.27}
}

func menus(rate float64) workload {
	return workload{"menus", cluster.RankBackground, rate, 55 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 0.45, 0.2}
}

// TestServersAwayInABurst replays a primary that is replaced and a server that is
// gone for two seconds while a burst comes: what waited meanwhile must not make
// what comes afterwards late.
func TestServersAwayInABurst(t *testing.T) {
	both := []cluster.Server{{ID: "s", Slots: 6}, {ID: "s2", Slots: 6}}
	for name, p := range map[string]loadPattern{
		"primary replaced": {
			slots: 6, workloads: []workload{orders(60), confirmations(100), menus(30)},
			beginOutage: func(d *Dispatcher) { d.SetServers([]cluster.Server{{ID: "s", Slots: 0}}) },
			endOutage:   func(d *Dispatcher) { d.SetServers([]cluster.Server{{ID: "s", Slots: 6}}) },
		},
		"one server gone": {
			slots: 6, lane: LaneRead, workloads: []workload{orders(60), confirmations(220), menus(40)},
			beginOutage: func(d *Dispatcher) { d.SetServers(both[:1]) },
			endOutage:   func(d *Dispatcher) { d.SetServers(both) },
		},
	} {
		t.Run(name, func(t *testing.T) {
			p.duration = 12 * time.Second
			baseline, scheduled := p.simulate(t, false), p.simulate(t, true)
			t.Logf("worth %.3f -> %.3f, confirmations in time %d -> %d of %d", baseline.earnedValue/baseline.possibleValue, scheduled.earnedValue/scheduled.possibleValue,
				baseline.inTime["confirmations"], scheduled.inTime["confirmations"], scheduled.requested["confirmations"])
			if scheduled.earnedValue < 0.99*baseline.earnedValue {
				t.Errorf("worth %.1f, %.1f in order of arrival", scheduled.earnedValue, baseline.earnedValue)
			}
			// The servers are away for a sixth of the time; outside of it and of the
			// objectives of what then waits, everything can be served.
			if minimum := 0.75 * float64(scheduled.requested["confirmations"]); float64(scheduled.inTime["confirmations"]) < minimum {
				t.Errorf("%d confirmations in time, want %.0f", scheduled.inTime["confirmations"], minimum)
			}
		})
	}
}

// TestLoadPatterns replays loads beyond what the slots can do and compares them
// with scheduling in order of arrival. Of the slot time that more urgent work
// leaves, three quarters must go to requests that end in time.
func TestLoadPatterns(t *testing.T) {
	for name, p := range map[string]loadPattern{
		"replicas too far behind: all at the primary": {slots: 6, workloads: []workload{orders(36), confirmations(240), menus(36)}},
		"burst of the cheap kind":                     {slots: 6, workloads: []workload{orders(36), confirmations(150), menus(150)}},
		"burst of the dear kind":                      {slots: 6, workloads: []workload{orders(250), confirmations(200), menus(20)}},
		"one server slow":                             {slots: 6, slowdown: 3, workloads: []workload{orders(36), confirmations(130), menus(10)}},
		"two slots only":                              {slots: 2, workloads: []workload{orders(40), confirmations(90), menus(20)}},
	} {
		t.Run(name, func(t *testing.T) {
			p.duration = 12 * time.Second
			baseline, scheduled := p.simulate(t, false), p.simulate(t, true)
			t.Logf("worth %.3f -> %.3f, in time orders %d -> %d of %d, confirmations %d -> %d of %d, menus %d -> %d of %d, refused %d -> %d, of them held %d -> %d",
				baseline.earnedValue/baseline.possibleValue, scheduled.earnedValue/scheduled.possibleValue, baseline.inTime["orders"], scheduled.inTime["orders"], scheduled.requested["orders"],
				baseline.inTime["confirmations"], scheduled.inTime["confirmations"], scheduled.requested["confirmations"],
				baseline.inTime["menus"], scheduled.inTime["menus"], scheduled.requested["menus"], baseline.refused, scheduled.refused, baseline.refusedLate, scheduled.refusedLate)
			// Both play the same requests, but not the same ones of them are answered.
			if scheduled.earnedValue < 0.99*baseline.earnedValue {
				t.Errorf("worth %.1f, %.1f in order of arrival", scheduled.earnedValue, baseline.earnedValue)
			}
			if n := scheduled.requested["orders"]; float64(scheduled.inTime["orders"]) < 0.98*float64(n) && p.slowdown == 0 {
				t.Errorf("%d of %d orders in time", scheduled.inTime["orders"], n)
			}
			if servable := p.servable("confirmations"); float64(scheduled.inTime["confirmations"]) < 0.75*servable {
				t.Errorf("%d confirmations in time, the slots can do %.0f", scheduled.inTime["confirmations"], servable)
			}
		})
	}
}

// servable returns how many requests of a kind the slots can do beside more
// urgent ones and the floors of less urgent ones.
func (p loadPattern) servable(name string) float64 {
	available := float64(p.slots) * p.duration.Seconds() * 0.95
	for _, k := range p.workloads {
		cost := k.cost.Seconds()
		if p.slowdown > 0 {
			cost *= (2 + p.slowdown) / 3
		}
		requested := k.rate * p.duration.Seconds()
		if k.name == name {
			return min(requested, available/cost)
		}
		available -= requested * cost
	}
	return 0
}
