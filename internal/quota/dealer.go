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
	// settlesAt is the time at which the dealer knows all uses of the last window, and
	// settled is set from then on.
	settlesAt time.Duration
	settled   bool

	limits        map[string]Limit
	organisations map[string]*organisation
	homes         map[string]*dealerHome
	forgottenAt   time.Duration
}

// dealerHome is what a dealer knows of one home.
type dealerHome struct {
	incarnation, sequence uint64
	seen                  time.Duration
	accounts              map[string]*account
}

// NewDealer returns a dealer with a unique identity that is not zero. No earlier dealer
// may allocate credits after now.
func NewDealer(bounds Bounds, id uint64, start Start, now time.Duration) *Dealer {
	d := &Dealer{
		bounds: bounds, id: id, start: start, settlesAt: now + bounds.settleTime(), settled: start == StartFirst,
		limits: map[string]Limit{}, organisations: map[string]*organisation{}, homes: map[string]*dealerHome{},
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
			o.setLimit(d, limits[name])
		}
	}
}

// setLimit sets the limit. Entitlements fall with the limit, but do not rise.
func (o *organisation) setLimit(d *Dealer, limit Limit) {
	basis := uint64(0)
	if limit.Rate > 0 {
		basis = d.bounds.basis(limit)
	}
	for a := range o.accounts {
		a.entitled = scale(a.entitled, o.basis, basis)
	}
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

func (d *Dealer) settle(now time.Duration) {
	if d.settled || now < d.settlesAt {
		return
	}
	d.settled = true
	for _, o := range d.organisations {
		for a := range o.accounts {
			a.uses = ring{}
		}
	}
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
	for i := range r.Uses {
		d.record(h, &r.Uses[i], r.Dealer == 0, now)
	}
	return Reply{Dealer: d.id, Credits: d.credits(h, &r, now)}
}

// credits returns the credits for a home that has reported.
func (d *Dealer) credits(h *dealerHome, r *Report, now time.Duration) []Credit {
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
	delete(d.homes, home)
}

// record takes over the report of one organisation. full is set if the report names all
// organisations.
func (d *Dealer) record(h *dealerHome, use *Use, full bool, now time.Duration) {
	a := h.accounts[use.Organisation]
	if a == nil {
		a = d.open(h, use, full, now)
	}
	if use.Used > a.used {
		a.use(now, now, use.Used-a.used)
	}
	a.used, a.wanted = use.Used, use.Wanted
	a.setOutstanding(use.Held)
}

// open opens an account. The uses before the first report of a home count by their time,
// at most one slice later than they were.
func (d *Dealer) open(h *dealerHome, use *Use, full bool, now time.Duration) *account {
	o := d.organisation(use.Organisation)
	a := &account{organisation: o}
	o.accounts[a] = struct{}{}
	h.accounts[use.Organisation] = a
	if !full {
		a.openRing(d)
		return a
	}
	a.used = use.Used
	if d.settled {
		return a // all uses are counted already or have left the window
	}
	a.openRing(d)
	a.entitled = use.Held
	slice := d.bounds.Window / stockSlices
	for i, n := range use.Recent {
		a.entitled += n
		a.use(max(now-time.Duration(max(i-1, 0))*slice, 0), now, n)
	}
	a.entitled = scale(a.entitled, use.Basis, o.basis)
	return a
}

func (a *account) openRing(d *Dealer) {
	if !d.settled {
		a.uses = newDealerRing(d.bounds)
	}
}

func (d *Dealer) organisation(name string) *organisation {
	o := d.organisations[name]
	if o == nil {
		o = &organisation{name: name, uses: newDealerRing(d.bounds), accounts: map[*account]struct{}{}}
		if limit := d.limits[name]; limit.Rate > 0 {
			o.limit, o.basis = limit, d.bounds.basis(limit)
		}
		d.organisations[name] = o
	}
	return o
}
