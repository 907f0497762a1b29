package succession

import (
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/grant"
)

// modelHomeProcess is the process that is the home of the group.
const modelHomeProcess = 1

// modelHome is what the home knows beyond its grants.
type modelHome struct {
	// cut is set while the home and a lease holder elsewhere cannot reach each other.
	cut bool
	// servers holds the listed servers, and departures when others were removed.
	servers    [modelServers]bool
	departures [modelServers]time.Duration
}

// storedEntry is a write that a primary acknowledges.
type storedEntry struct {
	entry logEntry
	// late is set if it was stored after the promotion of another primary.
	late bool
	// shown holds the servers that have shown to the home that they have it.
	shown [modelServers]bool
}

// updateHome lets the home do what it does at any time. It asks servers for their status
// as soon as they have what it waits for, so that every order of its calls is covered.
func (w *modelWorld) updateHome() {
	p := w.processes[modelHomeProcess]
	if p.frozen {
		return
	}
	w.followServers()
	w.renewGrant()
	for i := range w.stored {
		if !slices.Contains(w.acknowledged, w.stored[i].entry) {
			w.showCopies(p, i)
			w.passOn(p, w.stored[i])
		}
	}
}

// followServers updates the list of servers that the home knows.
func (w *modelWorld) followServers() {
	if w.processes[modelHomeProcess].storeCut {
		return
	}
	for i, s := range w.servers {
		if s.listed {
			w.home.departures[i] = 0
		} else if w.home.servers[i] {
			w.home.departures[i] = w.now
		}
		w.home.servers[i] = s.listed
	}
}

// renewGrant gives the home a grant whenever the lease holder allows one.
func (w *modelWorld) renewGrant() {
	home := w.processes[modelHomeProcess]
	for _, holder := range w.processes {
		if holder.token != 0 && holder.allowed && (holder == home || !w.home.cut) {
			w.grant(home, holder)
		}
	}
}

// showCopies records which servers have a stored write.
func (w *modelWorld) showCopies(p *modelProcess, stored int) {
	entry := w.stored[stored].entry
	for i, s := range w.servers {
		if s.alive && !p.cut[i] && s.term == entry.term && slices.Contains(s.log, entry) && !w.stored[stored].shown[i] {
			w.stored = slices.Clone(w.stored)
			w.stored[stored].shown[i] = true
		}
	}
}

// passOn passes the acknowledgement of a stored write on to its caller, if the rule of
// the homes allows it.
func (w *modelWorld) passOn(p *modelProcess, s storedEntry) {
	position := cluster.Position{Term: s.entry.term, Offset: uint64(s.entry.offset)}
	var copies []grant.Copy
	for i, listed := range w.home.servers {
		switch {
		case listed && s.shown[i]:
			copies = append(copies, grant.Copy{Asked: true, Term: s.entry.term, Received: position})
		case listed:
			copies = append(copies, grant.Copy{})
		}
	}
	for _, at := range w.home.departures {
		if at > 0 && w.now-at < grant.DepartureDelay {
			copies = nil
		}
	}
	if !w.disabled.acknowledgeRule && !grant.MayAcknowledge(p.grants.Acknowledge("g", s.entry.term, position), copies, s.entry.term, position) {
		return
	}
	if p.grants.Valid("g", s.entry.term) {
		p.acknowledged = cluster.MaxPosition(p.acknowledged, position)
	}
	w.acknowledged = append(slices.Clip(w.acknowledged), s.entry)
	if s.late {
		w.fail("two primaries acknowledge: write %d.%d after the promotion to term %d", s.entry.term, s.entry.offset, w.promotedTerm)
	}
	if s.entry.term < w.promotedTerm && !slices.Contains(w.servers[w.lastPrimary].log, s.entry) {
		w.fail("acknowledged write %d.%d is not in the log of s%d, which was promoted", s.entry.term, s.entry.offset, w.lastPrimary)
	}
}

// home encodes what the home knows, and what was stored but not acknowledged.
func (e *stateEncoder) home(w *modelWorld) {
	e.bools(w.home.cut)
	e.bools(w.home.servers[:]...)
	for _, at := range w.home.departures {
		if e.bools(at > 0); at > 0 {
			e.age(at)
		}
	}
	for _, s := range w.stored {
		if !slices.Contains(w.acknowledged, s.entry) {
			e.log([]logEntry{s.entry})
			e.bools(s.late)
			e.bools(s.shown[:]...)
		}
	}
}
