package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
)

// PendingPromotion is a promotion that may still take effect.
type PendingPromotion struct {
	// Until is the time until which it may take effect.
	Until time.Time
	// Accepted is set if the platform has accepted the only call that may still promote the
	// server. The promotion has then taken effect once the server is primary above
	// TermBefore, the highest term when the call was made.
	Accepted   bool
	TermBefore cluster.Term
}

// possible reports whether the promotion may still take effect.
func (p PendingPromotion) possible(now time.Time) bool { return now.Before(p.Until) }

// PendingPromotions holds the promotions that may still take effect, by server.
type PendingPromotions map[cluster.ServerID]PendingPromotion

// begin records that the platform is about to be asked to promote a server, and returns
// what was pending for it before. highest is the highest term of any server.
func (p PendingPromotions) begin(id cluster.ServerID, highest cluster.Term, now time.Time) (earlier PendingPromotion) {
	earlier = p[id]
	p[id] = PendingPromotion{Until: now.Add(maxPromotionDelay), TermBefore: highest}
	return earlier
}

// accept records that the platform has accepted the call that was begun. An earlier call
// that may still take effect could promote the server once more.
func (p PendingPromotions) accept(id cluster.ServerID, earlier PendingPromotion, now time.Time) {
	call := p[id]
	call.Accepted = !earlier.possible(now)
	p[id] = call
}

// removeEnded removes the promotions that have taken effect. Kept any longer, they would
// forbid the election of another server.
func (p PendingPromotions) removeEnded(servers map[cluster.ServerID]Observation) {
	for id, call := range p {
		status := servers[id].Status
		if call.Accepted && status.Role == cluster.RolePrimary && status.Term > call.TermBefore {
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
