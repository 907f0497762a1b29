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

// beginPromotion records that the platform is about to be asked to promote a server.
func (v View) beginPromotion(id cluster.ServerID, now time.Time) (earlier PendingPromotion) {
	earlier = v.PendingPromotions[id]
	v.PendingPromotions[id] = PendingPromotion{Until: now.Add(maxPromotionDelay), TermBefore: maxServerTerm(v)}
	return earlier
}

// acceptPromotion records that the platform has accepted a call, before which earlier was
// pending.
func (v View) acceptPromotion(id cluster.ServerID, earlier PendingPromotion, now time.Time) {
	p := v.PendingPromotions[id]
	p.Accepted = !earlier.possible(now)
	v.PendingPromotions[id] = p
}

// endPromotions removes the promotions that have taken effect. Kept any longer, they would
// forbid the election of another server.
func (v View) endPromotions() {
	for id, p := range v.PendingPromotions {
		status := v.Servers[id].Status
		if p.Accepted && status.Role == cluster.RolePrimary && status.Term > p.TermBefore {
			delete(v.PendingPromotions, id)
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
