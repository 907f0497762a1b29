package home

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// seedCount returns the number of seeded runs: RATTAN_SEEDS, or 4 if it is not set.
func seedCount() int {
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		return n
	}
	return 4
}

const (
	faultTime   = 6 * time.Second
	settleTime  = 4 * time.Second
	seededUsers = 12
	// maxSearchSeeds bounds the runs within which a disabled rule must be detected.
	maxSearchSeeds = 20
)

// seededRun is a run of a group with three homes, callers that move between them
// and faults that are determined by a seed.
type seededRun struct {
	*testBench
	t      *testing.T
	random *rand.Rand
	term   cluster.Term
	// disabled names the safety rules that are disabled.
	disabled safetyRules

	mu         sync.Mutex
	ownerIndex int
	outcomes   map[string]errcode.Outcome
	counts     map[string]int
	violations []string
}

// TestSeededFaults checks during and after random faults that every session
// reads its own acknowledged writes, that no acknowledged order is lost, that
// no order runs twice and that no order reported as "not run" has run.
func TestSeededFaults(t *testing.T) {
	totals := map[string]int{}
	for seed := range seedCount() {
		run := runSeed(t, seed, safetyRules{})
		for _, violation := range run.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for name, n := range run.counts {
			totals[name] += n
		}
	}
	t.Logf("%d seeds: %v", seedCount(), totals)
}

// TestSeededFaultsFindMissingRules disables each safety rule in turn and expects
// that the same runs detect a violation.
func TestSeededFaultsFindMissingRules(t *testing.T) {
	for name, disabled := range map[string]safetyRules{
		"proof": {quorumProof: true}, "floors": {sessionFloors: true}, "replication": {replicationWait: true},
		"repeats": {repeatProof: true},
	} {
		seed := 0
		for ; seed < maxSearchSeeds; seed++ {
			if run := runSeed(t, seed, disabled); len(run.violations) > 0 {
				t.Logf("without %s: seed %d: %s", name, seed, run.violations[0])
				break
			}
		}
		if seed == maxSearchSeeds {
			t.Errorf("no violation was detected without rule %s", name)
		}
	}
}

func runSeed(t *testing.T, seed int, disabled safetyRules) *seededRun {
	t.Helper()
	sr := &seededRun{t: t, term: 1, disabled: disabled, outcomes: map[string]errcode.Outcome{}, counts: map[string]int{}}
	sr.random = rand.New(rand.NewPCG(uint64(seed), 7))
	inBubble(t, nil, func(_ *testing.T, b *testBench) {
		sr.testBench = b
		sr.execute()
	})
	return sr
}

// recordViolation records a violation.
func (sr *seededRun) recordViolation(format string, args ...any) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.violations = append(sr.violations, fmt.Sprintf(format, args...))
}

func (sr *seededRun) execute() {
	for i := range 3 {
		h := New(Config{ID: cluster.ProxyID(fmt.Sprint("p", i))}, sr.group.Dialer(fmt.Sprint("p", i)))
		h.disabled = sr.disabled
		h.SetDocument(sr.document)
		sr.homes = append(sr.homes, h)
	}
	sr.moveGroup(0)
	ctx, cancel := context.WithTimeout(context.Background(), faultTime+settleTime)
	defer cancel()
	var users sync.WaitGroup
	for i := range seededUsers {
		random := rand.New(rand.NewPCG(sr.random.Uint64(), uint64(i)))
		users.Go(func() { sr.runSession(ctx, fmt.Sprint("user", i), random) })
	}
	faultCtx, stopFaults := context.WithTimeout(ctx, faultTime)
	sr.injectFaults(faultCtx)
	stopFaults()
	sr.undoFaults()
	users.Wait()
	sr.check()
}

// moveGroup makes another home own the group.
func (sr *seededRun) moveGroup(to int) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.ownerIndex = to
	_ = sr.homes[to].Own("orders")
}

func (sr *seededRun) count(name string) {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.counts[name]++
}

// runSession runs one session, which writes increasing numbers under its own key
// and reads them back through the current home.
func (sr *seededRun) runSession(ctx context.Context, session string, random *rand.Rand) {
	acknowledged, reads := 0, 0
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(40*time.Millisecond)))
		if random.IntN(2) == 0 {
			if sr.runOrder(session, n, random) {
				acknowledged = n
			}
			continue
		}
		text, result, err := sr.readBack(session)
		if err != nil {
			sr.count("reads failed")
			continue
		}
		reads++
		seen, _ := strconv.Atoi(text)
		if seen < acknowledged && !sr.mayRunLate(session, seen) {
			sr.recordViolation("%s read %q after %d was acknowledged: %+v", session, text, acknowledged, result)
		}
	}
	if acknowledged == 0 || reads == 0 {
		sr.recordViolation("%s made no progress: last acknowledged %d, %d reads", session, acknowledged, reads)
	}
}

// runOrder runs one write, in most cases with an order id, and retries it as a gateway
// would: if it was not run, or if its id allows it.
func (sr *seededRun) runOrder(session string, n int, random *rand.Rand) bool {
	key := fmt.Sprint(session, "/", n)
	r := sr.request(statement.ClassWrite, fmt.Sprintf("work 1ms put %s %d", session, n))
	r.Session = session
	r.Rank = cluster.Rank(random.IntN(cluster.RankCount))
	if random.IntN(4) > 0 {
		r.OrderID = key
	}
	unknown := false
	outcome := errcode.OutcomeNotRun
	for range 4 {
		text, _, err := run(sr.currentHome(), r)
		if err == nil {
			outcome = errcode.OutcomeDone
			if !strings.HasPrefix(text, "put ") {
				sr.recordViolation("order %s got the response %q", key, text)
			}
			break
		}
		outcome = errcode.From(err).Code.Outcome
		unknown = unknown || outcome == errcode.OutcomeUnknown
		if outcome == errcode.OutcomeUnknown && r.OrderID == "" {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if unknown && outcome == errcode.OutcomeNotRun {
		outcome = errcode.OutcomeUnknown
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.outcomes[key] = outcome
	sr.counts["orders "+outcome.String()]++
	return outcome == errcode.OutcomeDone
}

// mayRunLate reports whether a write had an unknown outcome, so that it may take
// effect after later ones.
func (sr *seededRun) mayRunLate(session string, n int) bool {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return n > 0 && sr.outcomes[fmt.Sprint(session, "/", n)] == errcode.OutcomeUnknown
}

func (sr *seededRun) readBack(session string) (string, statement.Result, error) {
	r := sr.request(statement.ClassRead, "get "+session)
	r.Session = session
	r.Timeout = time.Second
	c := &caller{}
	result, err := sr.currentHome().Run(context.Background(), r, c)
	if err == nil && !result.Primary {
		sr.count("reads at replicas")
	}
	return c.lastResponse(), result, err
}

func (sr *seededRun) currentHome() *Home {
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.homes[sr.ownerIndex]
}

// check compares the log of the last primary with the outcomes reported to callers.
func (sr *seededRun) check() {
	time.Sleep(time.Second)
	primary := sr.primary()
	ran := map[string]int{}
	for i := range seededUsers {
		session := fmt.Sprint("user", i)
		for _, value := range sr.group.CommittedValues(primary, session) {
			ran[session+"/"+value]++
		}
	}
	for key, outcome := range sr.outcomes {
		switch {
		case ran[key] > 1:
			sr.recordViolation("order %s ran %d times", key, ran[key])
		case outcome == errcode.OutcomeDone && ran[key] == 0:
			sr.recordViolation("order %s was acknowledged and is lost", key)
		case outcome == errcode.OutcomeNotRun && ran[key] > 0:
			sr.recordViolation("order %s was reported as not run and ran", key)
		}
	}
}

// primary returns the primary of the highest term.
func (sr *seededRun) primary() cluster.ServerID {
	var best cluster.ServerStatus
	for _, s := range sr.document.Groups[0].Servers {
		status := sr.group.Status(s.ID)
		if status.Role == cluster.RolePrimary && status.Term > best.Term {
			best = status
		}
	}
	return best.Server
}
