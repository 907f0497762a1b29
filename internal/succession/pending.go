package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
)

// PendingPromotion is a promotion of a server that may still take effect. It may have been
// requested by more than one call.
type PendingPromotion struct {
	// Until is the time until which a call may take effect.
	Until time.Time
	// TermBefore is the highest known term when the last call was announced.
	TermBefore cluster.Term
	// Sole is set if there is only one call. It has taken effect once the server is primary
	// above TermBefore. Of two calls, the other one could promote the server once more, after
	// a third server has replaced it.
	Sole bool
	// Inherited is set if an earlier lease holder has made, or may still make, one of the calls.
	Inherited bool
	// source is the record that the promotion was inherited from. It is unset once this process
	// has made a call of its own.
	source recordedCall
}

// recordedCall identifies a promotion in a record by the writer's token and what it states.
type recordedCall struct {
	token duty.Token
	call  PromotionCall
}

// possible reports whether the promotion may still take effect.
func (p PendingPromotion) possible(now time.Time) bool { return now.Before(p.Until) }

// PendingPromotions holds the promotions that may still take effect, by server.
type PendingPromotions map[cluster.ServerID]PendingPromotion

// after returns what is pending for a server after the calls of earlier and then those of p.
func (p PendingPromotion) after(earlier PendingPromotion, now time.Time) PendingPromotion {
	if !earlier.possible(now) {
		return p
	}
	p.Sole, p.Inherited = false, p.Inherited || earlier.Inherited
	p.TermBefore = max(p.TermBefore, earlier.TermBefore)
	if earlier.Until.After(p.Until) {
		p.Until = earlier.Until
	}
	return p
}

// next returns what is pending for a server after one more call that is made now. highest is
// the highest term of any server.
func (p PendingPromotions) next(id cluster.ServerID, highest cluster.Term, now time.Time) PendingPromotion {
	call := PendingPromotion{Until: now.Add(maxPromotionDelay), TermBefore: highest, Sole: true}
	return call.after(p[id], now)
}

// begin records that the platform is about to be asked to promote a server, and returns
// what was pending for it before.
func (p PendingPromotions) begin(id cluster.ServerID, highest cluster.Term, now time.Time) (earlier PendingPromotion) {
	earlier = p[id]
	p[id] = p.next(id, highest, now)
	return earlier
}

// withdraw takes back the last call, which the platform has refused. earlier is what was
// pending before it.
func (p PendingPromotions) withdraw(id cluster.ServerID, earlier PendingPromotion) {
	if earlier == (PendingPromotion{}) {
		delete(p, id)
		return
	}
	p[id] = earlier
}

// inherit adds the promotion that the record of an earlier lease holder announces. ended is
// the token of a holder that is known to have ended; zero if there is none. A record that is
// read again does not prolong the time.
func (p PendingPromotions) inherit(r Record, ended duty.Token, now time.Time) {
	known, ok := p[r.Promoting]
	source := recordedCall{r.Token, r.Call}
	if ok && known.source == source {
		return
	}
	call := PendingPromotion{
		Until: now.Add(r.remaining(ended)), TermBefore: r.Call.TermBefore, Sole: r.Call.Sole, Inherited: true, source: source,
	}
	p[r.Promoting] = call.after(known, now)
}

// removeEnded removes the promotions that have taken effect. Kept any longer, they would
// forbid the election of another server.
func (p PendingPromotions) removeEnded(servers map[cluster.ServerID]Observation) {
	for id, call := range p {
		status := servers[id].Status
		if call.Sole && status.Role == cluster.RolePrimary && status.Term > call.TermBefore {
			delete(p, id)
		}
	}
}

// otherPromotionPossible reports whether a requested promotion of a server other than
// id may still take effect.
func otherPromotionPossible(v View, id cluster.ServerID, now time.Time) bool {
	for promoted, p := range v.PendingPromotions {
		if promoted != id && p.possible(now) {
			return true
		}
	}
	return v.PriorPromotionPossible
}

// promotedSince reports whether a server may have been promoted since it was observed,
// by a call that can no longer take effect. While the call can, no other server is
// elected, and the server's own log may count for it.
func promotedSince(r Server, o Observation, v View, now time.Time) bool {
	p, ok := v.PendingPromotions[r.ID]
	return ok && !p.possible(now) && !o.RequestedAt.After(p.Until)
}
