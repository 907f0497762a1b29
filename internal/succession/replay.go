package succession

import (
	"math/bits"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// replayLateAfter is the time after which a replica that has not replayed a position of
	// the primary is late. It is several times the 150 ms by which replicas lag in normal
	// operation.
	replayLateAfter = time.Second
	// minReplayLate is the time over which every report of every replica must show it as
	// late. A replica reports once a second.
	minReplayLate = 3 * time.Second
	// busyReports is the number of the last reports of the primary of which minBusyReports
	// must show its slots at work. A primary reports every 0.4 s.
	busyReports    = 6
	minBusyReports = 5
	// minBusySlots keeps a status call, which occupies a slot itself, from being taken for
	// the load of a server with few slots.
	minBusySlots = 2
	// maxReplayReportAge is the age above which a report is no evidence. Between two reports
	// of a replica are its poll interval and one call.
	maxReplayReportAge = 2 * time.Second
	// minReplaySettled is how long this lease holder must have seen the servers of the group,
	// and their starts, unchanged before their reports count. A server that has just started
	// is slow at first. The time counts anew for each holder: with 10 s, no switchover came
	// on a day on which the lease changed hands twice within 20 s.
	minReplaySettled = 3 * time.Second
	// replaySwitchoverPause is the time between the announcements of two switchovers of a
	// group because of late replay, so that 30 s lie between any two. Each refuses writes for
	// half a second. The pause doubles, up to maxReplaySwitchoverPause, if the replicas are
	// late again soon after it: they are then late whichever server is primary.
	replaySwitchoverPause    = 30*time.Second + maxAnnouncementAge
	maxReplaySwitchoverPause = 8 * time.Minute
	// maxAnnouncementAge is how long after its announcement a switchover may begin. The
	// record is written meanwhile, and the next report of a replica awaited.
	maxAnnouncementAge = 2 * time.Second
	// progressInterval is the least time between two remembered positions of the primary.
	progressInterval = 300 * time.Millisecond
	// maxProgressAge is the age up to which positions are remembered.
	maxProgressAge = maxReplayReportAge + replayLateAfter
)

// progress is a position that the primary had reached at a time.
type progress struct {
	position cluster.Position
	seenAt   time.Time
}

// replayWatch is the evidence that all replicas replay late while the slots of the primary
// are at work. Its slice must not be modified.
type replayWatch struct {
	primary cluster.ServerID
	term    cluster.Term
	// reached holds positions of the primary, oldest first.
	reached []progress
	// lateSince is the time of the reports from which on all reports of all replicas show
	// them as late, and lateFor how long these reports have spanned.
	lateSince time.Time
	lateFor   time.Duration
	// countedAt is the time of the last report of the primary, and busy has a bit for each of
	// its last busyReports reports since lateSince: whether its slots were at work.
	countedAt time.Time
	busy      uint8
}

// replayRest tells when a switchover of a group because of late replay was last announced,
// and for how long the group is left alone after that.
type replayRest struct {
	at    time.Time
	pause time.Duration
	// announced is set until the switchover begins. The group's record states the time
	// before, which shows that the store works: without it, nothing could be promoted.
	announced bool
}

// over reports whether another switchover may be announced.
func (r replayRest) over(now time.Time) bool { return r.at.IsZero() || now.Sub(r.at) >= r.pause }

// announce returns the rest after a switchover that is announced now, if one may be.
func (r replayRest) announce(now time.Time) replayRest {
	switch {
	case !r.over(now):
		return r
	case r.at.IsZero() || now.Sub(r.at) >= 2*r.pause:
		return replayRest{at: now, pause: replaySwitchoverPause, announced: true}
	}
	return replayRest{at: now, pause: min(2*r.pause, maxReplaySwitchoverPause), announced: true}
}

// mayBegin reports whether the announced switchover is recorded, and the store was quick.
func (r replayRest) mayBegin(v View, now time.Time) bool {
	return r.announced && !v.RecordUnsaved && now.Sub(r.at) <= maxAnnouncementAge
}

// merge adds the time that the record of an earlier lease holder states. The clock of that
// holder may differ.
func (r replayRest) merge(unixMilli int64, now time.Time) replayRest {
	if at := time.UnixMilli(unixMilli); unixMilli > 0 && at.After(r.at) {
		if at.After(now) {
			at = now
		}
		return replayRest{at: at, pause: max(r.pause, replaySwitchoverPause)}
	}
	return r
}

// unixMilli returns the time of the last switchover for the record, zero if there was none.
func (r replayRest) unixMilli() int64 {
	if r.at.IsZero() {
		return 0
	}
	return r.at.UnixMilli()
}

// replaySwitchoverHelps reports whether a replica should replace a primary that works. The
// promoted server serves all it has received at once, and the old primary has no backlog as
// a replica.
func replaySwitchoverHelps(g Group, v View, s State, now time.Time) bool {
	return s.replay.lateFor >= minReplayLate && bits.OnesCount8(s.replay.busy) >= minBusyReports &&
		switchoverBlocker(g, v, s, now) == ""
}

// update adds the last reports to the evidence, which begins anew with every disturbance of
// the group.
func (w replayWatch) update(g Group, v View, s State, now time.Time) replayWatch {
	p, leading, ok := primary(g, v)
	if !ok || !undisturbed(g, v, s, now) {
		return replayWatch{}
	}
	if w.primary != p.ID || w.term != leading.Status.Term {
		w = replayWatch{primary: p.ID, term: leading.Status.Term}
	}
	w.reached = remember(w.reached, leading.Status.Received, now)
	oldest, newest, late := w.lateReports(g, v)
	if !late {
		w.lateSince, w.lateFor, w.busy = time.Time{}, 0, 0
		return w
	}
	if w.lateSince.IsZero() {
		w.lateSince = newest
	}
	w.lateFor = oldest.Sub(w.lateSince)
	if leading.RequestedAt.After(w.countedAt) {
		w.countedAt, w.busy = leading.RequestedAt, w.busy<<1&(1<<busyReports-1)
		if leading.Status.Busy >= max(p.Slots-1, minBusySlots) {
			w.busy |= 1
		}
	}
	return w
}

// undisturbed reports whether a group has no fault other than the late replay of its replicas:
// each listed server works, reports and follows the one primary, no other server may have
// acknowledged writes, and the list of the group is up to date.
func undisturbed(g Group, v View, s State, now time.Time) bool {
	if g.SyncReplicas < 1 || v.GroupStale || v.PromotionInFlight || otherPromotionPossible(v, "", now) {
		return false
	}
	if !s.settled() || now.Sub(s.listedSince) < minReplaySettled {
		return false
	}
	primaries, term := 0, maxTerm(v)
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if r.Leaving || !o.reachable(r) || now.Sub(o.RequestedAt) > maxReplayReportAge || o.lostRecords() ||
			o.Status.PausedAt > 0 || o.Status.Term != term {
			return false
		}
		if o.Status.Role == cluster.RolePrimary {
			primaries++
		}
	}
	return primaries == 1
}

// remember adds a position of the primary that is seen now.
func remember(reached []progress, position cluster.Position, now time.Time) []progress {
	if n := len(reached); n > 0 && (reached[n-1].position == position || now.Sub(reached[n-1].seenAt) < progressInterval) {
		return reached
	}
	// The newest position that is older than maxProgressAge is kept for the oldest report.
	for len(reached) > 1 && now.Sub(reached[1].seenAt) > maxProgressAge {
		reached = reached[1:]
	}
	return append(reached[:len(reached):len(reached)], progress{position, now})
}

// lateReports reports whether the last reports of all replicas show them as late, and the
// times of the oldest and the newest of these reports.
func (w replayWatch) lateReports(g Group, v View) (oldest, newest time.Time, late bool) {
	for _, r := range g.Servers {
		if r.ID == w.primary {
			continue
		}
		o := v.Servers[r.ID]
		if !w.late(o) {
			return time.Time{}, time.Time{}, false
		}
		if oldest.IsZero() || o.RequestedAt.Before(oldest) {
			oldest = o.RequestedAt
		}
		if o.RequestedAt.After(newest) {
			newest = o.RequestedAt
		}
	}
	return oldest, newest, !oldest.IsZero()
}

// late reports whether a replica had received, but not replayed, what the primary had
// reached replayLateAfter before the report.
func (w replayWatch) late(o Observation) bool {
	var due cluster.Position
	for _, p := range w.reached {
		if o.RequestedAt.Sub(p.seenAt) >= replayLateAfter {
			due = p.position
		}
	}
	return o.Status.Replayed.Known() && o.Status.Replayed.Less(due) && !o.Status.Received.Less(due)
}
