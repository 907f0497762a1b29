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
	credits := a.share(use.Needed, now)
	if !d.settled && credits < use.Needed {
		credits += o.extra(use.Needed - credits)
	}
	a.setOutstanding(a.outstanding + credits)
	o.ceiling.short = o.ceiling.short || credits < use.Needed
	c := Credit{Organisation: use.Organisation, Credits: credits, Basis: o.basis, Reserve: o.level}
	if credits < use.Needed && o.free(now)+o.allowance == 0 && (!d.settled || o.basis <= o.ceiling.enforced) {
		c.Exhausted, c.RetryAfter = true, o.retryAfter(now)
	}
	return c
}

// share returns the credits for a home: up to its fair target, and where it needs more at
// once a part of what is left, so that other homes find some too.
func (a *account) share(needed uint64, now time.Duration) uint64 {
	o := a.organisation
	free := o.free(now)
	target := min(a.wanted, o.level)
	credits := min(target-min(target, a.outstanding), free-min(free, o.allowed()/3, needReserve))
	if credits < needed {
		credits += min(needed-credits, (free-credits+1)/2)
	}
	return credits
}

// extra returns a part of the allowance for a home that needs credits at once, while the
// dealer does not know of all uses.
func (o *organisation) extra(needed uint64) uint64 {
	o.openAllowance()
	credits := min(needed, (o.allowance+3)/4)
	o.allowance -= credits
	o.entitled += credits
	return credits
}

// openAllowance sets the allowance once the limit is known.
func (o *organisation) openAllowance() {
	if !o.allowanceOpen && o.dealer.start == StartSettled {
		o.allowance = o.dealer.bounds.allowance(o.limit)
	}
	o.allowanceOpen = true
}

// retryAfter returns the time until the credits that homes miss may be available again.
func (o *organisation) retryAfter(now time.Duration) time.Duration {
	return o.uses.untilDropped(now, max(o.missing, 1))
}
