package succession

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// logEntry is a write, which is unique by its term and offset.
type logEntry struct {
	term   cluster.Term
	offset int
}

type modelServer struct {
	alive, primary bool
	term, paused   cluster.Term
	log            []logEntry
	start          int64
	leaving        bool
	// isolated is set while the server cannot reach the other servers.
	isolated bool
	// listed is set while the server's entry is in the catalog.
	listed bool
	// joinedAt is when the server joined, until it is listed.
	joinedAt time.Duration
}

// unlisted reports whether the server has joined, runs and has not been listed since.
func (s *modelServer) unlisted() bool { return s.alive && s.joinedAt > 0 }

func (s *modelServer) position() cluster.Position {
	if len(s.log) == 0 {
		return cluster.Position{}
	}
	return cluster.Position{Term: s.log[len(s.log)-1].term, Offset: uint64(len(s.log))}
}

// obey executes a replication command.
func (s *modelServer) obey(a Action) {
	switch a.Kind {
	case ActionPause:
		if !s.primary && a.Term > s.term {
			s.paused = max(s.paused, a.Term)
		}
	case ActionResume:
		s.paused = 0
	case ActionStepDown:
		if s.primary && a.Term > s.term {
			s.primary = false
		}
	}
}

func (w *modelWorld) applyToServer(e modelEvent) bool {
	s := &w.servers[e.a]
	switch e.kind {
	case eventWrite:
		if !spend(&w.left.writes, s.alive && s.primary) {
			return false
		}
		s.log = append(slices.Clip(s.log), logEntry{s.term, len(s.log) + 1})
	case eventReplicate:
		return e.a != e.b && w.sends(int(e.a)) && w.replicate(s, &w.servers[e.b])
	case eventCrash:
		if !spend(&w.left.crashes, s.alive) {
			return false
		}
		s.alive, s.paused = false, 0
		w.refuseCalls(int(e.a))
	case eventRestart:
		if !spend(&w.left.restarts, !s.alive && len(s.log) > 0) {
			return false
		}
		s.alive, s.start, s.listed, s.joinedAt = true, s.start+1, true, 0
		s.primary = s.primary && w.promotedTerm <= s.term
		w.followPrimary()
	case eventRebirth:
		if !spend(&w.left.rebirths, !s.alive && !s.primary && len(s.log) > 0) {
			return false
		}
		s.alive, s.start, s.listed, s.joinedAt, s.log, s.term = true, s.start+1, true, 0, nil, 0
		w.followPrimary()
	case eventLapse:
		// The platform tells that a replica whose entry stays missing is gone. A primary
		// that is cut off from the table service alone goes on.
		if !spend(&w.left.lapses, s.listed && (!s.alive || s.primary)) {
			return false
		}
		s.listed = false
	case eventReturn:
		if !spend(&w.left.returns, !s.listed && s.alive) {
			return false
		}
		s.listed, s.joinedAt = true, 0
	case eventLeave:
		if !spend(&w.left.leaving, s.alive && s.listed && !s.leaving) {
			return false
		}
		s.leaving = true
	case eventIsolate:
		if !spend(&w.left.isolations, !s.isolated) {
			return false
		}
		s.isolated = true
	case eventJoin:
		if !spend(&w.left.joins, s.start == 0) {
			return false
		}
		s.alive, s.start, s.joinedAt = true, 1, w.now
	case eventOddEntry:
		if !spend(&w.left.oddEntries, s.start == 0) {
			return false
		}
		s.start, s.listed = 1, true
	case eventPromote:
		return w.promote(int(e.a))
	}
	return true
}

// sends reports whether a server sends its log to others: a primary does, and what the last
// one sent before it stepped down may still be in transit.
func (w *modelWorld) sends(server int) bool {
	s := &w.servers[server]
	return s.primary || server == w.lastPrimary && s.term == w.promotedTerm
}

// replicate copies the log of a primary to a replica, which SyncReplicas of one demands
// for the writes of the primary.
func (w *modelWorld) replicate(from, to *modelServer) bool {
	if !from.alive || !to.alive || to.primary || to.paused > 0 || to.term > from.term || from.isolated || to.isolated {
		return false
	}
	if to.term == from.term && slices.Equal(to.log, from.log) && w.isStored(from.log) {
		return false
	}
	to.follow(from)
	for _, entry := range from.log {
		if entry.term != from.term || w.isStored([]logEntry{entry}) {
			continue
		}
		w.stored = append(slices.Clip(w.stored), storedEntry{entry: entry, late: from.term < w.promotedTerm})
		w.checkGrants(from.term)
	}
	return true
}

func (w *modelWorld) isStored(log []logEntry) bool {
	for _, entry := range log {
		if !slices.ContainsFunc(w.stored, func(s storedEntry) bool { return s.entry == entry }) {
			return false
		}
	}
	return true
}

// checkGrants checks that no process has a grant of an earlier term than one whose
// primary acknowledges writes.
func (w *modelWorld) checkGrants(term cluster.Term) {
	for _, p := range w.processes {
		for earlier := range term {
			if p.grants.Valid("g", earlier) {
				w.fail("p%d has a grant of term %d while term %d acknowledges writes", p.index, earlier, term)
			}
		}
	}
}

// promote carries out the first call for a server.
func (w *modelWorld) promote(target int) bool {
	at := slices.IndexFunc(w.calls, func(c modelCall) bool { return c.server == target })
	if at < 0 {
		return false
	}
	w.calls = slices.Delete(slices.Clone(w.calls), at, at+1)
	s := &w.servers[target]
	if !s.alive || s.primary {
		return true
	}
	for _, entry := range w.acknowledged {
		if !slices.Contains(s.log, entry) {
			w.fail("acknowledged write %d.%d is not in the log %s of s%d, which is promoted", entry.term, entry.offset, formatLog(s.log), target)
		}
	}
	w.promotedTerm++
	for _, other := range w.servers {
		w.promotedTerm = max(w.promotedTerm, other.term+1)
	}
	s.primary, s.term, s.paused, w.lastPrimary = true, w.promotedTerm, 0, target
	w.followPrimary()
	return true
}

// followPrimary makes the replicas follow the last promoted server.
func (w *modelWorld) followPrimary() {
	for i := range w.servers {
		p := &w.servers[i]
		if !p.alive || !p.primary || p.term < w.promotedTerm {
			continue
		}
		for j := range w.servers {
			if r := &w.servers[j]; r.alive && !r.primary && r.term < p.term && !r.isolated && !p.isolated {
				r.follow(p)
			}
		}
	}
}

func (s *modelServer) follow(p *modelServer) {
	s.log, s.term, s.paused = slices.Clone(p.log), p.term, 0
}

// refuseCalls makes the platform refuse the calls that would promote a server which is
// not running.
func (w *modelWorld) refuseCalls(server int) {
	var left []modelCall
	for _, c := range w.calls {
		if c.server != server {
			left = append(left, c)
			continue
		}
		w.processes[c.sender].refused(c)
	}
	w.calls = left
}
