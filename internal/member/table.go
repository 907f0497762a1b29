package member

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

const (
	// deadAfter is the time that a member must be suspect before it is declared
	// dead: long enough for direct pings.
	deadAfter = 1500 * time.Millisecond
	// confirmAfter is the time after which other members are asked about a
	// suspect.
	confirmAfter = 750 * time.Millisecond
	// refutationPeriod is the time for which new reports of a member that others
	// suspect are sent at least refutationSends times.
	refutationPeriod = 5 * time.Second
	refutationSends  = 6
	// stableAfter is the time that a member must be alive before it becomes the
	// home of a group.
	stableAfter = 5 * time.Second
	// joinTimeout is the time that a process that has just started waits for
	// contact with another one before it assumes that it is the only member.
	joinTimeout = 2 * time.Second
	// contactValidity is the time after direct contact with a member during which
	// reports that it is suspect or dead are rejected.
	contactValidity = 1500 * time.Millisecond
	// forgetAfter is the time after which a dead member is removed from the view.
	forgetAfter = 10 * time.Minute
	// sendFactor times the binary logarithm of the number of members is the
	// number of pings that carry a change.
	sendFactor = 3
)

// table is the mutable view. It is not safe for concurrent use.
type table struct {
	self    Key
	entries map[Key]*Entry
	// keys holds the keys of entries in order.
	keys    []Key
	started time.Time
	// changedFrom holds the states that members had before the changes that have not been
	// published.
	changedFrom map[Key]State
	// joining is set until the process has direct contact with another one, for
	// at most joinTimeout. It is never set without seeds of other processes.
	joining bool
}

// newTable returns a view that holds only the process itself.
func newTable(self Member, now time.Time) *table {
	t := &table{self: self.Key(), entries: map[Key]*Entry{}, changedFrom: map[Key]State{}, started: now}
	t.entries[t.self] = &Entry{Member: self, State: StateAlive, AliveSince: now, ObservedAt: now}
	t.keys = []Key{t.self}
	return t
}

// observe merges a report and reports whether the view changed.
func (t *table) observe(r Report, now time.Time) bool {
	key := r.Member.Key()
	if key == t.self {
		return false
	}
	changed := t.merge(r, now)
	changed = t.learnWeight(r.Member) || changed
	return t.mergeStable(r, now) || changed
}

// learnWeight records the weight of a member that was known without it, since a process
// of an earlier version has passed on its report. It returns whether the view changed. A
// known weight is not replaced before the next incarnation: reports with and without the
// weight, in any order, would move homes back and forth.
func (t *table) learnWeight(m Member) bool {
	e, ok := t.entries[m.Key()]
	if !ok || m.Weight == 0 || e.Member.Weight != 0 || e.Member.Incarnation != m.Incarnation {
		return false
	}
	e.Member.Weight = m.Weight
	e.sendsLeft = max(e.sendsLeft, t.sendCount())
	return true
}

// mergeStable records that another process reports a member as stable. It
// returns whether the view changed.
func (t *table) mergeStable(r Report, now time.Time) bool {
	e, ok := t.entries[r.Member.Key()]
	if !ok || !r.Stable || !e.presentAtStart || e.reportedStable || r.Member.Incarnation != e.Member.Incarnation {
		return false
	}
	e.reportedStable = true
	before := e.Stable
	e.Stable = e.usable() && t.stable(e, now)
	return e.Stable != before
}

// merge merges the state of a report. It returns whether the view changed.
func (t *table) merge(r Report, now time.Time) bool {
	at := now.Add(-r.Age)
	e, ok := t.entries[r.Member.Key()]
	switch {
	case !ok && r.State == StateDead:
		return false
	case !ok:
		t.add(r, at, now)
		return true
	case r.Member.Incarnation < e.Member.Incarnation:
		return false
	case r.Member.Incarnation > e.Member.Incarnation:
		return t.restart(e, r, at, now)
	case t.refutes(e, r.State, at, now):
		e.refutingUntil = now.Add(refutationPeriod)
		e.sendsLeft = t.sendCount()
		return false
	case !at.After(e.ObservedAt):
		return false
	}
	return t.accept(e, r.State, at, now)
}

// refutes reports whether this process can refute a report of a member's
// suspicion or death: it has a later observation, or had direct contact
// recently, which means that only the path between the two others failed. The
// refutation is sent to the reporting process.
func (t *table) refutes(e *Entry, s State, at, now time.Time) bool {
	if !isSuspicion(s) || e.State != StateAlive {
		return false
	}
	return !at.After(e.ObservedAt) || now.Sub(e.lastContact) < contactValidity
}

// accept applies a report that is newer than what is known. A death that
// another process reports makes the member suspect, so that this process pings
// it directly. Repeated reports of a suspicion do not extend its timeout.
func (t *table) accept(e *Entry, s State, at, now time.Time) bool {
	if isSuspicion(s) && e.State == StateSuspect {
		return false
	}
	e.ObservedAt = at
	if now.Before(e.refutingUntil) {
		e.sendsLeft = max(e.sendsLeft, refutationSends)
	}
	return t.fire(e, eventFor(s), now)
}

func (t *table) add(r Report, at, now time.Time) {
	if i, found := slices.BinarySearchFunc(t.keys, r.Member.Key(), compareKeys); !found {
		t.keys = slices.Insert(t.keys, i, r.Member.Key())
	}
	t.entries[r.Member.Key()] = &Entry{
		Member: r.Member, State: r.State, AliveSince: now, ObservedAt: at, sendsLeft: t.sendCount(),
		presentAtStart: now.Sub(t.started) < stableAfter,
	}
	t.changedFrom[r.Member.Key()] = ""
}

func (t *table) restart(e *Entry, r Report, at, now time.Time) bool {
	e.Member = r.Member
	e.ObservedAt = at
	e.AliveSince = now
	e.presentAtStart = false
	t.fire(e, eventRestarted, now)
	if r.State != StateAlive {
		t.fire(e, eventFor(r.State), now)
	}
	e.sendsLeft = t.sendCount()
	return true
}

func isSuspicion(s State) bool { return s == StateSuspect || s == StateDead }

// unprobed returns up to limit suspects that no earlier call has returned since they
// became suspect.
func (t *table) unprobed(limit int) []Key {
	var keys []Key
	for key, e := range t.entries {
		if e.State == StateSuspect && e.probedAt.Before(e.suspectedAt) && len(keys) < limit {
			e.probedAt = e.suspectedAt
			keys = append(keys, key)
		}
	}
	return keys
}

// needsConfirmation reports whether a suspect is about to be declared dead, so
// that other members are to be asked about it.
func (t *table) needsConfirmation(now time.Time) bool {
	for _, e := range t.entries {
		if e.State == StateSuspect && now.Sub(e.suspectedAt) >= confirmAfter {
			return true
		}
	}
	return false
}

// eventFor returns the chart event for a reported state.
func eventFor(s State) string {
	switch s {
	case StateAlive:
		return eventHeard
	case StateLeaving:
		return eventLeft
	default:
		return eventMissed
	}
}

// fire applies an event and reports whether the state changed. An event that
// the chart does not allow changes nothing.
func (t *table) fire(e *Entry, event string, now time.Time) bool {
	next, err := chart.Next(string(e.State), event)
	if err != nil || next == string(e.State) {
		return false
	}
	if State(next) == StateAlive && e.State == StateDead {
		e.AliveSince = now
		e.presentAtStart = false
	}
	if State(next) == StateSuspect {
		e.suspectedAt = now
	}
	if _, ok := t.changedFrom[e.Member.Key()]; !ok {
		t.changedFrom[e.Member.Key()] = e.State
	}
	e.State = State(next)
	e.sendsLeft = t.sendCount()
	return true
}

// sendCount returns how many times a change is sent so that it reaches all
// members with high probability.
func (t *table) sendCount() int { return sendFactor * (bits.Len(uint(len(t.entries))) + 1) }

// contact records direct contact with a member and returns whether the view
// changed.
func (t *table) contact(r Report, now time.Time) bool {
	r.Age = 0
	changed := t.observe(r, now) || t.joining
	t.joining = false
	if e, ok := t.entries[r.Member.Key()]; ok && e.Member.Incarnation == r.Member.Incarnation {
		e.lastContact = now
	}
	return changed
}

// markSuspect records that a member did not answer pings, which makes it suspect.
func (t *table) markSuspect(key Key, now time.Time) bool {
	e, ok := t.entries[key]
	if !ok || key == t.self {
		return false
	}
	if e.State == StateSuspect || e.State == StateDead {
		return false
	}
	e.ObservedAt = now
	return t.fire(e, eventMissed, now)
}

// markLeaving marks a member as leaving.
func (t *table) markLeaving(key Key, now time.Time) bool {
	e, ok := t.entries[key]
	return ok && t.fire(e, eventLeft, now)
}

// tick applies timeouts and reports whether the view changed.
func (t *table) tick(now time.Time) bool {
	changed := t.joining && now.Sub(t.started) >= joinTimeout
	t.joining = t.joining && !changed
	for key, e := range t.entries {
		age := now.Sub(e.ObservedAt)
		if e.State == StateSuspect && now.Sub(e.suspectedAt) >= deadAfter {
			e.ObservedAt = now
			changed = t.fire(e, eventExpired, now) || changed
		}
		if e.State == StateDead && age >= forgetAfter {
			t.remove(key)
			changed = true
		}
		stable := e.usable() && t.stable(e, now)
		changed = changed || stable != e.Stable
		e.Stable = stable
	}
	return changed
}

// restartTimers is called after this process was paused. As in the views of the
// others, it has to become stable again, and the timeouts of members that were
// suspect before the pause start again.
func (t *table) restartTimers(now time.Time) {
	t.entries[t.self].AliveSince = now
	for _, e := range t.entries {
		if e.State == StateSuspect {
			e.suspectedAt = now
		}
	}
}

// stable reports whether a member has been alive long enough to be a home. For
// members that were discovered while this process started, it relies on the
// reports of others, so that a process that joins a running fleet agrees with
// it immediately.
func (t *table) stable(e *Entry, now time.Time) bool {
	if e.presentAtStart {
		return e.reportedStable || now.Sub(t.started) >= stableAfter
	}
	return now.Sub(e.AliveSince) >= stableAfter
}

// pendingReports returns up to limit reports of suspects and of recent changes
// and counts them as sent. Those sent the fewest times come first.
func (t *table) pendingReports(limit int, now time.Time) []Report {
	var pending []*Entry
	for _, e := range t.entries {
		if e.sendsLeft > 0 || e.State == StateSuspect {
			pending = append(pending, e)
		}
	}
	slices.SortFunc(pending, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), compareKeys(a.Member.Key(), b.Member.Key()))
	})
	var reports []Report
	for _, e := range pending[:min(limit, len(pending))] {
		e.sendsLeft = max(0, e.sendsLeft-1)
		reports = append(reports, e.report(now))
	}
	return reports
}

// refutations returns up to limit reports of alive members that the given
// reports declare suspect or dead.
func (t *table) refutations(reports []Report, limit int, now time.Time) []Report {
	var refuting []Report
	for _, r := range reports {
		e, ok := t.entries[r.Member.Key()]
		if ok && isSuspicion(r.State) && e.State == StateAlive && len(refuting) < limit {
			refuting = append(refuting, e.report(now))
		}
	}
	return refuting
}

// liveReports returns up to limit reports of the other members that are not
// dead.
func (t *table) liveReports(limit int, now time.Time) []Report {
	reports := make([]Report, 0, min(limit, len(t.keys)))
	for _, key := range t.keys {
		if e := t.entries[key]; e.State != StateDead && key != t.self && len(reports) < limit {
			reports = append(reports, e.report(now))
		}
	}
	return reports
}

func (e *Entry) report(now time.Time) Report {
	return Report{Member: e.Member, State: e.State, Age: now.Sub(e.ObservedAt), Stable: e.Stable}
}

func (t *table) snapshot() *Snapshot {
	s := NewSnapshot(t.sortedEntries())
	s.joining = t.joining
	return s
}

func (t *table) remove(key Key) {
	delete(t.entries, key)
	delete(t.changedFrom, key)
	if i, found := slices.BinarySearchFunc(t.keys, key, compareKeys); found {
		t.keys = slices.Delete(t.keys, i, i+1)
	}
}

func (t *table) sortedEntries() []Entry {
	entries := make([]Entry, 0, len(t.keys))
	for _, key := range t.keys {
		entries = append(entries, *t.entries[key])
	}
	return entries
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Role, b.Role), cmp.Compare(a.ID, b.ID))
}
