package load

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// maxFloodInFlight bounds the flood requests in flight.
	maxFloodInFlight = 4000
	// floodGrace is how long after the end of a phase its flood requests may
	// still complete before they are abandoned.
	floodGrace     = 500 * time.Millisecond
	requestTimeout = 8 * time.Second
	// setupTimeout bounds the creation of the tables.
	setupTimeout = 30 * time.Second
	// replicationWait allows the tables to be replicated before the first phase.
	replicationWait = time.Second
)

// Config describes a run.
type Config struct {
	Profile Profile
	Phases  []Phase
	// Proxies are the addresses of the proxies' caller listeners.
	Proxies  []string
	User     string
	Password string
	// Metrics are the metrics URLs of the processes; a report holds the changes
	// of the metrics in each phase.
	Metrics     []string
	ServiceTime ServiceTime
	// Slots is the total number of slots of all backend servers.
	Slots int
	Seed  uint64
	// Commit is the commit under test; if empty, the one this program was built
	// from.
	Commit string
	// FaultTargets holds the targets of the phases' faults.
	FaultTargets FaultTargets
}

// Run runs the phases in sequence and checks the stored data at the end.
func Run(ctx context.Context, config Config) (*Report, error) {
	r := &run{
		config: config, history: newHistory(),
		pool:       newConnPool(config.Proxies, cmp.Or(config.User, config.Profile.User), config.Password),
		floodSlots: make(chan struct{}, maxFloodInFlight),
	}
	defer r.pool.close()
	if err := config.checkFaultTargets(); err != nil {
		return nil, err
	}
	if err := r.setUp(ctx); err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, time.Now().Add(replicationWait)); err != nil {
		return nil, err
	}
	report := newReport(config)
	for i, phase := range config.Phases {
		result, err := r.runPhase(ctx, i, phase)
		if err != nil {
			return nil, err
		}
		report.Phases = append(report.Phases, result)
	}
	counts, err := r.countOrders(ctx)
	if err != nil {
		return nil, err
	}
	report.Verdict = r.history.check(counts)
	report.Elapsed = time.Since(report.Started)
	return report, nil
}

// checkFaultTargets checks that the targets of every fault of the run are known.
func (c Config) checkFaultTargets() error {
	for _, phase := range c.Phases {
		for _, f := range phase.Faults {
			if err := c.FaultTargets.check(f); err != nil {
				return eris.Wrapf(err, "phase %s", phase.Name)
			}
		}
	}
	return nil
}

type run struct {
	config     Config
	history    *history
	pool       *connPool
	floodSlots chan struct{}
	// lastRow is the number of the row written last.
	lastRow atomic.Int64
}

func (r *run) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, setupTimeout)
	defer cancel()
	for _, group := range r.config.Profile.Groups {
		for _, sql := range []string{
			"CREATE TABLE IF NOT EXISTS load_orders (id TEXT, detail TEXT)",
			"CREATE TABLE IF NOT EXISTS load_rows (k TEXT PRIMARY KEY, v INTEGER, note TEXT)",
			"INSERT INTO load_rows (k, v) VALUES ('shared', 1) ON CONFLICT (k) DO NOTHING",
		} {
			if _, err := r.pool.exec(ctx, poolKey{0, group, ""}, sql); err != nil {
				return eris.Wrapf(err, "set up group %s", group)
			}
		}
	}
	return nil
}

func (r *run) runPhase(ctx context.Context, index int, phase Phase) (*PhaseResult, error) {
	arrivals, err := Arrivals(r.config.Profile, phase, len(r.config.Proxies), r.config.ServiceTime, r.config.Seed+uint64(index))
	if err != nil {
		return nil, err
	}
	if err := sleepUntil(ctx, time.Now().Add(phase.Pause)); err != nil {
		return nil, err
	}
	start := time.Now()
	result := newPhaseResult(phase, start)
	rerouted := r.pool.rerouted.Load()
	before := r.scrapeAt(ctx, start.Add(phase.WarmUp))
	faults := make(chan error, 1)
	go func() { faults <- injectFaults(ctx, r.config.FaultTargets, start, phase.Faults) }()
	if err := r.send(ctx, result, arrivals, index); err != nil {
		return nil, err
	}
	if err := <-faults; err != nil {
		return nil, eris.Wrapf(err, "phase %s", phase.Name)
	}
	result.Rerouted = r.pool.rerouted.Load() - rerouted
	result.finish(r.config.Slots, metricsDelta(<-before, scrapeEach(ctx, r.config.Metrics)))
	return result, nil
}

// scrapeAt scrapes the metrics at the given time.
func (r *run) scrapeAt(ctx context.Context, at time.Time) <-chan []map[string]float64 {
	out := make(chan []map[string]float64, 1)
	go func() {
		_ = sleepUntil(ctx, at)
		out <- scrapeEach(ctx, r.config.Metrics)
	}()
	return out
}

// send sends the requests of a phase at their intended times and waits until all
// have finished.
func (r *run) send(ctx context.Context, result *PhaseResult, arrivals []Arrival, index int) error {
	floodCtx, cancel := context.WithDeadline(ctx, result.start.Add(result.Phase.Duration+floodGrace))
	defer cancel()
	var wait sync.WaitGroup
	for _, a := range arrivals {
		if err := sleepUntil(ctx, result.start.Add(a.Offset)); err != nil {
			return err
		}
		if a.Flood && !r.acquireFloodSlot() {
			result.record(a, OutcomeNotSent, 0, nil)
			continue
		}
		wait.Go(func() {
			if !a.Flood {
				r.request(ctx, result, a, index)
				return
			}
			defer func() { <-r.floodSlots }()
			r.request(floodCtx, result, a, index)
		})
	}
	wait.Wait()
	return nil
}

// acquireFloodSlot reports whether another flood request may be sent.
func (r *run) acquireFloodSlot() bool {
	select {
	case r.floodSlots <- struct{}{}:
		return true
	default:
		return false
	}
}

// sleepUntil waits until t. It returns the error of ctx if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) error {
	if delay.Sleep(ctx, time.Until(t)) {
		return nil
	}
	return ctx.Err()
}

func (r *run) request(phaseCtx context.Context, result *PhaseResult, a Arrival, phase int) {
	ctx, cancel := context.WithTimeout(phaseCtx, requestTimeout)
	defer cancel()
	intended := result.start.Add(a.Offset)
	var err error
	switch a.Kind.Action {
	case ActionOrder:
		err = r.placeOrder(ctx, a, phase)
	case ActionUpdate:
		err = r.update(ctx, a)
	case ActionRead:
		_, err = r.pool.exec(ctx, poolKey{a.Proxy, a.Group, a.Kind.Name}, r.readSQL(a, "shared", ""))
	case ActionReadOwnWrite:
		intended, err = r.readOwnWrite(ctx, a, intended)
	}
	outcome := classify(err)
	if outcome == OutcomeFailed && errors.Is(phaseCtx.Err(), context.DeadlineExceeded) {
		outcome = OutcomeAbandoned
	}
	result.record(a, outcome, time.Since(intended), err)
}

func (r *run) placeOrder(ctx context.Context, a Arrival, phase int) error {
	id := fmt.Sprintf("%d-%d-%d", r.config.Seed, phase, a.Index)
	sql := fmt.Sprintf("%s INSERT INTO load_orders (id, detail) VALUES ('%s', '%s')",
		requestComment(a, "order_id", id), id, serviceTimeNote(a.ServiceTime))
	_, err := r.pool.exec(ctx, poolKey{a.Proxy, a.Group, a.Kind.Name}, sql)
	r.history.recordOrder(a.Group+"/"+id, classify(err))
	return err
}

func (r *run) update(ctx context.Context, a Arrival) error {
	row := r.lastRow.Add(1)
	_, err := r.pool.exec(ctx, poolKey{a.Proxy, a.Group, a.Kind.Name}, writeSQL(a, row, ""))
	return err
}

// readOwnWrite writes a row and reads it through the next proxy. It returns the
// start time of the read, or the intended time if the write failed.
func (r *run) readOwnWrite(ctx context.Context, a Arrival, intended time.Time) (time.Time, error) {
	row := r.lastRow.Add(1)
	session := "s" + strconv.FormatInt(row, 10)
	if _, err := r.pool.exec(ctx, poolKey{a.Proxy, a.Group, a.Kind.Name}, writeSQL(a, row, session)); err != nil {
		return intended, err
	}
	start := time.Now()
	nextProxy := (a.Proxy + 1) % len(r.config.Proxies)
	rows, err := r.pool.exec(ctx, poolKey{nextProxy, a.Group, a.Kind.Name}, r.readSQL(a, rowKey(row), session))
	if err == nil {
		r.history.recordRead(len(rows) == 0)
	}
	return start, err
}

func (r *run) readSQL(a Arrival, key, session string) string {
	return fmt.Sprintf("%s SELECT v FROM load_rows WHERE k = '%s' AND '%s' <> ''",
		requestComment(a, "freshness", a.Kind.ReadKind, "session", session), key, serviceTimeNote(a.ServiceTime))
}

func writeSQL(a Arrival, row int64, session string) string {
	return fmt.Sprintf("%s INSERT INTO load_rows (k, v, note) VALUES ('%s', %d, '%s')",
		requestComment(a, "session", session), rowKey(row), row, serviceTimeNote(a.ServiceTime))
}

func rowKey(row int64) string { return "r" + strconv.FormatInt(row, 10) }

func (r *run) countOrders(ctx context.Context) (map[string]int, error) {
	counts := map[string]int{}
	for _, group := range r.config.Profile.Groups {
		rows, err := r.readOrders(ctx, group)
		if err != nil {
			return nil, eris.Wrapf(err, "read orders of group %s", group)
		}
		for _, row := range rows {
			counts[group+"/"+string(row[0])]++
		}
	}
	return counts, nil
}

// readOrders tries the proxies in turn, since some may have been killed.
func (r *run) readOrders(ctx context.Context, group string) (rows [][][]byte, err error) {
	for proxy := range r.config.Proxies {
		attemptCtx, cancel := context.WithTimeout(ctx, requestTimeout)
		rows, err = r.pool.exec(attemptCtx, poolKey{proxy, group, ""},
			"/*rattancove.freshness='latest'*/ SELECT id FROM load_orders")
		cancel()
		if err == nil {
			break
		}
	}
	return rows, err
}
