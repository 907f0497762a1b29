package succession

import (
	"slices"
	"time"
)

const (
	// modelCalmSample is the share of the reached states, one in so many, from which the
	// model goes on without further faults.
	modelCalmSample = 40
	// modelCalmStep is the time between the calls of a process in that time.
	modelCalmStep = 100 * time.Millisecond
	// modelRecoveryTime is the time within which a group must have a primary that is not
	// leaving.
	modelRecoveryTime = 12 * time.Second
	// modelLapseTime is the time after which the entry of a server that has ended lapses: three
	// heartbeats.
	modelLapseTime = 3600 * time.Millisecond
	// modelDrainTime is the time for which a server that is leaving works.
	modelDrainTime = 7 * time.Second
)

// violationInCalm lets the world go on without faults. A group in which the last primary
// runs and is listed, and in which a server that is not leaving has all acknowledged
// writes, must soon have a primary that is not leaving, whatever became of the others.
func (w *modelWorld) violationInCalm() string {
	c := w.clone()
	c.left, c.home.cut, c.lateNews = modelFaults{}, false, false
	for _, p := range c.processes {
		p.frozen, p.storeCut, p.cut = false, false, [modelServers]bool{}
	}
	for i := range c.servers {
		c.servers[i].isolated = false
	}
	if last := c.servers[c.lastPrimary]; !last.alive || !last.listed || !slices.ContainsFunc(c.servers[:], c.mayStayPrimary) {
		return ""
	}
	start := c.now
	for c.now < start+c.recoveryTime && c.violation == "" && !c.recovered() {
		if c.now >= start+modelLapseTime {
			c.lapseRequested()
		}
		c.calmStep()
	}
	switch {
	case c.violation != "":
		return c.violation + " (later, without further faults)"
	case !c.recovered():
		return "no primary that is not leaving, without further faults"
	}
	return ""
}

// lapseRequested lets the entries of servers lapse that have ended after their promotion was
// requested. As long as they are listed, they may have been promoted unseen, and no grants are
// given.
func (w *modelWorld) lapseRequested() {
	for i := range w.servers {
		requested := func(p *modelProcess) bool { _, ok := p.view.PendingPromotions[serverID(i)]; return ok }
		if s := &w.servers[i]; !s.alive && slices.ContainsFunc(w.processes[:], requested) {
			s.listed = false
		}
	}
}

// recovered reports whether the group has a primary that is not leaving and, unless it runs
// alone, acknowledges writes.
func (w *modelWorld) recovered() bool {
	last := w.servers[w.lastPrimary]
	if !last.alive || !last.primary || last.leaving || len(w.calls) > 0 {
		return false
	}
	running := 0
	for _, s := range w.servers {
		if s.alive {
			running++
		}
	}
	newest := last.log[len(last.log)-1]
	return running == 1 || newest.term == last.term && slices.Contains(w.acknowledged, newest)
}

// demoteReplaced makes replaced primaries that run follow the last one.
func (w *modelWorld) demoteReplaced() {
	for i := range w.servers {
		if s := &w.servers[i]; s.alive && s.primary && s.term < w.promotedTerm {
			s.primary = false
		}
	}
	w.followPrimary()
}

// mayStayPrimary reports whether a server is able to be the primary from now on.
func (w *modelWorld) mayStayPrimary(s modelServer) bool {
	return s.alive && s.listed && !s.leaving && !slices.ContainsFunc(w.acknowledged, func(e logEntry) bool { return !slices.Contains(s.log, e) })
}

// calmStep lets each process call each server, while the primary takes writes, and the
// platform carry out what it is asked for.
func (w *modelWorld) calmStep() {
	w.now += modelCalmStep
	for i := range w.servers {
		if s := &w.servers[i]; s.unlisted() {
			s.listed, s.joinedAt = true, 0
		}
	}
	w.demoteReplaced()
	w.letTimePass()
	w.writeAndReplicate()
	for _, p := range w.processes {
		for i := range w.servers {
			if p.token != 0 {
				w.callServer(p, i)
			}
			w.progress(p)
			w.revokeGrants(p)
			w.updateHome()
			for len(w.calls) > 0 {
				w.promote(w.calls[0].server)
			}
			w.now += modelStep
		}
	}
}

// writeAndReplicate lets each primary take a write and send its log.
func (w *modelWorld) writeAndReplicate() {
	for i := range w.servers {
		s := &w.servers[i]
		if s.alive && s.primary {
			s.log = append(slices.Clip(s.log), logEntry{s.term, len(s.log) + 1})
		}
		for j := range w.servers {
			if i != j && w.sends(i) {
				w.replicate(s, &w.servers[j])
			}
		}
	}
}

// revokeGrants revokes the grants that a process waits for.
func (w *modelWorld) revokeGrants(p *modelProcess) {
	for i := range w.processes {
		w.applyToPromotion(modelEvent{eventRevoke, uint8(p.index), uint8(i)}, p)
		w.now += modelStep
	}
}
