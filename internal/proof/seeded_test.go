package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// defaultSeeds is the default number of seeds of TestSeededFleet, which CI uses. The
// other tests run this number divided by the divisor that names them.
const (
	defaultSeeds        = 200
	serverFaultsDivisor = 5  // TestSeededServerStorm
	partitionDivisor    = 10 // TestSeededPartitions
	majorityLossDivisor = 20 // TestSeededMajorityLoss
	plannedStopDivisor  = 20 // TestSeededPlannedStops
	leavingDivisor      = 20 // TestSeededLeavingServers
	outageDivisor       = 20 // TestSeededOutages
)

// startupTime is the time in which members become stable and homes claim their groups.
const startupTime = 7 * time.Second

func newRandom(a, b uint64) *rand.Rand { return rand.New(rand.NewPCG(a, b)) }

// seedCount returns the number of seeds that RATTAN_SEEDS sets, or defaultSeeds.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		return n
	}
	return defaultSeeds
}

// runSeed runs one seed in a synctest bubble and checks the history.
func runSeed(t *testing.T, seed uint64, faults faultMix, disabled disabledMechanisms) *report {
	t.Helper()
	var out *report
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, faults, disabled)
		defer f.close()
		out = f.run()
	})
	out.checkLinearizable()
	return out
}

func (f *fleet) run() *report {
	time.Sleep(startupTime)
	h := &history{}
	ctx, cancel := context.WithCancel(f.ctx)
	var callers sync.WaitGroup
	for g, name := range f.groupNames {
		for i := range sessionsPerGroup {
			c := &callerSession{
				fleet: f, name: fmt.Sprintf("s%d%d", g, i), group: name, history: h,
				random: newRandom(f.seed, uint64(100+g*sessionsPerGroup+i)), carriesPosition: i%2 == 0,
				timeout: f.faults.requestTimeout,
			}
			callers.Go(func() { c.run(ctx) })
		}
	}
	for _, o := range f.operators() {
		callers.Go(func() { o.run(ctx) })
	}
	f.injectFaults()
	f.trace("healed")
	recoveryTime, violations := f.awaitRecovery(h)
	time.Sleep(time.Second)
	cancel()
	callers.Wait()
	time.Sleep(requestTimeout) // until requests that were cut off have ended
	out := f.check(h)
	out.violations = append(out.violations, violations...)
	out.counts["slowest recovery ms"] = int(recoveryTime.Milliseconds())
	return out
}

// countTotals sums up the counts of runs, or keeps the highest of those named "most"
// or "slowest". It is safe for concurrent use.
type countTotals struct {
	mu     sync.Mutex
	counts map[string]int
}

func (c *countTotals) add(counts map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range counts {
		if strings.HasPrefix(name, "most") || strings.HasPrefix(name, "slowest") {
			c.counts[name] = max(c.counts[name], n)
			continue
		}
		c.counts[name] += n
	}
}

// TestSeededFleet injects all kinds of faults and checks every guarantee.
func TestSeededFleet(t *testing.T) { runSeeds(t, seedCount(), allFaultsMix) }

// TestSeededServerStorm injects faults at servers so frequently that groups lose their
// majorities, and checks every guarantee.
func TestSeededServerStorm(t *testing.T) {
	runSeeds(t, seedCount()/serverFaultsDivisor, serverFaultsMix)
}

// TestSeededPartitions partitions primaries together with their homes, which continue
// with their outdated state, and checks every guarantee.
func TestSeededPartitions(t *testing.T) { runSeeds(t, seedCount()/partitionDivisor, partitionMix) }

// TestSeededMajorityLoss kills two servers of a group at once while the third one lacks
// the last writes, and checks every guarantee.
func TestSeededMajorityLoss(t *testing.T) {
	runSeeds(t, seedCount()/majorityLossDivisor, majorityLossMix)
}

// TestSeededPlannedStops stops proxies gracefully and starts them again, and checks
// that every request is done.
func TestSeededPlannedStops(t *testing.T) {
	runSeeds(t, seedCount()/plannedStopDivisor, plannedStopMix)
}

// TestSeededLeavingServers announces servers as leaving and kills them while proxies
// are stopped gracefully, and checks every guarantee.
func TestSeededLeavingServers(t *testing.T) { runSeeds(t, seedCount()/leavingDivisor, leavingMix) }

// TestSeededOutages injects faults at the platform while operators change documents,
// and checks every guarantee.
func TestSeededOutages(t *testing.T) { runSeeds(t, seedCount()/outageDivisor, outageMix) }

func runSeeds(t *testing.T, count int, faults faultMix) {
	t.Helper()
	t.Parallel()
	total := &countTotals{counts: map[string]int{}}
	t.Run("seeds", func(t *testing.T) {
		for seed := range count {
			t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
				t.Parallel()
				out := runSeed(t, uint64(seed), faults, disabledMechanisms{})
				for _, v := range out.violations {
					t.Errorf("seed %d: %s: %s", seed, v.guarantee, v.text)
				}
				total.add(out.counts)
			})
		}
	})
	t.Logf("%d seeds: %s", count, strings.Join(sortedCounts(total.counts), ", "))
}
