package home

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// report is the most recent status of one server.
type report struct {
	known  bool
	status cluster.ServerStatus
	// proofSeq is the number of the newest proof requested before the status call began.
	proofSeq uint64
	// begun is when the call or exchange began that the positions are from, asked when the
	// last status call did.
	begun    time.Time
	asked    time.Time
	answered time.Time
}

// view is what the servers of a group last reported. It has no lock of its own.
type view struct {
	reports map[cluster.ServerID]report
	// size is the number of servers of the group.
	size    int
	term    cluster.Term
	primary cluster.ServerID
	terms   termHistory
}

func newView(size int) *view {
	return &view{reports: make(map[cluster.ServerID]report), size: size, terms: newTermHistory()}
}

// observe records a report and determines the primary. It reports whether the
// term or the primary changed.
func (v *view) observe(id cluster.ServerID, r report) bool {
	v.reports[id] = r
	v.terms.observe(r.status)
	return v.learnPrimary()
}

// learnPrimary sets the primary to that of the highest term reported by a majority.
func (v *view) learnPrimary() bool {
	for id, r := range v.reports {
		s := r.status
		if s.Role != cluster.RolePrimary || s.Term < v.term {
			continue
		}
		if v.countAtTerm(s.Term) < cluster.Majority(v.size) {
			continue
		}
		if s.Term == v.term && id == v.primary {
			continue
		}
		v.term = s.Term
		v.primary = id
		return true
	}
	return false
}

func (v *view) countAtTerm(t cluster.Term) int {
	n := 0
	for _, r := range v.reports {
		if r.status.Term == t {
			n++
		}
	}
	return n
}

// primaryKnown reports whether there is a primary that has not been replaced as
// far as known: no majority has accepted a higher term.
func (v *view) primaryKnown() bool {
	if v.primary == "" {
		return false
	}
	higher := 0
	for _, r := range v.reports {
		if r.status.Term > v.term {
			higher++
		}
	}
	return higher < cluster.Majority(v.size) && v.reports[v.primary].status.Term == v.term
}

// maxEpoch returns the highest epoch that any server reported, and the home that claimed it.
func (v *view) maxEpoch() (cluster.Epoch, cluster.ProxyID) {
	var epoch cluster.Epoch
	var holder cluster.ProxyID
	for _, r := range v.reports {
		if r.status.Epoch > epoch {
			epoch = r.status.Epoch
			holder = r.status.Home
		}
	}
	return epoch, holder
}

// countReportsSince counts the servers whose status call began after proof seq was requested.
func (v *view) countReportsSince(seq uint64) int {
	n := 0
	for _, r := range v.reports {
		if r.known && r.proofSeq >= seq {
			n++
		}
	}
	return n
}

// proofRequirement is what a majority of the servers has to report for a proof.
type proofRequirement struct {
	proofSeq uint64
	claim    claim
	term     cluster.Term
	// received is the log position that must have been stored; unknown if none.
	received cluster.Position
}

// claim is the epoch that a home has claimed for a group.
type claim struct {
	epoch cluster.Epoch
	home  cluster.ProxyID
}

// proven reports whether the reports of a majority meet q.
func (v *view) proven(requirement proofRequirement) bool {
	n := 0
	for _, r := range v.reports {
		if r.known && r.meets(requirement) {
			n++
		}
	}
	return n >= cluster.Majority(v.size)
}

func (r report) meets(requirement proofRequirement) bool {
	s := r.status
	if r.proofSeq < requirement.proofSeq || s.Term != requirement.term {
		return false
	}
	if s.Epoch != requirement.claim.epoch || s.Home != requirement.claim.home {
		return false
	}
	return !s.Received.Less(requirement.received)
}

// sampleTime returns a time such that every write acknowledged before it is at or
// below the primary's reported position: the start of the earliest status call
// among a majority that includes the primary and agrees on the term.
func (v *view) sampleTime(c claim) (time.Time, bool) {
	primary, ok := v.reports[v.primary]
	if !ok || primary.status.Term != v.term || primary.status.Role != cluster.RolePrimary {
		return time.Time{}, false
	}
	var others []time.Time
	for id, r := range v.reports {
		if id != v.primary && r.status.Term == v.term && r.status.Epoch == c.epoch {
			others = append(others, r.begun)
		}
	}
	need := cluster.Majority(v.size) - 1
	if len(others) < need {
		return time.Time{}, false
	}
	at := primary.begun
	for _, t := range latest(others, need) {
		if t.Before(at) {
			at = t
		}
	}
	return at, true
}

// latest returns the n latest of times, which it reorders.
func latest(times []time.Time, n int) []time.Time {
	for i := range n {
		for j := i + 1; j < len(times); j++ {
			if times[j].After(times[i]) {
				times[i], times[j] = times[j], times[i]
			}
		}
	}
	return times[:n]
}

// countClaims counts the servers that have accepted c, and those that have
// accepted another claim and so will never accept c.
func (v *view) countClaims(c claim) (accepted, rejected int) {
	for _, r := range v.reports {
		switch {
		case r.status.Epoch == c.epoch && r.status.Home == c.home:
			accepted++
		case r.status.Epoch >= c.epoch:
			rejected++
		}
	}
	return accepted, rejected
}
