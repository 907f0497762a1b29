package rank

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
)

// organisationLoad is the load of one organisation in a simulation.
type organisationLoad struct {
	name        string
	rate        float64 // requests a second
	cost        time.Duration
	from, until time.Duration
	objective   time.Duration
}

// organisationResult holds the outcomes of one organisation.
type organisationResult struct {
	waits, responses []time.Duration
	// served is the slot time in seconds, servedAfter the part of it from settled on.
	served, servedAfter float64
	done, refused       int
}

// settled is when the results of a change in the load are measured.
const settled = 10500 * time.Millisecond

// simulateOrganisations runs loads for a time on a primary with five slots.
func simulateOrganisations(t *testing.T, ranks map[string]cluster.Rank, duration time.Duration, loads []organisationLoad) map[string]*organisationResult {
	t.Helper()
	results := make(map[string]*organisationResult, len(loads))
	for _, l := range loads {
		results[l.name] = &organisationResult{}
	}
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Organisations: ranks})
		defer d.Close()
		d.SetServers([]cluster.Server{{ID: "s", Slots: 5}})
		d.SetPrimary("s", 5)
		start := time.Now()
		var mu sync.Mutex
		var callers sync.WaitGroup
		request := func(l organisationLoad, cost time.Duration) {
			r := Request{
				Rank: cluster.RankNormal, Lane: LanePrimary, Organisation: l.name, Bytes: 100,
				Deadline: time.Now().Add(2 * time.Second), Eligible: anyServerEligible,
			}
			if l.objective > 0 {
				r.Objective = time.Now().Add(l.objective)
			}
			slot, err := d.Acquire(t.Context(), r)
			mu.Lock()
			defer mu.Unlock()
			result := results[l.name]
			if err != nil {
				result.refused++
				return
			}
			result.done++
			result.waits = append(result.waits, slot.Waited)
			result.responses = append(result.responses, slot.Waited+cost)
			result.served += cost.Seconds()
			if time.Since(start) > settled {
				result.servedAfter += cost.Seconds()
			}
			time.AfterFunc(cost, slot.Release)
		}
		for i, l := range loads {
			random := rand.New(rand.NewPCG(11, uint64(i)))
			callers.Go(func() {
				time.Sleep(l.from)
				for time.Since(start) < min(duration, l.until) {
					time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
					cost := time.Duration(random.ExpFloat64() * float64(l.cost))
					callers.Go(func() { request(l, cost) })
				}
			})
		}
		callers.Wait()
		time.Sleep(time.Second)
	})
	return results
}

// others returns the 99th percentiles of the waits and of the response times of all
// organisations but the large one, and how many of their requests were refused.
func others(results map[string]*organisationResult) (wait, response time.Duration, refused int) {
	var waits, responses []time.Duration
	for name, r := range results {
		if name != "large" {
			waits = append(waits, r.waits...)
			responses = append(responses, r.responses...)
			refused += r.refused
		}
	}
	slices.Sort(waits)
	slices.Sort(responses)
	return waits[len(waits)*99/100], responses[len(responses)*99/100], refused
}

// unevenLoads returns 80 organisations of falling sizes, with three quarters of a load in
// slot time together, and a large one with a quarter times the factor.
func unevenLoads(load, factor float64, objective time.Duration) []organisationLoad {
	const cost, slots, count = 12 * time.Millisecond, 5, 80
	sum := 0.0
	for i := range count {
		sum += 1 / float64(i+3)
	}
	all := load * slots / cost.Seconds()
	loads := []organisationLoad{{name: "large", rate: all / 4 * factor, cost: cost, until: time.Hour, objective: objective}}
	for i := range count {
		rate := all * 3 / 4 / float64(i+3) / sum
		loads = append(loads, organisationLoad{name: fmt.Sprint("org ", i), rate: rate, cost: cost, until: time.Hour, objective: objective})
	}
	return loads
}

// TestFloodOfOneOrganisation guards against an organisation that sends 7.5 times its usual
// load and so makes others wait or has them refused. It fails if the requests are served
// in order of arrival. At moderate load most requests do not wait without the flood, and
// with it all slots are occupied: only the response times can be as short as before.
func TestFloodOfOneOrganisation(t *testing.T) {
	for _, c := range []struct {
		load      float64
		objective time.Duration
		waits     bool
	}{
		{load: 0.85, waits: true}, {load: 0.85, objective: 200 * time.Millisecond, waits: true}, {load: 0.6},
	} {
		wait, response, _ := others(simulateOrganisations(t, nil, time.Minute, unevenLoads(c.load, 1, c.objective)))
		flooded := simulateOrganisations(t, nil, time.Minute, unevenLoads(c.load, 7.5, c.objective))
		floodWait, floodResponse, refused := others(flooded)
		large := flooded["large"]
		t.Logf("load %v, objective %v: p99 of the wait of others %v, without the flood %v, of the response %v, %v; refused %d, of the large one %d of %d",
			c.load, c.objective, floodWait, wait, floodResponse, response, refused, large.refused, large.refused+large.done)
		if c.waits && float64(floodWait) > 1.25*float64(wait) || float64(floodResponse) > 1.25*float64(response) || refused > 0 {
			t.Errorf("p99 of the wait %v, without the flood %v, of the response %v, %v, %d refused", floodWait, wait, floodResponse, response, refused)
		}
		if left := (1 - c.load*3/4) * 5 * 60; large.refused == 0 || large.served < 0.9*left {
			t.Errorf("the large one was refused %d and got %.0f of %.0f s of slot time", large.refused, large.served, left)
		}
	}
}

// TestIdleShare guards against slots that are kept for an idle organisation, and against
// one that claims later what it did not use, or pays for what others left idle.
func TestIdleShare(t *testing.T) {
	load := func(name string, from, until time.Duration) organisationLoad {
		return organisationLoad{name: name, rate: 800, cost: 10 * time.Millisecond, from: from, until: until}
	}
	duration := 20 * time.Second
	results := simulateOrganisations(t, nil, duration, []organisationLoad{
		load("always", 0, duration), load("returns", 10*time.Second, duration),
	})
	always, returns := results["always"], results["returns"]
	if before := always.served - always.servedAfter; before < 0.95*10*5 {
		t.Errorf("%.1f s of 50 s of slot time used while the other one was idle", before)
	}
	if ratio := returns.servedAfter / always.servedAfter; ratio < 0.93 || ratio > 1.07 {
		t.Errorf("the one that returned got %.2f times the slot time of the other", ratio)
	}
	if first := returns.served - returns.servedAfter; first > 1.4 {
		t.Errorf("it got %.2f s of slot time in its first half second, half of it is 1.25 s", first)
	}
}

// TestFullQueueRefusesTheFlood guards against a queue that one organisation fills so that
// the others are refused.
func TestFullQueueRefusesTheFlood(t *testing.T) {
	withDispatcher(t, environment.Ranks{Normal: environment.RankPolicy{Queue: 10}}, func(t *testing.T, d *Dispatcher) {
		request := func(organisation string, bytes int) Request {
			r := primaryRequest(cluster.RankNormal)
			r.Organisation, r.Bytes = organisation, bytes
			return r
		}
		a, b := mustAcquire(t, d, request("flood", 0)), mustAcquire(t, d, request("flood", 0))
		var order outcomeLog
		for i := range 10 {
			acquireAsync(d, request("flood", 90), fmt.Sprint("flood ", i), &order, 0)
		}
		if _, err := d.Acquire(t.Context(), request("flood", 90)); !errcode.Is(err, errcode.Overloaded) {
			t.Errorf("flood beyond the limit: %v", err)
		}
		acquireAsync(d, request("small", 90), "small", &order, 0)
		acquireAsync(d, request("large", 150), "large", &order, 0)
		if diff := cmp.Diff([]string{"flood 9 overloaded", "flood 8 overloaded"}, order.all()[:2]); diff != "" {
			t.Error(diff)
		}
		a.Release()
		b.Release()
		time.Sleep(time.Second)
		if s := d.Stats(); s.QueuedBytes != 0 || s.Queued != [3]int{} {
			t.Errorf("requests still queued: %+v", s)
		}
		if got := order.all(); !slices.Contains(got, "small") || !slices.Contains(got, "large") {
			t.Errorf("outcomes %v", got)
		}
	})
}

// TestWeights guards against shares that do not follow the ranks of the organisations.
func TestWeights(t *testing.T) {
	ranks := map[string]cluster.Rank{"urgent": cluster.RankUrgent, "normal": cluster.RankNormal, "background": cluster.RankBackground}
	var loads []organisationLoad
	for name := range ranks {
		loads = append(loads, organisationLoad{name: name, rate: 1000, cost: 10 * time.Millisecond, until: time.Hour})
	}
	results := simulateOrganisations(t, ranks, 30*time.Second, loads)
	unit := results["background"].served
	for name, want := range map[string]float64{"urgent": 4, "normal": 2} {
		if got := results[name].served / unit; got < 0.93*want || got > 1.07*want {
			t.Errorf("%s got %.2f times the slot time of background, want %v", name, got, want)
		}
	}
}

// TestCostOfOtherOrganisations guards against requests that are refused because the
// statements of another organisation take longer than their deadline.
func TestCostOfOtherOrganisations(t *testing.T) {
	withDispatcher(t, environment.Ranks{}, func(t *testing.T, d *Dispatcher) {
		slow, quick := primaryRequest(cluster.RankNormal), primaryRequest(cluster.RankNormal)
		slow.Organisation, quick.Organisation = "slow", "quick"
		slot := mustAcquire(t, d, slow)
		time.Sleep(time.Second)
		slot.Release()
		quick.Deadline = time.Now().Add(200 * time.Millisecond)
		mustAcquire(t, d, quick).Release()
		slow.Deadline = quick.Deadline
		if _, err := d.Acquire(t.Context(), slow); !errcode.Is(err, errcode.DeadlinePassed) {
			t.Errorf("error %v", err)
		}
	})
}

// TestFailedStatementsAreCharged guards against an organisation that gets more than its
// share because its statements fail, so that their cost is not observed.
func TestFailedStatementsAreCharged(t *testing.T) {
	withDispatcher(t, environment.Ranks{}, func(t *testing.T, d *Dispatcher) {
		used := map[string]time.Duration{}
		var mu sync.Mutex
		var callers sync.WaitGroup
		start := time.Now()
		for name, cost := range map[string]time.Duration{"fails": 100 * time.Millisecond, "works": 10 * time.Millisecond} {
			r := primaryRequest(cluster.RankNormal)
			r.Organisation = name
			for range 20 {
				callers.Go(func() {
					for time.Since(start) < 20*time.Second {
						slot := mustAcquire(t, d, r)
						time.Sleep(cost)
						if name == "fails" {
							slot.MarkFailed()
						}
						slot.Release()
						mu.Lock()
						used[name] += cost
						mu.Unlock()
					}
				})
			}
		}
		callers.Wait()
		if ratio := float64(used["fails"]) / float64(used["works"]); ratio > 1.2 {
			t.Errorf("the one that fails used %.2f times the slot time", ratio)
		}
	})
}

// TestFairWaitCountsTheTurnsOfOthers guards against a request of an organisation that has
// waited for nothing yet, is taken to be served at once and waits until its deadline behind
// the turns of the other organisations; and against one that is taken to wait for the whole
// queue of an organisation that floods.
func TestFairWaitCountsTheTurnsOfOthers(t *testing.T) {
	q := &queue{total: drain{assignInterval: movingAverage{value: 0.01, initialized: true}}}
	waiting := map[string]int{"flood": 100, "own": 1, "high": 4}
	for i := range 20 {
		waiting[fmt.Sprint("small", i)] = 1
	}
	ranks := map[string]cluster.Rank{"high": cluster.RankUrgent, "new": cluster.RankNormal}
	for organisation, n := range waiting {
		for range n {
			s := q.shareOf(organisation, ranks)
			q.push(&waiter{share: s, late: organisation == "flood"}, s)
		}
	}
	for _, tt := range []struct {
		organisation string
		onTime       bool
		want         time.Duration
	}{
		{"new", false, 240 * time.Millisecond}, // one of each organisation, and two of the one with twice the weight
		{"new", true, 230 * time.Millisecond},
		{"own", false, 270 * time.Millisecond},
		{"", false, 0},
	} {
		if got := q.fairWait(q.shareOf(tt.organisation, ranks), tt.onTime).Round(time.Millisecond); got != tt.want {
			t.Errorf("%q, on time %v: %v, want %v", tt.organisation, tt.onTime, got, tt.want)
		}
	}
}
