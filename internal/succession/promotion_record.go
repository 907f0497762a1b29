package succession

import (
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/duty"
)

// remainingStep is the step to which a record rounds up the time for which a promotion may
// still take effect: the record is written again after each step.
const remainingStep = 500 * time.Millisecond

// PromotionCall is what a record states of the calls for the server that it names.
type PromotionCall struct {
	// TermBefore, Sole and Inherited are those of the PendingPromotion.
	TermBefore cluster.Term `json:"term_before,omitempty"`
	Sole       bool         `json:"sole,omitempty"`
	Inherited  bool         `json:"inherited,omitempty"`
	// RemainingMillis is the time in milliseconds for which the calls may still take effect
	// after the record was written, and so at most after it is read; zero if unknown.
	RemainingMillis int64 `json:"remaining_ms,omitempty"`
}

// announcedPromotion is a promotion by this process that is in progress, from before the record
// names its server until the platform's response. calls is what is pending with its call.
type announcedPromotion struct {
	server cluster.ServerID
	calls  PendingPromotion
}

// recorded returns the server that the group's record must name, empty if there is none, and
// what it states of the calls. announced is the promotion that is in progress, if any.
func (p PendingPromotions) recorded(announced *announcedPromotion, now time.Time) (cluster.ServerID, PromotionCall) {
	if announced != nil {
		return announced.server, announced.calls.recorded(maxPriorPromotionDelay)
	}
	var last cluster.ServerID
	for id, pending := range p {
		if pending.possible(now) && (last == "" || pending.Until.After(p[last].Until)) {
			last = id
		}
	}
	if last == "" {
		return "", PromotionCall{}
	}
	return last, p[last].recorded(p[last].Until.Sub(now))
}

// recorded returns what a record states of the calls if they may take effect for a time.
func (p PendingPromotion) recorded(remaining time.Duration) PromotionCall {
	return PromotionCall{
		TermBefore: p.TermBefore, Sole: p.Sole, Inherited: p.Inherited,
		RemainingMillis: ((remaining + remainingStep - 1) / remainingStep * remainingStep).Milliseconds(),
	}
}

// remaining returns how long after the record was read its promotion may still take effect.
// ended is the token of a holder that has ended, so that it has made its own call before.
func (r Record) remaining(ended duty.Token) time.Duration {
	remaining := maxPriorPromotionDelay
	if stated := r.Call.RemainingMillis; stated > 0 && stated < remaining.Milliseconds() {
		remaining = time.Duration(stated) * time.Millisecond
	}
	if r.Token == ended && !r.Call.Inherited {
		remaining = min(remaining, maxPromotionDelay)
	}
	return remaining
}
