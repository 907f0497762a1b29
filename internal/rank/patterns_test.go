package rank

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// workload is one kind of request in a load pattern.
type workload struct {
	name      string
	rank      cluster.Rank
	rate      float64 // requests a second
	cost      time.Duration
	objective time.Duration
	timeout   time.Duration
	// onTimeValue and lateValue are the values of a request that completes within
	// its objective and after it.
	onTimeValue, lateValue float64
}

// loadPattern is a load on one server, or on two if lane is LaneRead.
type loadPattern struct {
	slots     int
	workloads []workload
	// slowdown multiplies the costs during the middle third of the duration; zero
	// for none.
	slowdown float64
	duration time.Duration
	// beginOutage and endOutage change the servers after a third and after half of
	// the duration.
	beginOutage, endOutage func(d *Dispatcher)
	// lane is the lane of all requests.
	lane Lane
}

// outcomeCounts counts the outcomes of the requests of a pattern.
type outcomeCounts struct {
	mu                           sync.Mutex
	requested, inTime, completed map[string]int
	earnedValue, possibleValue   float64
	// refusedLate counts refusals after more than a quarter of the objective.
	refusedLate, refused int
}

const maxRetries = 2

// simulate runs a pattern. Without objectives, requests of a rank are served in
// order of arrival.
func (p loadPattern) simulate(t *testing.T, objectives bool) *outcomeCounts {
	t.Helper()
	counts := &outcomeCounts{requested: map[string]int{}, inTime: map[string]int{}, completed: map[string]int{}}
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
		for i, w := range p.workloads {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(7, uint64(i)))
				for time.Since(start) < p.duration {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / w.rate))
					cost := time.Duration(random.ExpFloat64() * float64(w.cost))
					if at := time.Since(start); at > p.duration/3 && at < 2*p.duration/3 && p.slowdown > 0 {
						cost = time.Duration(float64(cost) * p.slowdown)
					}
					callers.Go(func() { counts.request(t, d, w, p.lane, cost, objectives) })
				}
			})
		}
		callers.Wait()
	})
	return counts
}

// request makes one request and retries it after a refusal, as callers do.
func (c *outcomeCounts) request(t *testing.T, d *Dispatcher, w workload, lane Lane, cost time.Duration, objectives bool) {
	started := time.Now()
	for range 1 + maxRetries {
		attempted := time.Now()
		r := Request{Rank: w.rank, Lane: lane, Deadline: attempted.Add(w.timeout), Eligible: anyServerEligible}
		if objectives {
			r.Objective = attempted.Add(w.objective)
		}
		slot, err := d.Acquire(t.Context(), r)
		if err == nil {
			time.Sleep(cost)
			slot.Release()
			c.recordEnd(w, time.Since(started), true)
			return
		}
		c.recordRefusal(time.Since(attempted) > w.objective/4)
		time.Sleep(10 * time.Millisecond)
		if time.Since(started) > w.timeout {
			break
		}
	}
	c.recordEnd(w, 0, false)
}

func (c *outcomeCounts) recordRefusal(late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused++
	if late {
		c.refusedLate++
	}
}

func (c *outcomeCounts) recordEnd(w workload, latency time.Duration, completed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requested[w.name]++
	c.possibleValue += w.onTimeValue
	switch {
	case !completed:
	case latency <= w.objective:
		c.inTime[w.name]++
		c.completed[w.name]++
		c.earnedValue += w.onTimeValue
	default:
		c.completed[w.name]++
		c.earnedValue += w.lateValue
	}
}

// The workloads of the two deployments as one group receives them, in the
// proportions of an eighth of a grown deployment.
func orders(rate float64) workload {
	return workload{"orders", cluster.RankUrgent, rate, 11 * time.Millisecond, 200 * time.Millisecond, time.Second, 3.4, 0.41}
}

func confirmations(rate float64) workload {
	return workload{"confirmations", cluster.RankNormal, rate, 33 * time.Millisecond, 400 * time.Millisecond, time.Second, 1.8, 0.27}
}

func menus(rate float64) workload {
	return workload{"menus", cluster.RankBackground, rate, 55 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 0.45, 0.2}
}

// TestServerOutageDuringBurst simulates a burst during which the primary is replaced or
// a server is missing for two seconds: requests that waited meanwhile must not
// make those that arrive afterwards late.
func TestServerOutageDuringBurst(t *testing.T) {
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
			t.Logf("value %.3f -> %.3f, confirmations in time %d -> %d of %d", baseline.earnedValue/baseline.possibleValue, scheduled.earnedValue/scheduled.possibleValue,
				baseline.inTime["confirmations"], scheduled.inTime["confirmations"], scheduled.requested["confirmations"])
			if scheduled.earnedValue < 0.99*baseline.earnedValue {
				t.Errorf("value %.1f, %.1f in order of arrival", scheduled.earnedValue, baseline.earnedValue)
			}
			// The outage lasts a sixth of the time. Requests that arrive outside of it,
			// and not just before it, can all be served in time.
			if minimum := 0.75 * float64(scheduled.requested["confirmations"]); float64(scheduled.inTime["confirmations"]) < minimum {
				t.Errorf("%d confirmations in time, want %.0f", scheduled.inTime["confirmations"], minimum)
			}
		})
	}
}

// TestLoadPatterns runs loads beyond the capacity of the slots and compares the
// results with scheduling in order of arrival. Of the slot time that more urgent
// work leaves, three quarters must go to requests that end within their objective.
func TestLoadPatterns(t *testing.T) {
	for name, p := range map[string]loadPattern{
		"replicas too far behind: all at the primary": {slots: 6, workloads: []workload{orders(36), confirmations(240), menus(36)}},
		"burst of the least valuable workload":        {slots: 6, workloads: []workload{orders(36), confirmations(150), menus(150)}},
		"burst of the most valuable workload":         {slots: 6, workloads: []workload{orders(250), confirmations(200), menus(20)}},
		"one server slow":                             {slots: 6, slowdown: 3, workloads: []workload{orders(36), confirmations(130), menus(10)}},
		"two slots only":                              {slots: 2, workloads: []workload{orders(40), confirmations(90), menus(20)}},
	} {
		t.Run(name, func(t *testing.T) {
			p.duration = 12 * time.Second
			baseline, scheduled := p.simulate(t, false), p.simulate(t, true)
			t.Logf("value %.3f -> %.3f, in time orders %d -> %d of %d, confirmations %d -> %d of %d, menus %d -> %d of %d, refused %d -> %d, of them late %d -> %d",
				baseline.earnedValue/baseline.possibleValue, scheduled.earnedValue/scheduled.possibleValue, baseline.inTime["orders"], scheduled.inTime["orders"], scheduled.requested["orders"],
				baseline.inTime["confirmations"], scheduled.inTime["confirmations"], scheduled.requested["confirmations"],
				baseline.inTime["menus"], scheduled.inTime["menus"], scheduled.requested["menus"], baseline.refused, scheduled.refused, baseline.refusedLate, scheduled.refusedLate)
			// Both runs offer the same requests, but do not complete the same ones.
			if scheduled.earnedValue < 0.99*baseline.earnedValue {
				t.Errorf("value %.1f, %.1f in order of arrival", scheduled.earnedValue, baseline.earnedValue)
			}
			if n := scheduled.requested["orders"]; float64(scheduled.inTime["orders"]) < 0.98*float64(n) && p.slowdown == 0 {
				t.Errorf("%d of %d orders in time", scheduled.inTime["orders"], n)
			}
			if servable := p.servable("confirmations"); float64(scheduled.inTime["confirmations"]) < 0.75*servable {
				t.Errorf("%d confirmations in time, the slots can serve %.0f", scheduled.inTime["confirmations"], servable)
			}
		})
	}
}

// servable returns how many requests of a workload the slots can serve in addition
// to the more urgent ones and the guaranteed shares of the less urgent ones.
func (p loadPattern) servable(name string) float64 {
	available := float64(p.slots) * p.duration.Seconds() * 0.95
	for _, w := range p.workloads {
		cost := w.cost.Seconds()
		if p.slowdown > 0 {
			cost *= (2 + p.slowdown) / 3
		}
		requested := w.rate * p.duration.Seconds()
		if w.name == name {
			return min(requested, available/cost)
		}
		available -= requested * cost
	}
	return 0
}
