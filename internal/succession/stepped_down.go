package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// SteppedDown is a primary that has stepped down at its term. No write that was
// acknowledged at that term or before lies beyond the end of its log. It is kept in the
// group's record: a lease holder that has not seen the server as primary would else wait for
// members that are gone.
type SteppedDown struct {
	Server cluster.ServerID `json:"server"`
	Term   cluster.Term     `json:"term"`
	End    cluster.Position `json:"end"`
}

// seenPrimary is the last primary that has responded to this process, at the highest term.
type seenPrimary struct {
	member Member
	term   cluster.Term
	// received is the end of its log at that time.
	received cluster.Position
}

// updateSteppedDown records the last primary, and that it has stepped down: by an attempt, or
// by a command that took effect after the attempt had ended. That no longer matters once a
// server has a later term, or may have been promoted to one unseen.
func (s State) updateSteppedDown(g Group, v View, now time.Time) State {
	if p, o, ok := primary(g, v); ok && o.reachable(p) && o.Status.Term == maxServerTerm(v) {
		s.seen = seenPrimary{member: Member{ID: p.ID, StartTime: p.StartTime}, term: o.Status.Term, received: o.Status.Received}
	}
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if s.seen.member == (Member{ID: r.ID, StartTime: r.StartTime}) && o.reachable(r) && o.Status.Role == cluster.RoleReplica &&
			o.Status.Term == s.seen.term && !o.Status.Received.Less(s.seen.received) {
			s.SteppedDown = SteppedDown{Server: r.ID, Term: o.Status.Term, End: o.Status.Received}
		}
	}
	if s.Phase == PhasePausing && s.OldLogEnd.Known() {
		s.SteppedDown = SteppedDown{Server: s.OldPrimary, Term: s.OldTerm, End: s.OldLogEnd}
	}
	if maxServerTerm(v) > s.SteppedDown.Term || otherMayBePromoted(v, s.SteppedDown.Server, now) {
		s.SteppedDown = SteppedDown{}
	}
	return s
}

// otherMayBePromoted reports whether a promotion of another server than id was requested
// that may take effect, or may have taken effect since the server was seen.
func otherMayBePromoted(v View, id cluster.ServerID, now time.Time) bool {
	for promoted, p := range v.PendingPromotions {
		if promoted != id && (p.possible(now) || !v.Servers[promoted].RequestedAt.After(p.Until)) {
			return true
		}
	}
	return false
}

// findOldPrimary sets the primary to replace if it is not known yet: the present one, or the
// one that an earlier attempt has stepped down and that still has its log.
func (s State) findOldPrimary(g Group, v View) State {
	if s.OldPrimary != "" {
		return s
	}
	if p, o, ok := primary(g, v); ok {
		s.OldPrimary, s.OldTerm = p.ID, o.Status.Term
		return s
	}
	d := s.SteppedDown
	for _, r := range g.Servers {
		o := v.Servers[r.ID]
		if r.ID == d.Server && o.reachable(r) && o.Status.Term == d.Term && !o.Status.Received.Less(d.End) {
			s.OldPrimary, s.OldTerm = d.Server, d.Term
		}
	}
	return s
}

// record returns the record that the next lease holder should find while the promotion of a
// server may take effect. A promotion of another server than the one that has stepped down
// may begin a term that the next holder does not see.
func (s State) record(promoting cluster.ServerID) Record {
	r := Record{Promoting: promoting, ReplaySwitchover: s.rest.unixMilli()}
	if s.Known {
		r.Members = s.Members
	}
	if promoting == "" || promoting == s.SteppedDown.Server {
		r.SteppedDown = s.SteppedDown
	}
	return r
}

// adopt adds what a record states that is read now.
func (s State) adopt(r Record, now time.Time) State {
	s.Membership = s.merge(r)
	s.rest = s.rest.merge(r.ReplaySwitchover, now)
	if s.SteppedDown == (SteppedDown{}) {
		s.SteppedDown = r.SteppedDown
	}
	return s
}

// adoptOutdated adds what holds of a record although later ones may have been lost: its members
// may hold acknowledged writes, but others may, too, and there may have been another primary.
func (s State) adoptOutdated(r Record, now time.Time) State {
	known := s.Known
	s.Membership = s.merge(r)
	s.Known = known
	s.rest = s.rest.merge(r.ReplaySwitchover, now)
	return s
}
