package quota

import (
	"math"
	"time"
)

// Report returns what the dealer has to know. The reply to an earlier report is not
// accepted any more. Credits that the home no longer needs are given back.
func (s *Stock) Report(now time.Duration) Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	s.sequence++
	s.awaiting = true
	r := Report{Sequence: s.sequence, Incarnation: s.incarnation, Dealer: s.dealer}
	for organisation, h := range s.holdings {
		if use, changed := s.use(organisation, h, now); changed {
			r.Uses = append(r.Uses, use)
		}
	}
	return r
}

// use returns the report of one organisation, and whether the dealer has to know it.
func (s *Stock) use(organisation string, h *holding, now time.Duration) (Use, bool) {
	wanted := h.wanted(s.bounds, now)
	// A quarter more is kept, so that credits are not sent to and fro with small changes
	// of the demand.
	if keep := wanted + wanted/4; h.held > keep {
		h.held = keep
	}
	use := Use{
		Organisation: organisation, Used: h.used, Held: h.held + h.refunded, Wanted: wanted, Needed: h.waiting + h.refused,
	}
	changed := use.Used != h.sent.Used || use.Held != h.dealt || use.Wanted != h.sent.Wanted || use.Held < use.Wanted
	changed = !h.settled || use.Needed > 0 || changed && (now-h.sentAt >= reportInterval || h.low(now))
	if s.dealer == 0 {
		use.Recent, use.Basis = h.uses.recent(now), h.basis
		if now < h.recentUntil {
			use.Basis = max(h.basis, h.earlierBasis)
		}
		changed = use.Used > 0 || use.Held > 0 || use.Wanted > 0 || use.Needed > 0
	}
	if changed {
		h.sent, h.sentAt, h.settled = use, now, false
		h.sentRefunded, h.sentRefused = h.refunded, h.refused
	}
	return use, changed
}

// wanted returns the credits that the home expects to need in a window at the rate of the
// last demand.
func (h *holding) wanted(bounds Bounds, now time.Duration) uint64 {
	if h.limit.Rate == 0 {
		return 0
	}
	span := demandSlices * h.demand.slice
	rate := float64(h.demand.within(now, demandSlices)) / span.Seconds()
	wanted := min(uint64(math.Ceil(rate*bounds.Window.Seconds())), bounds.basis(h.limit))
	if now-h.lastDemand < keepTime {
		wanted = max(wanted, min(maxReserve, h.reserve))
	}
	return wanted
}

// Accept adds the credits of the reply to a report that was sent at sentAt. It ignores a
// reply that is late, because a later report has told the dealer that the credits are
// not held.
func (s *Stock) Accept(report Report, reply Reply, sentAt, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.awaiting || report.Sequence != s.sequence || now-sentAt > CallTime || reply.Dealer == 0 {
		return
	}
	s.awaiting = false
	if reply.Resend {
		s.dealer = 0
		return
	}
	s.expire(now)
	s.dealer = reply.Dealer
	s.expiry = sentAt + creditTime
	for _, use := range report.Uses {
		s.holdings[use.Organisation].answered()
	}
	for _, c := range reply.Credits {
		if h := s.holdings[c.Organisation]; h != nil {
			h.accept(c, s.bounds, now)
		}
	}
}

// answered records that the dealer has the last report.
func (h *holding) answered() {
	h.settled = true
	h.dealt = h.sent.Held
	h.held += h.sentRefunded
	h.refunded -= h.sentRefunded
	h.refused -= h.sentRefused
	h.sentRefunded, h.sentRefused = 0, 0
}

func (h *holding) accept(c Credit, bounds Bounds, now time.Duration) {
	h.dealt += c.Credits
	h.held += c.Credits
	h.exhaustedUntil, h.unlimitedUntil = 0, 0
	if c.Exhausted {
		h.exhaustedUntil = now + exhaustedTime
	}
	h.reserve = c.Reserve
	h.retryAt = now + c.RetryAfter
	if c.Unlimited {
		h.unlimitedUntil = now + exhaustedTime
		return
	}
	// The dealer may not have the configuration that lowered the limit yet.
	h.basis = max(h.basis, c.Basis)
	h.rebase(bounds, now)
}

// Share is what a home has of an organisation's limit.
type Share struct {
	Held, Wanted, UsedInWindow uint64
	// AnswerAge is the time since the last call that a dealer answered was sent.
	AnswerAge time.Duration
}

// Share returns what the home has of the limit of an organisation.
func (s *Stock) Share(organisation string, now time.Duration) Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holdings[organisation]
	if h == nil {
		return Share{}
	}
	return Share{
		Held: h.held, Wanted: h.wanted(s.bounds, now), UsedInWindow: h.uses.within(now, stockSlices),
		AnswerAge: now - (s.expiry - creditTime),
	}
}

// Empty reports whether the stock has nothing to tell a dealer.
func (s *Stock) Empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holdings {
		if !h.settled || h.used != h.sent.Used || h.held+h.refunded+h.waiting+h.refused > 0 {
			return false
		}
	}
	return true
}
