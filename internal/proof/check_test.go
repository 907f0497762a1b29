package proof

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// Guarantees that a run can violate.
const (
	guaranteeDurable            = "acknowledged is kept"
	guaranteeAtMostOnce         = "at most once"
	guaranteeNotRun             = "not run did not run"
	guaranteeReadYourWrites     = "read-your-writes"
	guaranteeMonotonicPositions = "monotonic positions"
	guaranteeOneHome            = "one home at a time"
	guaranteeLatestReads        = "latest reads"
	guaranteeOrdersOnce         = "orders answered once"
	guaranteeRecovery           = "recovers by itself"
	guaranteeServerLimits       = "limits of servers"
	guaranteeAtomicTransactions = "whole transactions"
	guaranteeOwnResponses       = "answers to their own requests"
	guaranteeLeavingServers     = "no new work for leaving servers"
	guaranteePlannedStops       = "planned stops cut nothing off"
	guaranteeRisingRevisions    = "revisions only rise"
	guaranteeChangeOutcomes     = "changes end as answered"
	guaranteeRolloutTime        = "documents in force in time"
)

// violation is a violated guarantee.
type violation struct {
	guarantee string
	text      string
}

// report holds the violations, counts and history of one run.
type report struct {
	seed       uint64
	violations []violation
	counts     map[string]int
	history    []*operation
	// logs holds the committed values of each key in the final log of the primary.
	logs map[cluster.GroupName]map[string][]string
	// changes holds the reads and changes of operators, and revisions the revision
	// that each change created, by change id.
	changes   []*change
	revisions map[string]uint64
}

func (r *report) addViolation(guarantee, format string, args ...any) {
	r.violations = append(r.violations, violation{guarantee, fmt.Sprintf(format, args...)})
}

func (o *operation) String() string {
	at := o.call.UnixMilli() % 1_000_000
	return fmt.Sprintf("%s %s %v%s order %q seen %q at %d-%d: %v %+v %v", o.session, o.group, o.writes, o.key, o.orderID, o.value,
		at, o.end.UnixMilli()%1_000_000, o.outcome, o.result, o.err)
}

// check compares the history with the final logs.
func (f *fleet) check(h *history) *report {
	out := &report{seed: f.seed, counts: map[string]int{}, history: h.operations, logs: map[cluster.GroupName]map[string][]string{}}
	f.readLogs(out)
	out.countOperations()
	out.checkWrites()
	out.checkSessions()
	out.checkResponses()
	f.checkHomes(out)
	f.checkServerLimits(out)
	f.checkDocuments(out)
	f.checkLeavingServers(out)
	for _, name := range f.groupNames {
		status := f.groups[name].Status(f.primary(name))
		out.counts["failovers"] += int(status.Term) - 1
		out.counts["home moves"] += int(status.Epoch) - 1
	}
	return out
}

func (f *fleet) readLogs(out *report) {
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

func (r *report) countOperations() {
	for _, op := range r.history {
		kind := "writes"
		if op.isRead() {
			kind = "reads"
		}
		r.counts["requests"]++
		r.counts[kind+" "+op.outcome.String()]++
		if op.outcome == errcode.OutcomeDone {
			r.counts["slowest request ms"] = max(r.counts["slowest request ms"], int(op.end.Sub(op.call).Milliseconds()))
		}
		if op.result.Deduplicated {
			r.counts["repeats"]++
		}
	}
}

func (r *report) occurrences(group cluster.GroupName, w write) int {
	n := 0
	for _, value := range r.logs[group][w.key] {
		if value == w.value {
			n++
		}
	}
	return n
}

// mayHaveRun returns the ids of the orders that have an attempt with another outcome
// than not run. The write of such an order may be in the log.
func (r *report) mayHaveRun() map[string]bool {
	ids := map[string]bool{}
	for _, op := range r.history {
		if op.orderID != "" && op.outcome != errcode.OutcomeNotRun {
			ids[op.orderID] = true
		}
	}
	return ids
}

func (r *report) checkWrites() {
	mayHaveRun := r.mayHaveRun()
	for _, op := range r.history {
		stored := 0
		for _, w := range op.writes {
			n := r.occurrences(op.group, w)
			switch {
			case n > 1:
				r.counts["doubled"]++
				r.addViolation(guaranteeAtMostOnce, "%d times in the log: %v", n, op)
			case n == 0 && op.outcome == errcode.OutcomeDone:
				r.counts["lost"]++
				r.addViolation(guaranteeDurable, "not in the log: %v", op)
			case n == 1 && op.outcome == errcode.OutcomeNotRun && !mayHaveRun[op.orderID]:
				r.counts["ran though not run"]++
				r.addViolation(guaranteeNotRun, "in the log: %v", op)
			}
			stored += min(n, 1)
		}
		if stored != 0 && stored != len(op.writes) {
			r.addViolation(guaranteeAtomicTransactions, "%d of the writes in the log: %v", stored, op)
		}
	}
}

// checkSessions checks the reads of each session. Within a session the history,
// which is ordered by end, is also ordered by call.
func (r *report) checkSessions() {
	ackedIndex, readIndex := map[string]int{}, map[string]int{}
	for _, op := range r.history {
		if op.outcome != errcode.OutcomeDone {
			continue
		}
		log := r.logs[op.group][op.session]
		if !op.isRead() {
			for _, w := range op.writes {
				if w.key == op.session {
					ackedIndex[op.session] = slices.Index(log, w.value) + 1
				}
			}
			r.checkPosition(op, op.result.Position, op.floor)
			continue
		}
		r.checkPosition(op, op.result.Observed, cluster.MaxPosition(op.floor, op.ackedPosition))
		seen := slices.Index(r.logs[op.group][op.key], op.value) + 1
		if last := op.session + "/" + op.key; op.carriesPosition && seen > 0 {
			if seen < readIndex[last] {
				r.counts["back in time"]++
				r.addViolation(guaranteeMonotonicPositions, "saw entry %d of the log after entry %d: %v", seen, readIndex[last], op)
			}
			readIndex[last] = seen
		}
		if op.key != op.session {
			continue
		}
		if seen == 0 && op.value != "" {
			r.counts["reads of unacknowledged writes lost later"]++
			continue
		}
		if seen < ackedIndex[op.session] {
			r.counts["stale"]++
			r.addViolation(guaranteeReadYourWrites, "saw entry %d of the log after %d was acknowledged: %v", seen, ackedIndex[op.session], op)
		}
	}
}

// checkResponses checks that each answer belongs to its request: the expected answers
// to a write, and to a read a value that some request wrote to the key.
func (r *report) checkResponses() {
	written := map[cluster.GroupName]map[write]bool{}
	for _, op := range r.history {
		if written[op.group] == nil {
			written[op.group] = map[write]bool{}
		}
		for _, w := range op.writes {
			written[op.group][w] = true
		}
	}
	for _, op := range r.history {
		neverWritten := op.isRead() && op.outcome == errcode.OutcomeDone && op.value != "" && !written[op.group][write{op.key, op.value}]
		if op.mismatched || neverWritten {
			r.addViolation(guaranteeOwnResponses, "the answer belongs to another request: %v", op)
		}
	}
}

func (r *report) checkPosition(op *operation, got, floor cluster.Position) {
	if got.Known() && got.Less(floor) {
		r.addViolation(guaranteeMonotonicPositions, "%v after %v: %v", got, floor, op)
	}
}

// checkHomes checks that the epochs of the claims under which acknowledged writes
// were committed never decrease along the log.
func (f *fleet) checkHomes(out *report) {
	acked := map[cluster.GroupName][]*operation{}
	for _, op := range out.history {
		if !op.isRead() && op.outcome == errcode.OutcomeDone && !op.result.Deduplicated {
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
				out.addViolation(guaranteeOneHome, "claim %+v after %+v: %v after %v", after, before, ops[i], ops[i-1])
			}
		}
	}
}

func (f *fleet) checkServerLimits(out *report) {
	for _, name := range f.groupNames {
		for _, id := range f.servers(name) {
			u := f.groups[name].Usage(id)
			if u.MaxConns > serverConns || u.MaxBusy > serverSlots {
				out.addViolation(guaranteeServerLimits, "%s: %+v", id, u)
			}
			out.counts["most connections"] = max(out.counts["most connections"], u.MaxConns)
			out.counts["most busy"] = max(out.counts["most busy"], u.MaxBusy)
		}
	}
}

// awaitRecovery writes through every proxy to every group until each write has
// been acknowledged, and returns how long that took.
func (f *fleet) awaitRecovery(h *history) (time.Duration, []violation) {
	const limit = 30 * time.Second
	started := time.Now()
	results := make(chan *violation, proxyCount*groupCount)
	for _, name := range f.groupNames {
		for i := range proxyCount {
			go func() { results <- f.awaitWrite(h, name, i, started.Add(limit)) }()
		}
	}
	var violations []violation
	for range proxyCount * groupCount {
		if v := <-results; v != nil {
			violations = append(violations, *v)
		}
	}
	return time.Since(started), violations
}

func (f *fleet) awaitWrite(h *history, name cluster.GroupName, proxy int, deadline time.Time) *violation {
	c := &callerSession{fleet: f, name: fmt.Sprintf("recovery-%d", proxy), group: name, random: newRandom(f.seed, uint64(proxy)), history: h}
	var last *operation
	for time.Now().Before(deadline) {
		if !f.proxy(proxy).inRotation() {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.sendWrite(f.proxy(proxy), "", write{c.name, c.nextValue()})
		h.mu.Lock()
		for _, o := range h.operations {
			if o.session == c.name && o.group == name {
				last = o
			}
		}
		h.mu.Unlock()
		if last.outcome == errcode.OutcomeDone {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return &violation{guaranteeRecovery, fmt.Sprintf("no write acknowledged through proxy %d: %v", proxy, last)}
}

func sortedCounts(counts map[string]int) []string {
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	slices.SortFunc(lines, cmp.Compare[string])
	return lines
}
