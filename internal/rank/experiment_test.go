package rank

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
)

const experimentSeed = 20261204

// arrivalStream is a Poisson stream of one rank.
type arrivalStream struct {
	rank cluster.Rank
	// offeredLoad is the stream's work as a fraction of the total slot time.
	offeredLoad float64
	// cost is the mean slot time of a statement.
	cost time.Duration
	// from and until are the start and end of the stream within the run.
	from, until time.Duration
}

// experiment simulates a group of one server, with statements whose durations are
// exponentially distributed.
type experiment struct {
	slots         int
	run           time.Duration
	streams       []arrivalStream
	ranks         environment.Ranks
	policy        Policy
	proxies       int
	chargeByCount bool
	// networkDelay is the one-way delay between an entry proxy and the home.
	networkDelay time.Duration
	// remoteExecution makes the home only assign slots: the entry proxy runs the
	// statement, and the slot stays occupied while its assignment and its release are
	// in transit.
	remoteExecution bool
	// tokenBucket is the burst, in slot time, of a token bucket that admits work at
	// the rate of all slots; zero admits everything.
	tokenBucket time.Duration
}

// rankResult is the result of one rank. Work is slot time in seconds; lateWork was
// completed after the end of the run.
type rankResult struct {
	latencies []time.Duration
	work      float64
	done      int
	refused   int
	offered   int
	lateWork  float64
}

func (o *rankResult) p99() time.Duration {
	if len(o.latencies) == 0 {
		return 0
	}
	slices.Sort(o.latencies)
	return o.latencies[len(o.latencies)*99/100]
}

type results struct {
	ranks [cluster.RankCount]rankResult
	// busy is the fraction of the slot time that was used.
	busy float64
	run  time.Duration
}

func (r results) share(slots int, rank cluster.Rank) float64 {
	return r.ranks[rank].work / (float64(slots) * r.run.Seconds())
}

// fakeBackend runs as many statements at once as it has slots, in order of arrival.
type fakeBackend struct{ slots chan struct{} }

func (b *fakeBackend) run(d time.Duration) {
	b.slots <- struct{}{}
	time.Sleep(d)
	<-b.slots
}

func (e experiment) measure(t *testing.T) results {
	t.Helper()
	var res results
	synctest.Test(t, func(*testing.T) {
		res = e.simulate()
	})
	res.run = e.run
	res.busy = 0
	for r := range cluster.Rank(cluster.RankCount) {
		res.busy += res.share(e.slots, r)
	}
	return res
}

func (e experiment) simulate() results {
	dispatchers := make([]*Dispatcher, max(e.proxies, 1))
	for i := range dispatchers {
		d := New(Config{Policy: e.policy, Ranks: e.ranks, Proxies: e.proxies})
		d.chargeByCount = e.chargeByCount
		d.SetServers([]cluster.Server{{ID: "s", Slots: e.slots, Connections: 16}})
		d.SetPrimary("s", e.slots)
		dispatchers[i] = d
	}
	var (
		res     results
		mu      sync.Mutex
		wg      sync.WaitGroup
		backend = &fakeBackend{slots: make(chan struct{}, e.slots)}
		start   = time.Now()
		limiter *rate.Limiter
	)
	if e.tokenBucket > 0 {
		// One token is a millisecond of slot time.
		limiter = rate.NewLimiter(rate.Limit(1000*e.slots), int(e.tokenBucket.Milliseconds()))
	}
	execute := func(d *Dispatcher, r cluster.Rank, cost, meanCost time.Duration) {
		arrived := time.Now()
		if limiter != nil && !limiter.AllowN(arrived, int(meanCost.Milliseconds())) {
			mu.Lock()
			res.ranks[r].refused++
			mu.Unlock()
			return
		}
		time.Sleep(e.networkDelay)
		slot, err := d.Acquire(context.Background(), Request{Rank: r, Lane: LanePrimary, Eligible: anyServerEligible})
		if err == nil {
			e.runStatement(slot, func() { backend.run(cost) })
		}
		if !e.remoteExecution || err != nil {
			time.Sleep(e.networkDelay)
		}
		mu.Lock()
		defer mu.Unlock()
		o := &res.ranks[r]
		if err != nil {
			o.refused++
			return
		}
		o.done++
		o.latencies = append(o.latencies, time.Since(arrived))
		if time.Since(start) <= e.run {
			o.work += cost.Seconds()
		} else {
			o.lateWork += cost.Seconds()
		}
	}
	for i, stream := range e.streams {
		random := rand.New(rand.NewPCG(experimentSeed, uint64(i)))
		wg.Go(func() {
			meanGap := stream.cost.Seconds() / (stream.offeredLoad * float64(e.slots))
			time.Sleep(stream.from)
			for time.Since(start) < min(e.run, stream.until) {
				time.Sleep(time.Duration(random.ExpFloat64() * meanGap * float64(time.Second)))
				cost := time.Duration(random.ExpFloat64() * float64(stream.cost))
				d := dispatchers[random.IntN(len(dispatchers))]
				res.ranks[stream.rank].offered++
				wg.Go(func() { execute(d, stream.rank, cost, stream.cost) })
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * e.networkDelay) // wait for releases in transit
	for _, d := range dispatchers {
		d.Close()
	}
	return res
}

// runStatement runs a statement in a slot. With remoteExecution, the slot's
// assignment is sent to the entry proxy before the statement, and its release is
// sent back afterwards.
func (e experiment) runStatement(slot *Slot, run func()) {
	if e.remoteExecution {
		time.Sleep(e.networkDelay)
	}
	run()
	if !e.remoteExecution {
		slot.Release()
		return
	}
	go func() {
		time.Sleep(e.networkDelay)
		slot.Release()
	}()
}

func anyServerEligible(cluster.ServerID, time.Time) Eligibility { return Eligibility{OK: true} }

const (
	meanCost = 5 * time.Millisecond
	runTime  = 10 * time.Second
)

func guaranteedShares() environment.Ranks {
	var r environment.Ranks
	r.Urgent = environment.RankPolicy{Floor: 0.5, Queue: 2000, MaxWait: 5 * time.Second}
	r.Normal = environment.RankPolicy{Floor: 0.2, Queue: 500, MaxWait: 2 * time.Second}
	r.Background = environment.RankPolicy{Floor: 0.1, Queue: 500, MaxWait: 2 * time.Second}
	return r
}

func newArrivalStream(r cluster.Rank, offeredLoad float64, cost time.Duration) arrivalStream {
	return arrivalStream{rank: r, offeredLoad: offeredLoad, cost: cost, until: runTime}
}

func (e experiment) withStreams(streams ...arrivalStream) experiment {
	e.streams = streams
	e.run = runTime
	if e.ranks == (environment.Ranks{}) {
		e.ranks = guaranteedShares()
	}
	return e
}

// compareAlternatives reports whether the experiments also run the alternatives to
// the scheduling that is used. RATTAN_EXPERIMENTS=1 turns this on.
func compareAlternatives() bool { return os.Getenv("RATTAN_EXPERIMENTS") != "" }

// TestFloodOfBackground compares the urgent p99 during background load of ten
// times the capacity with the urgent p99 without other load.
func TestFloodOfBackground(t *testing.T) {
	for _, slots := range []int{2, 5} {
		e := experiment{slots: slots, policy: PolicyRanked}
		ratio, busy := e.backgroundFlood(t, meanCost)
		if ratio > 1.25 || busy < 0.95 {
			t.Errorf("slots %d: urgent p99 ratio %.2f, busy %.3f", slots, ratio, busy)
		}
		if !compareAlternatives() {
			continue
		}
		static := experiment{slots: slots, policy: PolicyStatic, proxies: 8}
		static.backgroundFlood(t, meanCost)
		static.backgroundFlood(t, 10*meanCost)
		e.backgroundFlood(t, 10*meanCost)
		e.ranks = guaranteedShares()
		e.ranks.Urgent.KeepFreeSlots = 1
		e.backgroundFlood(t, meanCost)
		e.backgroundFlood(t, 10*meanCost)
		distant := experiment{slots: slots, policy: PolicyRanked, networkDelay: 500 * time.Microsecond}
		distant.backgroundFlood(t, meanCost)
		distant.remoteExecution = true
		distant.backgroundFlood(t, meanCost)
	}
}

func (e experiment) backgroundFlood(t *testing.T, cost time.Duration) (ratio, busy float64) {
	t.Helper()
	urgent := newArrivalStream(cluster.RankUrgent, 0.3, meanCost)
	alone := e.withStreams(urgent).measure(t).ranks[cluster.RankUrgent]
	res := e.withStreams(urgent, newArrivalStream(cluster.RankBackground, 10, cost)).measure(t)
	flooded := res.ranks[cluster.RankUrgent]
	ratio = float64(flooded.p99()) / float64(alone.p99())
	t.Logf("%s, network delay %v, remote execution %v, slots %d, kept free %d, flood of %v: urgent p99 %v, alone %v, ratio %.2f, busy %.3f, background share %.3f",
		e.policy, e.networkDelay, e.remoteExecution, e.slots, e.ranks.Urgent.KeepFreeSlots, cost, flooded.p99().Round(time.Microsecond),
		alone.p99().Round(time.Microsecond), ratio, res.busy, res.share(e.slots, cluster.RankBackground))
	return ratio, res.busy
}

// TestFloodOfUrgent measures the shares of the other ranks during urgent load of
// ten times the capacity.
func TestFloodOfUrgent(t *testing.T) {
	for _, cost := range []time.Duration{meanCost, 10 * meanCost} {
		e := experiment{slots: 2, policy: PolicyRanked}
		normal, background, busy := e.urgentFlood(t, cost)
		if normal < 0.18 || normal > 0.22 || background < 0.09 || background > 0.11 || busy < 0.95 {
			t.Errorf("background statements of %v: normal %.3f background %.3f busy %.3f", cost, normal, background, busy)
		}
		if compareAlternatives() {
			e.chargeByCount = true
			e.urgentFlood(t, cost)
		}
	}
}

func (e experiment) urgentFlood(t *testing.T, cost time.Duration) (normal, background, busy float64) {
	t.Helper()
	res := e.withStreams(newArrivalStream(cluster.RankUrgent, 10, meanCost),
		newArrivalStream(cluster.RankNormal, 1, meanCost), newArrivalStream(cluster.RankBackground, 1, cost)).measure(t)
	normal = res.share(e.slots, cluster.RankNormal)
	background = res.share(e.slots, cluster.RankBackground)
	t.Logf("background statements of %v, charged by count %v: normal keeps %.3f of 0.2, background %.3f of 0.1, busy %.3f",
		cost, e.chargeByCount, normal, background, res.busy)
	return normal, background, res.busy
}

// TestGoodputUnderOverload measures the completed work at a load of ten times the
// capacity.
func TestGoodputUnderOverload(t *testing.T) {
	if goodput := (experiment{slots: 2, policy: PolicyRanked}).overload(t); goodput < 0.95 {
		t.Errorf("goodput %.3f, want 0.95 at least", goodput)
	}
	if !compareAlternatives() {
		return
	}
	for _, reserve := range []time.Duration{50 * time.Millisecond, 500 * time.Millisecond} {
		experiment{slots: 2, policy: PolicyRanked, tokenBucket: reserve}.overload(t)
	}
	shortWait := experiment{slots: 2, policy: PolicyRanked, ranks: guaranteedShares()}
	shortWait.ranks.Background.MaxWait = 300 * time.Millisecond
	shortWait.overload(t)
}

// overload offers background load of ten times the capacity, without and with some
// urgent load, and returns the goodput of the first.
func (e experiment) overload(t *testing.T) float64 {
	t.Helper()
	flood := newArrivalStream(cluster.RankBackground, 10, meanCost)
	res := e.withStreams(flood).measure(t)
	o := res.ranks[cluster.RankBackground]
	urgent := e.withStreams(flood, newArrivalStream(cluster.RankUrgent, 0.3, meanCost)).measure(t).ranks[cluster.RankUrgent]
	t.Logf("token bucket %v, maximum wait %v: goodput %.3f p99 %v refused %d of %d; urgent work beside it refused %d of %d",
		e.tokenBucket, e.withStreams().ranks.Background.MaxWait, res.busy, o.p99().Round(time.Millisecond), o.refused, o.offered, urgent.refused, urgent.offered)
	if o.done+o.refused != o.offered {
		t.Errorf("%d done and %d refused of %d", o.done, o.refused, o.offered)
	}
	return res.busy
}

// TestUnusedShareIsReturned overloads with background work and later also with urgent
// work: the urgent work gets its share back at once, and background keeps its
// guaranteed share although it used far more before.
func TestUnusedShareIsReturned(t *testing.T) {
	for _, from := range []time.Duration{5 * time.Second} {
		e := experiment{slots: 2, policy: PolicyRanked}
		urgent := newArrivalStream(cluster.RankUrgent, 10, meanCost)
		urgent.from = from
		res := e.withStreams(urgent, newArrivalStream(cluster.RankBackground, 10, meanCost)).measure(t)
		floodTime := (runTime - from).Seconds()
		alone := from.Seconds()
		kept := (res.ranks[cluster.RankBackground].work/2 - alone) / floodTime
		t.Logf("urgent flood from %v: background keeps %.3f, busy %.3f", from, kept, res.busy)
		if kept < 0.08 || kept > 0.13 {
			t.Errorf("background keeps %.3f, its guaranteed share is 0.1", kept)
		}
	}
}
