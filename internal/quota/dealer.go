package quota

import (
	"time"
)

// Start is what a new dealer knows of earlier ones.
type Start uint8

const (
	// StartUnsettled is the start after a dealer that may have used its allowance.
	StartUnsettled Start = iota
	// StartSettled is the start after a dealer that had settled.
	StartSettled
	// StartFirst is the start where there was no dealer before.
	StartFirst
)

var startNames = [...]string{"after a dealer that had not settled", "after a dealer that had settled", "first dealer"}

// String returns the start as it is written in logs.
func (s Start) String() string { return startNames[s] }

// forgetInterval is the time between two searches for homes that have to be forgotten.
const forgetInterval = 100 * time.Millisecond

// Dealer allocates credits to homes. At each allocation the operations of an organisation
// that were reported within the last window and the credits outstanding at all homes are
// at most the basis of its limit, so that any window has at most that many operations.
// It is not safe for concurrent use.
type Dealer struct {
	bounds Bounds
	id     uint64
	start  Start
	// began is the time after which no earlier dealer allocates. The dealer settles when
	// it knows all uses of the last window.
	began   time.Duration
	settled bool
	// earlier holds the processes with credits of earlier dealers that have not reported;
	// closed those that are not homes any more, since a time; recorded those that the next
	// dealer will know of.
	earlier  map[Process]bool
	closed   map[Process]time.Duration
	recorded map[Process]bool
	// unseenUntil is the time until which uses of processes that have ended may be within
	// the last window.
	unseenUntil time.Duration
	// heard holds the incarnations of the homes that have reported.
	heard map[string]uint64

	limits        map[string]Limit
	organisations map[string]*organisation
	homes         map[string]*dealerHome
	forgottenAt   time.Duration

	// earlierCeilings are those that the earlier dealer recorded. plannedAt is the time of
	// the last record of ceilings, which is unconfirmed until its answer has come.
	earlierCeilings      map[string]uint64
	plannedAt, sampledAt time.Duration
	unconfirmed          bool
}

// dealerHome is what a dealer knows of one home.
type dealerHome struct {
	incarnation, sequence uint64
	seen                  time.Duration
	accounts              map[string]*account
}

// NewDealer returns a dealer with a unique identity that is not zero. No earlier dealer
// may allocate credits after the time at which it began. earlier are the processes that
// earlier dealers recorded, which remain recorded.
func NewDealer(bounds Bounds, id uint64, start Start, began time.Duration, earlier []Process) *Dealer {
	d := &Dealer{
		bounds: bounds, id: id, start: start, began: began, earlier: map[Process]bool{}, closed: map[Process]time.Duration{},
		heard: map[string]uint64{}, limits: map[string]Limit{}, organisations: map[string]*organisation{}, homes: map[string]*dealerHome{},
	}
	d.Record(earlier)
	for _, p := range earlier {
		d.earlier[p] = true
	}
	return d
}

// ID returns the identity of the dealer.
func (d *Dealer) ID() uint64 { return d.id }

// SetLimits sets the limits of organisations.
func (d *Dealer) SetLimits(limits map[string]Limit) {
	d.limits = limits
	for name, o := range d.organisations {
		if o.limit != limits[name] {
			o.setLimit(limits[name])
		}
	}
}

// setLimit sets the limit. Entitlements fall with the limit, but do not rise.
func (o *organisation) setLimit(limit Limit) {
	basis := uint64(0)
	if limit.Rate > 0 {
		basis = o.dealer.bounds.basis(limit)
	}
	o.entitled = scale(o.entitled, o.basis, basis)
	o.allowance = scale(o.allowance, o.basis, basis)
	o.limit, o.basis, o.levelAt = limit, basis, 0
}

// Settled reports whether the dealer knows all uses, and has no more credits of any
// organisation outstanding than allowed. The next dealer may then use its allowance.
func (d *Dealer) Settled(now time.Duration) bool {
	if d.settle(now); !d.settled {
		return false
	}
	for _, o := range d.organisations {
		o.uses.advance(now)
		if o.limit.Rate > 0 && o.uses.total+o.outstanding > o.basis {
			return false
		}
	}
	return true
}

// Handle answers the report of a home.
func (d *Dealer) Handle(home string, r Report, now time.Duration) Reply {
	d.settle(now)
	d.forget(now)
	h := d.homes[home]
	if h != nil && (r.Incarnation < h.incarnation || r.Incarnation == h.incarnation && r.Sequence <= h.sequence) {
		return Reply{} // a late report
	}
	if h != nil && r.Incarnation > h.incarnation {
		d.close(home, now)
		h = nil
	}
	if r.Dealer != 0 && (h == nil || r.Dealer != d.id) {
		return Reply{Dealer: d.id, Resend: true}
	}
	if h == nil {
		h = &dealerHome{incarnation: r.Incarnation, accounts: map[string]*account{}}
		d.homes[home] = h
	}
	h.sequence, h.seen = r.Sequence, now
	first := d.heard[home] != r.Incarnation
	d.heard[home] = r.Incarnation
	for i := range r.Uses {
		d.record(h, &r.Uses[i], first, now)
	}
	d.hear(Process{home, r.Incarnation}, now)
	return Reply{Dealer: d.id, Credits: d.credits(home, &r, now)}
}

// credits returns the credits for a home that has reported.
func (d *Dealer) credits(home string, r *Report, now time.Duration) []Credit {
	h := d.homes[home]
	if !d.recorded[Process{home, r.Incarnation}] {
		return nil
	}
	var credits []Credit
	mentioned := make(map[string]bool, len(r.Uses))
	for i := range r.Uses {
		use := &r.Uses[i]
		mentioned[use.Organisation] = true
		if c := d.allocate(h, use, now); c.Credits > 0 || c.Unlimited || c.Reserve < use.Held || use.Needed > 0 {
			credits = append(credits, c)
		}
	}
	for name, a := range h.accounts {
		switch o := a.organisation; {
		case mentioned[name]:
		case r.Dealer == 0:
			a.setOutstanding(0) // the home has none, so it did not get the last reply
			a.wanted = 0
		case a.wanted <= maxReserve && a.outstanding > o.currentLevel(now):
			// The home gives back what it does not use.
			credits = append(credits, Credit{Organisation: name, Basis: o.basis, Reserve: o.level})
		}
	}
	return credits
}

// forget closes the accounts of the homes that have not called for so long that their
// credits have expired.
func (d *Dealer) forget(now time.Duration) {
	if now-d.forgottenAt < forgetInterval {
		return
	}
	d.forgottenAt = now
	for name, h := range d.homes {
		if now-h.seen >= forgetTime {
			d.close(name, now)
		}
	}
}

func (d *Dealer) close(home string, now time.Duration) {
	for _, a := range d.homes[home].accounts {
		a.close(now)
	}
	d.closed[Process{home, d.homes[home].incarnation}] = now
	delete(d.homes, home)
}

// record takes over the report of one organisation. first is set if it is the first
// report of the process to this dealer.
func (d *Dealer) record(h *dealerHome, use *Use, first bool, now time.Duration) {
	a := h.accounts[use.Organisation]
	if a == nil {
		a = &account{organisation: d.organisation(use.Organisation), used: use.Used}
		a.organisation.accounts[a] = struct{}{}
		h.accounts[use.Organisation] = a
		if first && !d.settled {
			d.entitle(a, use, now)
		}
	}
	if use.Used > a.used {
		a.use(now, now, use.Used-a.used)
	}
	a.used, a.wanted = use.Used, use.Wanted
	a.setOutstanding(use.Held)
}

// entitle adds what a home had when the dealer began to what the dealer allows: the
// credits held, and the uses since a window before that time. The report was sent up to
// CallTime ago. Uses count by their time, at most one slice later than they were.
func (d *Dealer) entitle(a *account, use *Use, now time.Duration) {
	entitled := use.Held
	slice := d.bounds.Window / stockSlices
	for i, n := range use.Recent {
		a.use(max(now-time.Duration(max(i-1, 0))*slice, 0), now, n)
	}
	for i, n := range use.Recent {
		if time.Duration(i+1)*slice > d.bounds.Window+now-CallTime-d.began {
			break
		}
		entitled += n
	}
	a.organisation.entitled += scale(entitled, use.Basis, a.organisation.basis)
}

func (d *Dealer) organisation(name string) *organisation {
	o := d.organisations[name]
	if o == nil {
		o = &organisation{dealer: d, uses: newDealerRing(d.bounds), accounts: map[*account]struct{}{}}
		o.ceiling, o.earlierCeiling = newCeiling(), noCeiling
		if c, ok := d.earlierCeilings[name]; ok {
			o.earlierCeiling = c
		}
		if limit := d.limits[name]; limit.Rate > 0 {
			o.limit, o.basis = limit, d.bounds.basis(limit)
		}
		d.organisations[name] = o
	}
	return o
}
