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

// seeds is the number of seeded runs. RATTAN_SEEDS sets another one.
func seeds() int {
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		return n
	}
	return 4
}

const (
	faultTime   = 6 * time.Second
	settleTime  = 4 * time.Second
	seededUsers = 12
	// searchSeeds is the most runs in which a missing rule must be found.
	searchSeeds = 20
)

// seededRun is a group with three homes, callers that roam between them and
// faults that come by seed.
type seededRun struct {
	*harness
	t      *testing.T
	random *rand.Rand
	term   cluster.Term
	// disabled names rules that are switched off.
	disabled safetyRules

	mu         sync.Mutex
	owner      int
	outcomes   map[string]errcode.Outcome
	counts     map[string]int
	violations []string
}

// TestSeededFaults checks during and after random faults that every session
// reads its own acknowledged writes, that no acknowledged order is lost, that
// none runs twice and that what was "not run" did not run.
func TestSeededFaults(t *testing.T) {
	totals := map[string]int{}
	for seed := range seeds() {
		w := runSeed(t, seed, safetyRules{})
		for _, violation := range w.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		for name, n := range w.counts {
			totals[name] += n
		}
	}
	t.Logf("%d seeds: %v", seeds(), totals)
}

// TestSeededFaultsFindMissingRules switches each rule off and expects that the
// same runs find a broken promise.
func TestSeededFaultsFindMissingRules(t *testing.T) {
	for name, off := range map[string]safetyRules{
		"proof": {quorumProof: true}, "floors": {sessionFloors: true}, "replication": {replicationWait: true},
		"repeats": {repeatProof: true},
	} {
		seed := 0
		for ; seed < searchSeeds; seed++ {
			if w := runSeed(t, seed, off); len(w.violations) > 0 {
				t.Logf("without %s: seed %d: %s", name, seed, w.violations[0])
				break
			}
		}
		if seed == searchSeeds {
			t.Errorf("without %s nothing was found", name)
		}
	}
}

func runSeed(t *testing.T, seed int, without safetyRules) *seededRun {
	t.Helper()
	w := &seededRun{t: t, term: 1, disabled: without, outcomes: map[string]errcode.Outcome{}, counts: map[string]int{}}
	w.random = rand.New(rand.NewPCG(uint64(seed), 7))
	inBubble(t, nil, func(_ *testing.T, b *harness) {
		w.harness = b
		w.execute()
	})
	return w
}

// violated notes a broken promise.
func (w *seededRun) violated(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

func (w *seededRun) execute() {
	for i := range 3 {
		h := New(Config{ID: cluster.ProxyID(fmt.Sprint("p", i))}, w.group.Dialer(fmt.Sprint("p", i)))
		h.disabled = w.disabled
		h.SetDocument(w.document)
		w.homes = append(w.homes, h)
	}
	w.moveGroup(0)
	ctx, cancel := context.WithTimeout(context.Background(), faultTime+settleTime)
	defer cancel()
	var users sync.WaitGroup
	for i := range seededUsers {
		random := rand.New(rand.NewPCG(w.random.Uint64(), uint64(i)))
		users.Go(func() { w.runSession(ctx, fmt.Sprint("user", i), random) })
	}
	faults, stop := context.WithTimeout(ctx, faultTime)
	w.faults(faults)
	stop()
	w.undoFaults()
	users.Wait()
	w.check()
}

// moveGroup gives the group to another home.
func (w *seededRun) moveGroup(to int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner = to
	_ = w.homes[to].Own("orders")
}

func (w *seededRun) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// runSession is one session: it writes rising numbers under its own key and reads
// them back at whatever home is the present one.
func (w *seededRun) runSession(ctx context.Context, session string, random *rand.Rand) {
	acknowledged, reads := 0, 0
	for n := 1; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(40*time.Millisecond)))
		if random.IntN(2) == 0 {
			if w.order(session, n, random) {
				acknowledged = n
			}
			continue
		}
		text, result, err := w.readBack(session)
		if err != nil {
			w.count("reads failed")
			continue
		}
		reads++
		seen, _ := strconv.Atoi(text)
		if seen < acknowledged && !w.mayRunLate(session, seen) {
			w.violated("%s read %q after %d was acknowledged: %+v", session, text, acknowledged, result)
		}
	}
	if acknowledged == 0 || reads == 0 {
		w.violated("%s got nothing done: %d, %d reads", session, acknowledged, reads)
	}
}

// order runs one write, mostly with an order id, repeating it as a gateway
// would: when it was not run, or when its id allows it.
func (w *seededRun) order(session string, n int, random *rand.Rand) bool {
	key := fmt.Sprint(session, "/", n)
	r := w.request(statement.ClassWrite, fmt.Sprintf("work 1ms put %s %d", session, n))
	r.Session = session
	r.Rank = cluster.Rank(random.IntN(cluster.RankCount))
	if random.IntN(4) > 0 {
		r.OrderID = key
	}
	unknown := false
	outcome := errcode.OutcomeNotRun
	for range 4 {
		text, _, err := run(w.currentHome(), r)
		if err == nil {
			outcome = errcode.OutcomeDone
			if !strings.HasPrefix(text, "put ") {
				w.violated("order %s was answered %q", key, text)
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
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[key] = outcome
	w.counts["orders "+outcome.String()]++
	return outcome == errcode.OutcomeDone
}

// mayRunLate reports whether a write had an unknown outcome: it may take
// effect after later ones.
func (w *seededRun) mayRunLate(session string, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return n > 0 && w.outcomes[fmt.Sprint(session, "/", n)] == errcode.OutcomeUnknown
}

func (w *seededRun) readBack(session string) (string, statement.Result, error) {
	r := w.request(statement.ClassRead, "get "+session)
	r.Session = session
	r.Timeout = time.Second
	c := &caller{}
	result, err := w.currentHome().Run(context.Background(), r, c)
	if err == nil && !result.Primary {
		w.count("reads at replicas")
	}
	return c.last(), result, err
}

func (w *seededRun) currentHome() *Home {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.homes[w.owner]
}

// check compares the log of the last primary with what callers were told.
func (w *seededRun) check() {
	time.Sleep(time.Second)
	primary := w.primary()
	ran := map[string]int{}
	for i := range seededUsers {
		session := fmt.Sprint("user", i)
		for _, value := range w.group.Values(primary, session) {
			ran[session+"/"+value]++
		}
	}
	for key, outcome := range w.outcomes {
		switch {
		case ran[key] > 1:
			w.violated("order %s ran %d times", key, ran[key])
		case outcome == errcode.OutcomeDone && ran[key] == 0:
			w.violated("order %s was acknowledged and is lost", key)
		case outcome == errcode.OutcomeNotRun && ran[key] > 0:
			w.violated("order %s was reported as not run and ran", key)
		}
	}
}

// primary returns the primary of the highest term.
func (w *seededRun) primary() cluster.ServerID {
	var best cluster.ServerStatus
	for _, s := range w.document.Groups[0].Servers {
		status := w.group.Status(s.ID)
		if status.Role == cluster.RolePrimary && status.Term > best.Term {
			best = status
		}
	}
	return best.Server
}
