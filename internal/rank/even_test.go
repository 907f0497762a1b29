package rank

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/outlier"
)

const (
	// loadSlots is the number of slots of each server of a groupLoad, loadCost the mean slot
	// time of its statements, and loadReplicaWait how long a read waits for a replica.
	loadSlots       = 4
	loadCost        = 5 * time.Millisecond
	loadReplicaWait = 60 * time.Millisecond
	// refusalTime is the time after which a server refuses a statement.
	refusalTime = 500 * time.Microsecond
	loadTime    = 10 * time.Second
)

// groupLoad is the load on a group of a primary, s1, and two replicas.
type groupLoad struct {
	even bool
	// homes is the number of homes that use the group at the same time.
	homes int
	// reads and writes are offered loads as fractions of the slots of one server.
	reads, writes float64
	// slowness multiplies the slot time of a server; nil for none. fails is whether a server
	// fails a statement at once.
	slowness func(id cluster.ServerID, at time.Duration) float64
	fails    func(id cluster.ServerID, at time.Duration, r *rand.Rand) bool
	// reachable is whether a server may be given reads; nil for always.
	reachable func(id cluster.ServerID, at time.Duration) bool
}

// groupResult is the result of a groupLoad. The shares are of the slot time by server.
type groupResult struct {
	mu        sync.Mutex
	latencies [laneCount][]time.Duration
	runs      map[cluster.ServerID]int
	used      map[cluster.ServerID]float64
	// rounds is the number of statements of each server by second.
	rounds             map[cluster.ServerID]*[12]int
	refused, retried   int
	idleQueued, sample int
}

// busiestToMean returns the mean over the seconds of the ratio of the statements of the
// busiest server to the mean of all.
func (r *groupResult) busiestToMean(ids ...cluster.ServerID) float64 {
	sum, n := 0.0, 0.0
	for second := 1; second < int(loadTime/time.Second); second++ {
		most, all := 0, 0
		for _, id := range ids {
			most = max(most, r.rounds[id][second])
			all += r.rounds[id][second]
		}
		if all > 0 {
			sum += float64(most*len(ids)) / float64(all)
			n++
		}
	}
	return sum / max(n, 1)
}

// percentile returns a percentile of the response times of a lane.
func (r *groupResult) percentile(lane Lane, p int) time.Duration {
	slices.Sort(r.latencies[lane])
	return r.latencies[lane][len(r.latencies[lane])*p/100].Round(100 * time.Microsecond)
}

// groupHome is one home of a simulated group.
type groupHome struct {
	d         *Dispatcher
	mu        sync.Mutex
	detectors map[cluster.ServerID]*outlier.Detector
}

// simulatedGroup is the state of the servers of a groupLoad.
type simulatedGroup struct {
	groupLoad
	result *groupResult
	start  time.Time
	mu     sync.Mutex
	busy   map[cluster.ServerID]int
}

func (l groupLoad) measure(t *testing.T) *groupResult {
	t.Helper()
	ids := []cluster.ServerID{"s1", "s2", "s3"}
	res := &groupResult{runs: map[cluster.ServerID]int{}, used: map[cluster.ServerID]float64{}, rounds: map[cluster.ServerID]*[12]int{}}
	synctest.Test(t, func(t *testing.T) {
		g := &simulatedGroup{groupLoad: l, result: res, start: time.Now(), busy: map[cluster.ServerID]int{}}
		var servers []cluster.Server
		for _, id := range ids {
			servers = append(servers, cluster.Server{ID: id, Slots: loadSlots})
			res.rounds[id] = &[12]int{}
		}
		var homes []*groupHome
		for range max(l.homes, 1) {
			h := &groupHome{d: New(Config{EvenLoad: l.even}), detectors: map[cluster.ServerID]*outlier.Detector{}}
			defer h.d.Close()
			for _, id := range ids {
				h.detectors[id] = &outlier.Detector{}
			}
			h.d.SetServers(servers)
			h.d.SetPrimary("s1", loadSlots)
			homes = append(homes, h)
		}
		var callers sync.WaitGroup
		for i, load := range []float64{l.writes, l.reads} {
			if load == 0 {
				continue
			}
			callers.Go(func() {
				random := rand.New(rand.NewPCG(experimentSeed, uint64(i)))
				meanGap := float64(loadCost) / (load * loadSlots)
				for time.Since(g.start) < loadTime {
					time.Sleep(time.Duration(random.ExpFloat64() * meanGap))
					cost := time.Duration(random.ExpFloat64() * float64(loadCost))
					h, seed := homes[random.IntN(len(homes))], random.Uint64()
					callers.Go(func() { g.request(t, h, Lane(i), cost, seed) })
				}
			})
		}
		callers.Go(func() { g.sampleIdle(homes) })
		callers.Wait()
	})
	return res
}

// sampleIdle counts the milliseconds in which a read waits while a server that may run it
// has a free slot.
func (g *simulatedGroup) sampleIdle(homes []*groupHome) {
	for time.Since(g.start) < loadTime {
		time.Sleep(time.Millisecond)
		waiting := false
		for _, h := range homes {
			waiting = waiting || h.d.QueueState(cluster.RankNormal, LaneRead, "").Queued > 0
		}
		g.mu.Lock()
		g.result.sample++
		if waiting && g.busy["s1"]+g.busy["s2"]+g.busy["s3"] < 3*loadSlots {
			g.result.idleQueued++
		}
		g.mu.Unlock()
	}
}

// request runs a statement as a home does, with retries on other servers.
func (g *simulatedGroup) request(t *testing.T, h *groupHome, lane Lane, cost time.Duration, seed uint64) {
	arrived, random := time.Now(), rand.New(rand.NewPCG(seed, 1))
	var failed []cluster.ServerID
	for attempt := range 4 {
		if attempt > 1 {
			time.Sleep(time.Duration(attempt-1) * 25 * time.Millisecond)
		}
		slot, err := h.d.Acquire(t.Context(), Request{
			Rank: cluster.RankNormal, Lane: lane, Deadline: arrived.Add(time.Second),
			Eligible: func(id cluster.ServerID, now time.Time) Eligibility {
				return g.eligible(h, lane, id, failed, arrived, now)
			},
		})
		if err != nil {
			break
		}
		if g.run(h, slot, cost, random) {
			g.result.mu.Lock()
			g.result.latencies[lane] = append(g.result.latencies[lane], time.Since(arrived))
			g.result.mu.Unlock()
			return
		}
		failed = append(failed, slot.Server)
		g.result.mu.Lock()
		g.result.retried++
		g.result.mu.Unlock()
	}
	g.result.mu.Lock()
	g.result.refused++
	g.result.mu.Unlock()
}

// eligible is the rule of route.DecideServer for replicas that are fresh.
func (g *simulatedGroup) eligible(h *groupHome, lane Lane, id cluster.ServerID, failed []cluster.ServerID, arrived, now time.Time) Eligibility {
	allowed := func(id cluster.ServerID) bool {
		h.mu.Lock()
		defer h.mu.Unlock()
		reachable := g.reachable == nil || g.reachable(id, now.Sub(g.start))
		return reachable && !h.detectors[id].Ejected() && !slices.Contains(failed, id)
	}
	if id != "s1" {
		return Eligibility{OK: allowed(id)}
	}
	if until := arrived.Add(loadReplicaWait); lane == LaneRead && (allowed("s2") || allowed("s3")) && until.After(now) {
		return Eligibility{RetryAt: until, Spare: true}
	}
	return Eligibility{OK: true}
}

// run runs a statement in a slot and reports whether the server carried it out.
func (g *simulatedGroup) run(h *groupHome, slot *Slot, cost time.Duration, random *rand.Rand) bool {
	id, at := slot.Server, time.Since(g.start)
	second := int(at / time.Second)
	g.mu.Lock()
	full := g.busy[id] >= loadSlots
	if second < 12 {
		g.result.rounds[id][second]++
	}
	g.result.runs[id]++
	if !full {
		g.busy[id]++
	}
	g.mu.Unlock()
	fails := g.fails != nil && g.fails(id, at, random)
	if full || fails {
		cost = refusalTime
	} else if g.slowness != nil {
		cost = time.Duration(float64(cost) * g.slowness(id, at))
	}
	time.Sleep(cost)
	if !full {
		g.mu.Lock()
		g.busy[id]--
		g.result.used[id] += cost.Seconds()
		g.mu.Unlock()
	}
	if full || fails {
		slot.MarkFailed()
		slot.MarkRefused()
	}
	slot.Release()
	h.mu.Lock()
	defer h.mu.Unlock()
	detector := h.detectors[id]
	switch {
	case !full && !fails:
		detector.RecordSuccess(time.Now())
	case fails && id != "s1" && detector.RecordFailure(time.Now()):
		time.AfterFunc(detector.Eject(time.Now()), func() {
			h.mu.Lock()
			detector.Readmit(time.Now())
			h.mu.Unlock()
			h.d.Reevaluate()
		})
	}
	return !full && !fails
}

func onServer(id cluster.ServerID, from, until time.Duration, factor float64) func(cluster.ServerID, time.Duration) float64 {
	return func(s cluster.ServerID, at time.Duration) float64 {
		if s == id && at >= from && at < until {
			return factor
		}
		return 1
	}
}

// loadCases are the situations in which the load of a group's servers may become uneven.
func loadCases() map[string]groupLoad {
	failsAt := func(p float64) func(cluster.ServerID, time.Duration, *rand.Rand) bool {
		return func(id cluster.ServerID, at time.Duration, r *rand.Rand) bool {
			return id == "s2" && at > time.Second && r.Float64() < p
		}
	}
	return map[string]groupLoad{
		"a low load":                         {reads: 0.1, writes: 0.05},
		"b medium load":                      {reads: 1, writes: 0.2},
		"c replicas nearly full":             {reads: 1.8, writes: 0.2},
		"d replicas full, primary idle":      {reads: 2.2, writes: 0.2},
		"e one replica slow, low load":       {reads: 0.3, writes: 0.05, slowness: onServer("s2", 0, loadTime*2, 4)},
		"f one replica slow, medium load":    {reads: 0.8, writes: 0.1, slowness: onServer("s2", 0, loadTime*2, 4)},
		"g becomes slow for 3 s":             {reads: 0.8, writes: 0.1, slowness: onServer("s3", 3*time.Second, 6*time.Second, 6)},
		"h fails one in ten at once":         {reads: 0.8, writes: 0.1, fails: failsAt(0.1)},
		"i fails all at once":                {reads: 0.8, writes: 0.1, fails: failsAt(1)},
		"j two homes overlap, medium load":   {homes: 2, reads: 1, writes: 0.2},
		"k two homes overlap, replicas full": {homes: 2, reads: 1.8, writes: 0.2},
		"m many writes, replicas full":       {reads: 2.2, writes: 0.7},
		"l returns after an absence": {reads: 1.2, writes: 0.1, reachable: func(id cluster.ServerID, at time.Duration) bool {
			return id != "s2" || at < 3*time.Second || at > 6*time.Second
		}},
	}
}

// loadBounds bounds the results of a groupLoad with even load: the ratio of the busiest server
// to the mean, of the replicas and of all servers, the p99 of the response times of reads
// and writes, the share of the time in which a read waits while a server has a free slot, and
// the refused statements and retries. Zero is no bound.
type loadBounds struct {
	replicas, all    float64
	reads, writes    time.Duration
	idle             float64
	refused, retries int
}

// TestEvenLoad guards against load that is uneven, or that waits, without need. With
// RATTAN_EXPERIMENTS=1 it also measures the load without package balance.
func TestEvenLoad(t *testing.T) {
	const ms = time.Millisecond
	bounds := map[string]loadBounds{
		"a low load":                         {replicas: 1.1, all: 1.25, reads: 25 * ms, writes: 25 * ms},
		"b medium load":                      {replicas: 1.1, all: 1.25, reads: 25 * ms, writes: 25 * ms, idle: 0.02},
		"c replicas nearly full":             {replicas: 1.1, all: 1.25, reads: 25 * ms, writes: 25 * ms, idle: 0.2},
		"d replicas full, primary idle":      {replicas: 1.1, all: 1.25, reads: 30 * ms, writes: 25 * ms, idle: 0.5},
		"e one replica slow, low load":       {reads: 68 * ms},
		"f one replica slow, medium load":    {reads: 56 * ms, idle: 0.05},
		"g becomes slow for 3 s":             {reads: 40 * ms, idle: 0.03},
		"h fails one in ten at once":         {reads: 26 * ms, idle: 0.1, retries: 25},
		"i fails all at once":                {reads: 26 * ms, idle: 0.1, retries: 15},
		"j two homes overlap, medium load":   {replicas: 1.1, all: 1.25, retries: 450},
		"k two homes overlap, replicas full": {replicas: 1.1, all: 1.25, reads: 60 * ms, refused: 70, retries: 5000},
		"l returns after an absence":         {reads: 30 * ms, idle: 0.2},
		"m many writes, replicas full":       {replicas: 1.1, all: 1.25, reads: 65 * ms, writes: 30 * ms},
	}
	for name, load := range loadCases() {
		for _, even := range []bool{false, true} {
			if !even && !compareAlternatives() {
				continue
			}
			load.even = even
			r, b := load.measure(t), bounds[name]
			got := loadBounds{
				replicas: r.busiestToMean("s2", "s3"), all: r.busiestToMean("s1", "s2", "s3"), reads: r.percentile(LaneRead, 99),
				writes: r.percentile(LanePrimary, 99), idle: float64(r.idleQueued) / float64(r.sample), refused: r.refused, retries: r.retried,
			}
			t.Logf("%s, even %v: busiest to mean %.2f of replicas, %.2f of all, %d/%d/%d statements, reads p50 %v p99 %v, writes p99 %v, idle while queued %.3f, refused %d, retries %d",
				name, even, got.replicas, got.all, r.runs["s1"], r.runs["s2"], r.runs["s3"], r.percentile(LaneRead, 50), got.reads, got.writes, got.idle, got.refused, got.retries)
			if even && b.exceededBy(got) {
				t.Errorf("%s: %+v, bounds %+v", name, got, b)
			}
		}
	}
}

func (b loadBounds) exceededBy(got loadBounds) bool {
	over := func(bound, value float64) bool { return bound > 0 && value > bound }
	return over(b.replicas, got.replicas) || over(b.all, got.all) || over(b.idle, got.idle) ||
		over(float64(b.reads), float64(got.reads)) || over(float64(b.writes), float64(got.writes)) ||
		over(float64(b.refused), float64(got.refused)) || over(float64(b.retries), float64(got.retries)) ||
		b.refused == 0 && got.refused > 0
}

// TestOrderWithoutEvenLoad guards against a change of the order of the servers where even load
// is not asked for: the first one with the most free slots, the primary last.
func TestOrderWithoutEvenLoad(t *testing.T) {
	for _, tt := range []struct {
		config  Config
		inTurns bool
	}{{Config{}, false}, {Config{EvenLoad: true, Policy: PolicyStatic}, false}, {Config{EvenLoad: true}, true}} {
		d := New(tt.config)
		d.SetServers([]cluster.Server{{ID: "s1", Slots: 2, Connections: 2}, {ID: "s2", Slots: 2, Connections: 2}, {ID: "s3", Slots: 2, Connections: 2}})
		d.SetPrimary("s1", 2)
		given := map[cluster.ServerID]int{}
		for range 6 {
			slot, err := d.Acquire(t.Context(), Request{Lane: LaneRead, Eligible: anyServerEligible})
			if err != nil {
				t.Fatal(err)
			}
			given[slot.Server]++
			slot.MarkRefused()
			slot.Release()
		}
		if inTurns := given["s2"] < 6; inTurns != tt.inTurns {
			t.Errorf("%+v: reads by server %v", tt.config, given)
		}
		d.Close()
	}
}

// TestBusiestToMean guards against a ratio that does not show a server that is loaded alone, and
// against one of an idle group.
func TestBusiestToMean(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{})
		defer d.Close()
		d.SetServers([]cluster.Server{{ID: "s1", Slots: 4}, {ID: "s2", Slots: 4}, {ID: "s3", Slots: 4}})
		only := func(id cluster.ServerID) func(cluster.ServerID, time.Time) Eligibility {
			return func(s cluster.ServerID, _ time.Time) Eligibility { return Eligibility{OK: s == id} }
		}
		for i, want := range []float64{3, 1.5, 1} {
			slot, err := d.Acquire(t.Context(), Request{Lane: LaneRead, Eligible: only(cluster.ServerID([]string{"s1", "s2", "s3"}[i]))})
			if err != nil {
				t.Fatal(err)
			}
			defer slot.Release()
			time.Sleep(10 * time.Second)
			if got := d.BusiestToMean(); math.Abs(got-want) > 0.01 {
				t.Errorf("%d servers at work: %v, want %v", i+1, got, want)
			}
			slot.MarkRefused()
			if l := d.Load(slot.Server); l.Running != 1 || l.Given != 1 || l.Refused != 1 {
				t.Errorf("%+v", l)
			}
		}
	})
	if got := New(Config{}).BusiestToMean(); got != 0 {
		t.Errorf("%v without servers", got)
	}
}

// evenDispatcher returns a dispatcher of three servers with four slots, s1 the primary.
func evenDispatcher() *Dispatcher {
	d := New(Config{EvenLoad: true})
	d.SetServers([]cluster.Server{{ID: "s1", Slots: 4}, {ID: "s2", Slots: 4}, {ID: "s3", Slots: 4}})
	d.SetPrimary("s1", 4)
	return d
}

// TestLimitAfterRefusalEnds guards against a request that waits, after a refusal, until another
// statement ends although the server has free slots.
func TestLimitAfterRefusalEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := evenDispatcher()
		defer d.Close()
		onlyS2 := Request{Lane: LaneRead, Eligible: func(s cluster.ServerID, _ time.Time) Eligibility { return Eligibility{OK: s == "s2"} }}
		refused := mustAcquire(t, d, onlyS2)
		refused.MarkRefused()
		refused.Release()
		defer mustAcquire(t, d, onlyS2).Release()
		begun := time.Now()
		defer mustAcquire(t, d, onlyS2).Release()
		if took := time.Since(begun); took < 5*time.Millisecond || took > 40*time.Millisecond {
			t.Errorf("a second statement got a slot after %v", took)
		}
	})
}

// TestWritesSayNothingOfTheSpeed guards against a primary that counts as slow because writes
// take longer than reads.
func TestWritesSayNothingOfTheSpeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := evenDispatcher()
		defer d.Close()
		for range 100 {
			for lane, cost := range []time.Duration{50 * time.Millisecond, time.Millisecond} {
				slot := mustAcquire(t, d, Request{Lane: Lane(lane), Eligible: anyServerEligible})
				time.Sleep(cost)
				slot.Release()
			}
		}
		if slowness := d.server("s1").load.Slowness(time.Now()); slowness > 1.1 {
			t.Errorf("slowness of the primary %v", slowness)
		}
	})
}

// TestPreferenceDoesNotOutweighLoad guards against a read that goes to a server that refuses
// statements because it has a connection of the read's organisation.
func TestPreferenceDoesNotOutweighLoad(t *testing.T) {
	d := evenDispatcher()
	defer d.Close()
	prefersS2 := Request{Lane: LaneRead, Eligible: anyServerEligible, Prefers: func(s cluster.ServerID) int { return strings.Count(string(s), "2") }}
	for range 2 {
		slot := mustAcquire(t, d, prefersS2)
		if slot.Server != "s2" {
			t.Errorf("the read got %s", slot.Server)
		}
		slot.Release()
	}
	slot := mustAcquire(t, d, prefersS2)
	slot.MarkRefused()
	slot.Release()
	if slot := mustAcquire(t, d, prefersS2); slot.Server == "s2" {
		t.Error("the read got the server that had just refused one")
	}
}
