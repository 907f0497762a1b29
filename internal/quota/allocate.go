package quota

import "time"

// needReserve is the number of credits, or a third of all if that is less, that only
// homes with an immediate need get. A limit of one operation a second leaves 15 credits,
// which would otherwise all be held by homes that have no use for them at the moment.
const needReserve = 8

// allocate allocates credits to a home that reported.
func (d *Dealer) allocate(h *dealerHome, use *Use, now time.Duration) Credit {
	a := h.accounts[use.Organisation]
	o := a.organisation
	if o.limit.Rate == 0 {
		return Credit{Organisation: use.Organisation, Unlimited: true}
	}
	o.updateLevel(now)
	var credits uint64
	if d.settled {
		credits = a.share(use.Needed, now)
	} else {
		o.openAllowance(d)
		credits = a.entitlement(use.Needed, now)
	}
	a.setOutstanding(a.outstanding + credits)
	c := Credit{Organisation: use.Organisation, Credits: credits, Basis: o.basis, Reserve: o.level}
	if left := d.left(o, now); credits < use.Needed && left == 0 {
		c.Exhausted, c.RetryAfter = true, o.retryAfter(now)
	}
	return c
}

// left returns the credits that are left for homes that need some at once.
func (d *Dealer) left(o *organisation, now time.Duration) uint64 {
	if d.settled {
		return o.free(now)
	}
	return o.allowance
}

// share returns the credits for a home: up to its fair target, and where it needs more at
// once a part of what is left, so that other homes find some too.
func (a *account) share(needed uint64, now time.Duration) uint64 {
	o := a.organisation
	free := o.free(now)
	target := min(a.wanted, o.level)
	credits := min(target-min(target, a.outstanding), free-min(free, o.basis/3, needReserve))
	if credits < needed {
		credits += min(needed-credits, (free-credits+1)/2)
	}
	return credits
}

// entitlement returns the credits for a home while the dealer does not know of all uses:
// the home may have what it was seen to have, and a part of the allowance.
func (a *account) entitlement(needed uint64, now time.Duration) uint64 {
	o := a.organisation
	a.uses.advance(now)
	target := max(a.wanted, a.outstanding+needed)
	taken := a.uses.total + a.outstanding
	credits := min(target-a.outstanding, a.entitled-min(a.entitled, taken))
	if credits < needed {
		extra := min(needed-credits, (o.allowance+3)/4)
		o.allowance -= extra
		a.entitled += extra
		credits += extra
	}
	return credits
}

// openAllowance sets the allowance once the limit is known.
func (o *organisation) openAllowance(d *Dealer) {
	if !o.allowanceOpen && d.start == StartSettled {
		o.allowance = d.bounds.allowance(o.limit)
	}
	o.allowanceOpen = true
}

// retryAfter returns the time until the credits that homes miss may be available again.
func (o *organisation) retryAfter(now time.Duration) time.Duration {
	return o.uses.untilDropped(now, max(o.missing, 1))
}
