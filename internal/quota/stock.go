package quota

import (
	"math"
	"sync"
	"time"
)

const (
	// stockSlices is the number of slices of the window in which a home counts uses.
	stockSlices = 25
	// olderSlices are further slices, so that a new dealer hears of the uses in the window
	// before it began.
	olderSlices = 10
	// demandSlices are the slices from which a home estimates its demand.
	demandSlices = 10
	// maxReserve is the number of credits that a home wants of an organisation that it
	// has served within keepTime, so that an occasional operation need not wait.
	maxReserve = 3
	keepTime   = 5 * time.Minute
	// exhaustedTime is how long a home relies on a reply that an organisation has reached
	// its limit or has none. It covers two lost calls.
	exhaustedTime = time.Second
	// maxWaiting bounds the operations of one organisation that wait for a credit, each of
	// which occupies a request of the home.
	maxWaiting = 250
	// reportInterval is the shortest time between two reports of an organisation that needs
	// no credits at once. Calls for others may be more frequent.
	reportInterval = 250 * time.Millisecond
	// callInterval is the time for which the credits of a home should last, since
	// the next regular call and its reply may take as long.
	callInterval = 350 * time.Millisecond
)

// Decision is the answer to an operation that asks for a credit.
type Decision struct {
	OK bool
	// Exhausted is set if the organisation has reached its limit, so that it is no use
	// to ask for credits at once.
	Exhausted bool
	// RetryAfter is the time to come back after a refusal.
	RetryAfter time.Duration
	// Ask is set if the home should ask for credits now.
	Ask bool
	// Ticket identifies the credit for a refund.
	Ticket Ticket
}

// Ticket identifies a credit that was taken.
type Ticket struct {
	sequence   uint64
	generation uint64
	at         time.Duration
	limited    bool
}

// Stock holds the credits of one home. It is safe for concurrent use.
type Stock struct {
	bounds      Bounds
	incarnation uint64
	random      func() float64

	mu sync.Mutex
	// sequence is that of the last report, which awaits its reply if awaiting is set.
	sequence uint64
	awaiting bool
	// dealer answered the last report; zero if it is unknown.
	dealer uint64
	// expiry is when the credits expire unless another call succeeds.
	expiry   time.Duration
	holdings map[string]*holding
}

// holding is what a Stock knows of one organisation.
type holding struct {
	limit Limit
	// basis is that of the credits held. While recentUntil is not reached, the recent
	// uses may be based on earlierBasis.
	basis, earlierBasis uint64
	recentUntil         time.Duration
	held, used          uint64
	// refunded credits were taken before the last report. They become held once a report
	// has told the dealer that they are outstanding again.
	refunded uint64
	// generation rises when credits expire or are reduced, after which those that were
	// taken before cannot be refunded.
	generation uint64
	uses       ring
	demand     ring
	// lastDemand is the time of the last operation.
	lastDemand time.Duration
	// refused counts the operations refused since the last accepted report; waiting
	// those that wait for a credit.
	refused, waiting uint64
	exhaustedUntil   time.Duration
	// reserve is the number of credits that the dealer lets the home keep.
	reserve        uint64
	retryAt        time.Duration
	unlimitedUntil time.Duration
	// sent is the last report, and settled is set once it was answered. dealt is what
	// the dealer then knows the home to hold.
	sent    Use
	sentAt  time.Duration
	settled bool
	dealt   uint64
	// sentRefunded and sentRefused are the parts of the last report that its reply settles.
	sentRefunded, sentRefused uint64
}

// NewStock returns an empty stock. random returns numbers in [0, 1).
func NewStock(bounds Bounds, incarnation uint64, random func() float64) *Stock {
	return &Stock{bounds: bounds, incarnation: incarnation, random: random, holdings: map[string]*holding{}}
}

// Take takes a credit for an operation of an organisation, at once. An organisation
// without a limit needs none.
func (s *Stock) Take(organisation string, now time.Duration) Decision {
	return s.take(organisation, now, true)
}

// TakeAgain is Take for an operation that has waited for a credit.
func (s *Stock) TakeAgain(organisation string, now time.Duration) Decision {
	return s.take(organisation, now, false)
}

func (s *Stock) take(organisation string, now time.Duration, first bool) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holdings[organisation]
	if h == nil || h.limit.Rate == 0 {
		return Decision{OK: true}
	}
	s.expire(now)
	if first {
		h.demand.add(now, now, 1)
		h.lastDemand = now
	}
	switch {
	case h.held > 0:
		h.held--
		h.used++
		h.uses.add(now, now, 1)
		return Decision{OK: true, Ticket: h.ticket(s.sequence, now), Ask: h.low(now)}
	case now < h.unlimitedUntil:
		return Decision{OK: true}
	}
	exhausted := now < h.exhaustedUntil
	return Decision{Exhausted: exhausted, RetryAfter: s.retryAfter(h, now), Ask: !exhausted}
}

func (h *holding) ticket(sequence uint64, now time.Duration) Ticket {
	return Ticket{sequence: sequence, generation: h.generation, at: now, limited: true}
}

// low reports whether the credits may not last until the reply to the next regular call.
func (h *holding) low(now time.Duration) bool {
	if now < h.exhaustedUntil {
		return false
	}
	span := demandSlices * h.demand.slice
	return h.held < h.demand.within(now, demandSlices)*uint64(callInterval/time.Millisecond)/uint64(span/time.Millisecond)
}

// retryAfter returns the time to come back, spread so that those refused do not all
// come back at once.
func (s *Stock) retryAfter(h *holding, now time.Duration) time.Duration {
	spread := time.Duration(s.random() * float64(s.bounds.Window) / 2)
	return max(h.retryAt-now, 0) + spread + time.Millisecond
}

// Refused records that an operation was refused for want of a credit.
func (s *Stock) Refused(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.holdings[organisation]; h != nil {
		h.refused++
	}
}

// Wait records that an operation begins to wait for a credit. It returns false if too
// many wait already.
func (s *Stock) Wait(organisation string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holdings[organisation]
	if h == nil || h.waiting >= maxWaiting {
		return false
	}
	h.waiting++
	return true
}

// EndWait records that an operation no longer waits for a credit.
func (s *Stock) EndWait(organisation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holdings[organisation].waiting--
}

// Refund gives back the credit of an operation that no server got. A credit whose use
// was already reported is held only after the dealer has been told.
func (s *Stock) Refund(organisation string, ticket Ticket, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.holdings[organisation]
	if h == nil || !ticket.limited {
		return
	}
	if s.expire(now); ticket.generation != h.generation {
		return
	}
	h.uses.remove(ticket.at, now)
	if ticket.sequence == s.sequence {
		h.used--
		h.held++
		return
	}
	h.refunded++
}

// expire drops all credits if no call has succeeded for creditTime.
func (s *Stock) expire(now time.Duration) {
	if now < s.expiry {
		return
	}
	for _, h := range s.holdings {
		h.reduce(0)
	}
}

// reduce drops all but the given number of credits, and those that wait to be held.
func (h *holding) reduce(held uint64) {
	h.held, h.refunded, h.sentRefunded = held, 0, 0
	h.generation++
}

// SetLimits sets the limits of organisations. The credits of one whose limit has fallen
// are reduced at once, because the dealer may not be reachable.
func (s *Stock) SetLimits(limits map[string]Limit, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for organisation, limit := range limits {
		if limit.Rate > 0 && s.holdings[organisation] == nil {
			slice := s.bounds.Window / stockSlices
			s.holdings[organisation] = &holding{
				limit: limit, basis: s.bounds.basis(limit), lastDemand: math.MinInt64 / 2, settled: true, reserve: maxReserve,
				uses: newRing(slice, stockSlices+olderSlices), demand: newRing(slice, stockSlices),
			}
		}
	}
	for organisation, h := range s.holdings {
		if limit := limits[organisation]; limit != h.limit {
			h.limit = limit
			h.rebase(s.bounds, now)
		}
	}
}

// rebase reduces the credits to what the limit allows.
func (h *holding) rebase(bounds Bounds, now time.Duration) {
	basis := uint64(0)
	if h.limit.Rate > 0 {
		basis = bounds.basis(h.limit)
	}
	if basis >= h.basis {
		return
	}
	h.reduce(scale(h.held, h.basis, basis))
	if now >= h.recentUntil || h.basis > h.earlierBasis {
		h.earlierBasis = h.basis
	}
	h.basis, h.recentUntil = basis, now+bounds.Window
}
