package proof

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Promises that a run can break.
const (
	promiseKept      = "acknowledged is kept"
	promiseOnce      = "at most once"
	promiseNotRun    = "not run did not run"
	promiseOwnWrites = "read-your-writes"
	promiseMonotonic = "monotonic positions"
	promiseOneHome   = "one home at a time"
	promiseLatest    = "latest reads"
	promiseOrders    = "orders answered once"
	promiseRecovers  = "recovers by itself"
	promiseLimits    = "limits of servers"
	promiseWhole     = "whole transactions"
	promiseAnswers   = "answers to their own requests"
	promiseLeaving   = "no new work for leaving servers"
	promiseStops     = "planned stops cut nothing off"
	promiseRises     = "revisions only rise"
	promiseChanges   = "changes end as answered"
	promiseNews      = "documents in force in time"
)

// violation is a broken promise.
type violation struct {
	promise string
	text    string
}

// outcome is what one run found.
type outcome struct {
	seed       uint64
	violations []violation
	counts     map[string]int
	history    []*operation
	// logs holds the final values of each key in the log of the primary.
	logs map[cluster.GroupName]map[string][]string
	// changes is what operators did, and revisions the revision that each made.
	changes   []*change
	revisions map[string]uint64
}

func (o *outcome) broke(promise, format string, args ...any) {
	o.violations = append(o.violations, violation{promise, fmt.Sprintf(format, args...)})
}

func (o *operation) String() string {
	at := o.call.UnixMilli() % 1_000_000
	return fmt.Sprintf("%s %s %v%s order %q seen %q at %d-%d: %v %+v %v", o.session, o.group, o.writes, o.key, o.orderID, o.seen,
		at, o.end.UnixMilli()%1_000_000, o.outcome, o.result, o.err)
}

// check compares the history with the final logs.
func (f *fleet) check(h *history) *outcome {
	out := &outcome{seed: f.seed, counts: map[string]int{}, history: h.operations, logs: map[cluster.GroupName]map[string][]string{}}
	f.readLogs(out)
	out.count()
	out.checkWrites()
	out.checkSessions()
	out.checkAnswers()
	f.checkHomes(out)
	f.checkUsage(out)
	f.checkDocuments(out)
	f.checkDepartures(out)
	for _, name := range f.names {
		status := f.groups[name].Status(f.primary(name))
		out.counts["failovers"] += int(status.Term) - 1
		out.counts["home moves"] += int(status.Epoch) - 1
	}
	return out
}

func (f *fleet) readLogs(out *outcome) {
	keys := map[cluster.GroupName]map[string]bool{}
	for _, o := range out.history {
		if keys[o.group] == nil {
			keys[o.group] = map[string]bool{}
		}
		for _, w := range o.writes {
			keys[o.group][w.key] = true
		}
	}
	for name, set := range keys {
		out.logs[name] = map[string][]string{}
		primary := f.primary(name)
		for key := range set {
			out.logs[name][key] = f.groups[name].CommittedValues(primary, key)
		}
	}
}

func (o *outcome) count() {
	for _, op := range o.history {
		kind := "writes"
		if op.isRead() {
			kind = "reads"
		}
		o.counts["requests"]++
		o.counts[kind+" "+op.outcome.String()]++
		if op.outcome == errcode.OutcomeDone {
			o.counts["slowest request ms"] = max(o.counts["slowest request ms"], int(op.end.Sub(op.call).Milliseconds()))
		}
		if op.result.Repeat {
			o.counts["repeats"]++
		}
	}
}

func (o *outcome) times(group cluster.GroupName, w write) int {
	n := 0
	for _, value := range o.logs[group][w.key] {
		if value == w.value {
			n++
		}
	}
	return n
}

// ids of orders that another attempt than a refused one may have run.
func (o *outcome) mayHaveRun() map[string]bool {
	ids := map[string]bool{}
	for _, op := range o.history {
		if op.orderID != "" && op.outcome != errcode.OutcomeNotRun {
			ids[op.orderID] = true
		}
	}
	return ids
}

func (o *outcome) checkWrites() {
	mayHaveRun := o.mayHaveRun()
	for _, op := range o.history {
		stored := 0
		for _, w := range op.writes {
			n := o.times(op.group, w)
			switch {
			case n > 1:
				o.counts["doubled"]++
				o.broke(promiseOnce, "%d times in the log: %v", n, op)
			case n == 0 && op.outcome == errcode.OutcomeDone:
				o.counts["lost"]++
				o.broke(promiseKept, "not in the log: %v", op)
			case n == 1 && op.outcome == errcode.OutcomeNotRun && !mayHaveRun[op.orderID]:
				o.counts["ran though not run"]++
				o.broke(promiseNotRun, "in the log: %v", op)
			}
			stored += min(n, 1)
		}
		if stored != 0 && stored != len(op.writes) {
			o.broke(promiseWhole, "%d of the writes in the log: %v", stored, op)
		}
	}
}

// checkSessions checks the reads of each session. The history is in the order
// of ends, which is the order of calls within a session.
func (o *outcome) checkSessions() {
	acked, read := map[string]int{}, map[string]int{}
	for _, op := range o.history {
		if op.outcome != errcode.OutcomeDone {
			continue
		}
		log := o.logs[op.group][op.session]
		if !op.isRead() {
			for _, w := range op.writes {
				if w.key == op.session {
					acked[op.session] = slices.Index(log, w.value) + 1
				}
			}
			o.checkPosition(op, op.result.Position, op.floor)
			continue
		}
		o.checkPosition(op, op.result.Observed, cluster.MaxPosition(op.floor, op.acked))
		seen := slices.Index(o.logs[op.group][op.key], op.seen) + 1
		if last := op.session + "/" + op.key; op.carries && seen > 0 {
			if seen < read[last] {
				o.counts["back in time"]++
				o.broke(promiseMonotonic, "saw entry %d of the log after entry %d: %v", seen, read[last], op)
			}
			read[last] = seen
		}
		if op.key != op.session {
			continue
		}
		if seen == 0 && op.seen != "" {
			o.counts["reads of unacknowledged writes lost later"]++
			continue
		}
		if seen < acked[op.session] {
			o.counts["stale"]++
			o.broke(promiseOwnWrites, "saw entry %d of the log after %d was acknowledged: %v", seen, acked[op.session], op)
		}
	}
}

// checkAnswers checks that each answer is one to its request: what was put, or
// a value that some request wrote to the key.
func (o *outcome) checkAnswers() {
	written := map[cluster.GroupName]map[write]bool{}
	for _, op := range o.history {
		if written[op.group] == nil {
			written[op.group] = map[write]bool{}
		}
		for _, w := range op.writes {
			written[op.group][w] = true
		}
	}
	for _, op := range o.history {
		strange := op.isRead() && op.outcome == errcode.OutcomeDone && op.seen != "" && !written[op.group][write{op.key, op.seen}]
		if op.foreign || strange {
			o.broke(promiseAnswers, "the answer is one to another request: %v", op)
		}
	}
}

func (o *outcome) checkPosition(op *operation, got, floor cluster.Position) {
	if got.Known() && got.Less(floor) {
		o.broke(promiseMonotonic, "%v after %v: %v", got, floor, op)
	}
}

// checkHomes checks that the claims behind acknowledged writes only rise
// along the log.
func (f *fleet) checkHomes(out *outcome) {
	acked := map[cluster.GroupName][]*operation{}
	for _, op := range out.history {
		if !op.isRead() && op.outcome == errcode.OutcomeDone && !op.result.Repeat {
			acked[op.group] = append(acked[op.group], op)
		}
	}
	for name, ops := range acked {
		slices.SortFunc(ops, func(a, b *operation) int { return a.result.Position.Compare(b.result.Position) })
		for i := 1; i < len(ops); i++ {
			before, ok1 := f.commits.claim(name, ops[i-1].result.Position)
			after, ok2 := f.commits.claim(name, ops[i].result.Position)
			if !ok1 || !ok2 {
				continue
			}
			out.counts["commits with claim"]++
			if after.Epoch < before.Epoch || after.Epoch == before.Epoch && after.Home != before.Home {
				out.broke(promiseOneHome, "claim %+v after %+v: %v after %v", after, before, ops[i], ops[i-1])
			}
		}
	}
}

func (f *fleet) checkUsage(out *outcome) {
	for _, name := range f.names {
		for _, id := range f.servers(name) {
			u := f.groups[name].Usage(id)
			if u.MaxConns > serverConns || u.MaxBusy > serverSlots {
				out.broke(promiseLimits, "%s: %+v", id, u)
			}
			out.counts["most connections"] = max(out.counts["most connections"], u.MaxConns)
			out.counts["most busy"] = max(out.counts["most busy"], u.MaxBusy)
		}
	}
}

// recovery writes through every proxy to every group until each write has
// been acknowledged, and returns how long that took.
func (f *fleet) recovery(h *history) (time.Duration, []violation) {
	const limit = 30 * time.Second
	began := time.Now()
	results := make(chan *violation, proxyCount*groupCount)
	for _, name := range f.names {
		for i := range proxyCount {
			go func() { results <- f.recovered(h, name, i, began.Add(limit)) }()
		}
	}
	var broken []violation
	for range proxyCount * groupCount {
		if v := <-results; v != nil {
			broken = append(broken, *v)
		}
	}
	return time.Since(began), broken
}

func (f *fleet) recovered(h *history, name cluster.GroupName, proxy int, deadline time.Time) *violation {
	r := &roamer{fleet: f, name: fmt.Sprintf("recovery-%d", proxy), group: name, random: newRandom(f.seed, uint64(proxy)), history: h}
	var last *operation
	for time.Now().Before(deadline) {
		if !f.proxy(proxy).ready() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		r.write(f.proxy(proxy), "", write{r.name, r.next()})
		h.mu.Lock()
		for _, o := range h.operations {
			if o.session == r.name && o.group == name {
				last = o
			}
		}
		h.mu.Unlock()
		if last.outcome == errcode.OutcomeDone {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return &violation{promiseRecovers, fmt.Sprintf("no write through proxy %d: %v", proxy, last)}
}

func sortedCounts(counts map[string]int) []string {
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	slices.SortFunc(lines, cmp.Compare[string])
	return lines
}
