package quota

import (
	"slices"
	"time"
)

const (
	// dealerSlices is the number of slices of the window in which a dealer counts uses.
	// A use counts for up to one slice longer than the window.
	dealerSlices = 100
	// targetShare is the share of the credits left that all homes may have together
	// without an immediate need. The rest is for homes that take over a group.
	targetShare = 0.7
	// levelInterval is the time between two computations of the fair level.
	levelInterval = 100 * time.Millisecond
)

// account is what a dealer knows of the credits of one home and organisation.
type account struct {
	organisation *organisation
	// used is the count of the last report.
	used uint64
	// outstanding counts the credits that the home may hold: those that it last reported
	// and those allocated since.
	outstanding uint64
	wanted      uint64
}

// organisation is what a dealer knows of one organisation.
type organisation struct {
	dealer *Dealer
	limit  Limit
	// basis is the number of credits of the fleet. A new dealer allows as many as homes
	// reported to have, entitled, and may add what is left of the allowance.
	basis, entitled, allowance uint64
	allowanceOpen              bool
	// ceiling is the dealer's own, and earlierCeiling the one that the earlier dealer recorded.
	ceiling        ceiling
	earlierCeiling uint64
	// uses counts the reported uses, and outstanding all outstanding credits.
	uses        ring
	outstanding uint64
	accounts    map[*account]struct{}
	// level is the number of credits to which homes that want more are limited, and
	// missing the number of credits that homes want and do not have, as of levelAt.
	level, missing uint64
	levelAt        time.Duration
}

// newDealerRing returns a ring that counts each event for at least the window, by any
// clock that differs by at most the margin.
func newDealerRing(bounds Bounds) ring {
	window := bounds.Window + bounds.Window/clockMargin
	return newRing(window/dealerSlices+1, dealerSlices+1)
}

// allowed returns the number of credits that may be used in a window or outstanding.
func (o *organisation) allowed() uint64 {
	if o.dealer.settled {
		return min(o.basis, o.ceiling.enforced)
	}
	return o.entitled + o.basis - min(o.basis, o.earlierCeiling)
}

// free returns the credits that are left.
func (o *organisation) free(now time.Duration) uint64 {
	o.uses.advance(now)
	taken := o.uses.total + o.outstanding
	return o.allowed() - min(taken, o.allowed())
}

// updateLevel computes the max-min fair level: targets are the smaller of what a home
// wants and the level, and all targets together take targetShare of the credits that are
// not used.
func (o *organisation) updateLevel(now time.Duration) {
	if o.levelAt != 0 && now-o.levelAt < levelInterval {
		return
	}
	o.levelAt = now
	wants := make([]uint64, 0, len(o.accounts))
	o.missing = 0
	for a := range o.accounts {
		if a.wanted > 0 {
			wants = append(wants, a.wanted)
		}
		o.missing += a.wanted - min(a.wanted, a.outstanding)
	}
	slices.Sort(wants)
	o.uses.advance(now)
	left := uint64(targetShare * float64(o.allowed()-min(o.allowed(), o.uses.total)))
	o.level = left
	for i, w := range wants {
		homes := uint64(len(wants) - i)
		if w*homes > left {
			o.level = left / homes
			return
		}
		left -= w
	}
}

// currentLevel returns the fair level.
func (o *organisation) currentLevel(now time.Duration) uint64 {
	o.updateLevel(now)
	return o.level
}

// setOutstanding records the outstanding credits of an account.
func (a *account) setOutstanding(credits uint64) {
	a.organisation.outstanding += credits - a.outstanding // modulo 2^64
	a.outstanding = credits
}

// use records uses at a time.
func (a *account) use(at, now time.Duration, credits uint64) {
	if credits == 0 {
		return
	}
	a.organisation.uses.add(at, now, credits)
}

// close counts the outstanding credits as used, since the home may have used them, and
// removes the account.
func (a *account) close(now time.Duration) {
	o := a.organisation
	o.uses.add(now, now, a.outstanding)
	a.setOutstanding(0)
	delete(o.accounts, a)
}
