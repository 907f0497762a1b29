package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/standin/userplatform"
)

const (
	// soakSeedsEnv sets the number of seeds, soakFirstEnv the first of them,
	// soakTimeEnv the seconds during which faults are injected, soakProcessesEnv the
	// number of processes and soakKeepEnv the directory for the logs of failed runs.
	soakSeedsEnv     = "RATTAN_SOAK_SEEDS"
	soakFirstEnv     = "RATTAN_SOAK_FIRST"
	soakTimeEnv      = "RATTAN_SOAK_TIME"
	soakProcessesEnv = "RATTAN_SOAK_PROCESSES"
	soakKeepEnv      = "RATTAN_SOAK_KEEP"

	soakSeeds     = 2
	soakTime      = 10 * time.Second
	soakProcesses = 5
	soakCallers   = 18
	// meanFaultInterval is the mean time between the starts of two faults and
	// maxFaultDuration the longest time that one lasts, so that faults overlap.
	meanFaultInterval = 400 * time.Millisecond
	maxFaultDuration  = 4 * time.Second
	// maxDefaultReplicaLag is the maximum lag of a replica without faults.
	maxDefaultReplicaLag = 150 * time.Millisecond
	// failoverTime is the least time that the replacement of a primary takes.
	failoverTime = 4 * time.Second
	// maxResetInterval is the maximum time between two resets of the connections
	// through a relay.
	maxResetInterval = 120 * time.Millisecond
	// idleCloseTime is the time from the sending of a statement to the loss of its
	// connection up to which the session may have been closed as idle before the
	// statement was read. Such a statement does not count as cut off by planned work.
	idleCloseTime = 200 * time.Millisecond
	// maxRestartDelay is the maximum delay before a process is restarted.
	maxRestartDelay = 1500 * time.Millisecond
)

// regressionSeeds are seeds that have failed, with the causes.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{101, "the end of a server's connection was treated as the end of the caller's, and the caller got no answer"},
	{143, "SIGHUP terminated a process during its stop"},
	{422, "SIGHUP terminated a process during its start"},
	{442, "a primary whose entry had lapsed was not counted in the election of its successor"},
	{507, "a replaced primary whose entry had lapsed was counted as lost, so that no server was elected"},
	{601, "the stand-in brought a crashed primary back as one although another server had been promoted"},
	{321, "the stand-in hid the commits of a former primary once it followed another server"},
	{337, "a new holder of the promotion lease resumed replicas while a promotion call of the previous holder was in transit"},
}

// organisationSeeds are seeds with organisations, of which the second one has planned faults
// only.
var organisationSeeds = []uint64{firstOrganisationSeed, firstOrganisationSeed + 1}

// TestFaultSoak runs several rattan-edge processes, injects faults from outside and
// checks the guarantees against the answers to callers and the logs of the servers.
func TestFaultSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "rattan-edge")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/rattan-edge").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	first := uint64(fromEnv(soakFirstEnv, 0))
	var seeds []uint64
	for i := range fromEnv(soakSeedsEnv, soakSeeds) {
		seeds = append(seeds, first+uint64(i))
	}
	for _, c := range regressionSeeds {
		seeds = append(seeds, c.seed)
	}
	seeds = append(seeds, organisationSeeds...)
	seeds = append(seeds, restoreSeeds...)
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSoak(t, seed, program) })
	}
}

func fromEnv(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// runSoak runs one seed. Every third seed injects planned faults only.
func runSoak(t *testing.T, seed uint64, program string) {
	s := newSoak(t, seed, program, fromEnv(soakProcessesEnv, soakProcesses), hasOrganisations(seed))
	s.plannedOnly = seed%3 == 2
	random := rand.New(rand.NewPCG(seed, 5))
	ctx, cancel := context.WithCancel(t.Context())
	var work sync.WaitGroup
	for _, e := range s.edges {
		work.Go(func() { e.pollReadiness(ctx.Done()) })
	}
	s.awaitService("at the start")
	work.Go(func() { s.runCallers(ctx) })
	for _, e := range s.edges {
		work.Go(func() { e.checkVersions(ctx) })
	}
	stopChanges := make(chan struct{})
	if o := s.organisations; o != nil {
		work.Go(func() { o.changeKeys(stopChanges) })
		work.Go(func() { o.probeKeys(ctx) })
		work.Go(func() { o.watchOutputs(ctx) })
	}
	if seed >= firstRestoreSeed {
		work.Go(func() { s.restoreStore(stopChanges) })
	}
	s.injectFaults(random, program)
	close(stopChanges)
	if s.organisations != nil {
		s.organisations.causeLongFaults()
	}
	s.awaitService("after the faults")
	cancel()
	work.Wait()
	s.check()
}

// newCaller returns caller i, whose kind and group depend on i.
func (s *soak) newCaller(name string, i int) *soakCaller {
	return &soakCaller{
		soak: s, name: name, key: s.callerKey(i), kind: []string{"orders", "stock", "browse"}[i%3],
		group: s.groups[i/3%soakGroups].Name, random: rand.New(rand.NewPCG(s.seed, uint64(100+i))),
	}
}

// injectFaults starts faults at random times and returns when all have ended.
func (s *soak) injectFaults(r *rand.Rand, program string) {
	var pending sync.WaitGroup
	stop := make(chan struct{})
	end := time.Now().Add(time.Duration(fromEnv(soakTimeEnv, int(soakTime.Seconds()))) * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(meanFaultInterval)))
		fault := s.drawFault(r)
		s.history.increment("fault: " + fault.name)
		s.trace("begin %s", fault.name)
		heal := fault.inject(s, r, program)
		if heal == nil {
			continue
		}
		duration := time.Duration(r.Int64N(int64(maxFaultDuration)))
		pending.Go(func() {
			select {
			case <-time.After(duration):
			case <-stop:
			}
			heal()
			s.trace("end %s", fault.name)
		})
	}
	close(stop)
	pending.Wait()
	s.trace("healed")
}

func (s *soak) trace(format string, args ...any) {
	if os.Getenv("RATTAN_TEST_LOG") != "" {
		fmt.Fprintf(os.Stderr, "%.2f seed %d: %s\n", time.Since(s.started).Seconds(), s.seed, fmt.Sprintf(format, args...))
	}
}

// awaitService waits until each process has served a write of each group, and records
// a violation after recoveryBound.
func (s *soak) awaitService(when string) {
	started := time.Now()
	var waiting sync.WaitGroup
	for _, e := range s.edges {
		for _, g := range s.groups {
			waiting.Go(func() {
				c := &soakCaller{
					soak: s, name: fmt.Sprintf("after-%d-%s-%s", started.UnixNano(), e.name, g.Name), key: s.probeKey(), kind: "orders", group: g.Name,
					random: rand.New(rand.NewPCG(s.seed, 9)),
				}
				c.replaceItems()
				for !c.writeAt(e) {
					if time.Since(started) > recoveryBound {
						s.history.addViolation("service is back", "%s writes nothing to %s %s", e.name, g.Name, when)
						return
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	waiting.Wait()
	s.trace("served %s after %v", when, time.Since(started))
}

// writeAt writes once through a process on a new connection and reports whether the
// write was acknowledged.
func (c *soakCaller) writeAt(e *soakEdge) bool {
	conn := &soakCaller{soak: c.soak, name: c.name, key: c.key, kind: c.kind, group: c.group, random: c.random, single: c.single, first: c.first, itemSets: c.itemSets, requests: c.requests}
	defer func() {
		c.single, c.first, c.itemSets, c.requests = conn.single, conn.first, conn.itemSets, conn.requests
		conn.close()
	}()
	if !conn.connectTo(e) {
		return false
	}
	before := c.single
	return conn.write() == nil && conn.single == before && before.outcomes[len(before.outcomes)-1] == outcomeAcknowledged
}

// check compares the outcomes that callers were given with the logs of the servers and
// reports the violations and counts of the run.
func (s *soak) check() {
	committed := map[string]int{}
	for _, g := range s.groups {
		for data, n := range g.CommittedCounts() {
			committed[data] += n
		}
		if _, tokens := g.Promotions(); !slices.IsSortedFunc(tokens, func(a, b string) int {
			x, _ := strconv.ParseUint(a, 10, 64)
			y, _ := strconv.ParseUint(b, 10, 64)
			return int(x) - int(y)
		}) {
			s.history.addViolation("one holder", "fencing tokens of %s: %v", g.Name, tokens)
		}
	}
	s.history.checkCommitted(committed)
	for _, g := range s.groups {
		_, promotions := g.PromotionHistory()
		s.history.checkPromotions(g.Name, promotions)
	}
	s.checkExchanges()
	if s.organisations != nil {
		s.organisations.check()
	}
	s.report()
}

// runOf returns the run of a statement at a server of any group.
func (s *soak) runOf(id string) (userplatform.Run, bool) {
	for _, g := range s.groups {
		if run, ok := g.RunOf(id); ok {
			return run, true
		}
	}
	return userplatform.Run{}, false
}

// checkExchanges compares the statements and answers of the callers with the runs of the
// servers.
func (s *soak) checkExchanges() {
	var runs []userplatform.Run
	for _, g := range s.groups {
		runs = append(runs, g.Runs()...)
	}
	s.exchanges.check(runs, s.history.addViolation)
}

// report fails the test if there are violations, and logs the counts.
func (s *soak) report() {
	for i, v := range s.history.violations {
		if i < 10 {
			s.t.Errorf("seed %d: %s", s.seed, v)
		}
	}
	var counts []string
	for what, n := range s.history.counts {
		counts = append(counts, fmt.Sprintf("%s %d", what, n))
	}
	slices.Sort(counts)
	s.t.Logf("seed %d: %v", s.seed, s.delays)
	s.t.Logf("seed %d: %d violations; %s", s.seed, len(s.history.violations), strings.Join(counts, ", "))
}
