package quota

import (
	"math"
	"time"
)

// A ceiling restricts the credits of an organisation, used in the last window or
// outstanding, to less than its basis. It is recorded where the next dealer finds it, which
// may then allocate the rest of the basis at once, since homes that do not report to it have
// used no more than the ceiling. The ceiling that a dealer enforces is never above the
// recorded one: a lower one is enforced before it is recorded, a higher one after that.

const (
	// noCeiling stands for an organisation without a ceiling.
	noCeiling = math.MaxUint64
	// headroomDivisor is the reciprocal of the share of the basis by which a ceiling exceeds
	// the uses of a window. At 4 the next dealer has a window's operations at 0.4 of the
	// limit; at 8 homes were short of credits in normal operation.
	headroomDivisor = 4
	// calmTime is the time for which a ceiling must have been too high before it is lowered.
	calmTime = 10 * time.Second
	// ceilingInterval is the shortest time between two writes of changed ceilings, and
	// sampleInterval that between two samples of the uses.
	ceilingInterval = 2 * time.Second
	sampleInterval  = 100 * time.Millisecond
)

// ceiling is the ceiling of one organisation.
type ceiling struct {
	// enforced is the bound of the allocations, and recorded the lowest value that the record
	// may hold.
	enforced, recorded uint64
	// removal is set while the ceiling has to be removed from the record.
	removal bool
	// peak is the highest number of uses in a window since the time since, which is zero
	// before the first sample, and earlierPeak the highest in the calmTime before it.
	peak, earlierPeak uint64
	since             time.Duration
	// short is set when a home got fewer credits than it needed.
	short bool
}

// newCeiling returns the state without a ceiling.
func newCeiling() ceiling {
	return ceiling{enforced: noCeiling, recorded: noCeiling, earlierPeak: noCeiling}
}

// headroom returns the credits that a ceiling leaves above the uses of a window, at least
// enough for the reserves of all homes.
func (o *organisation) headroom() uint64 {
	return max(o.basis/headroomDivisor, 2*maxReserve*uint64(len(o.accounts)))
}

// sampleCeiling lowers the enforced ceiling, or asks for the removal of the recorded one.
func (o *organisation) sampleCeiling(now time.Duration) {
	c := &o.ceiling
	o.uses.advance(now)
	used := o.uses.total
	if c.since == 0 {
		c.since = now
	}
	if c.peak = max(c.peak, used); now-c.since >= calmTime {
		c.earlierPeak, c.peak, c.since = c.peak, used, now
	}
	// Half of the headroom is left when the removal is asked for, so that it is recorded
	// before the credits are needed.
	exceeded := c.enforced != noCeiling && (c.short || used+o.headroom()/2 > c.enforced)
	c.short = false
	if exceeded || o.limit.Rate == 0 {
		c.enforced, c.removal = c.recorded, c.recorded != noCeiling
		c.peak, c.earlierPeak, c.since = used, noCeiling, now
		return
	}
	peak := max(c.peak, c.earlierPeak)
	if peak >= o.basis || !o.needsCeiling() {
		return
	}
	// A difference of half of the headroom is worth a write.
	if lower := peak + o.headroom(); lower+o.headroom()/2 <= min(c.enforced, o.basis) {
		c.enforced, c.removal = lower, false
	}
}

// needsCeiling reports whether the next dealer's allowance does not serve half of the
// operations within the limit. The few credits of a smaller limit would not suffice for the
// reserves of the homes below a ceiling.
func (o *organisation) needsCeiling() bool {
	return 2*float64(o.dealer.bounds.allowance(o.limit)) < o.dealer.bounds.base(o.limit)
}

// lowered reports whether the enforced ceiling holds, and may be recorded in place of a higher
// one.
func (o *organisation) lowered(now time.Duration) bool {
	o.uses.advance(now)
	return o.ceiling.enforced < o.ceiling.recorded && o.uses.total+o.outstanding <= o.ceiling.enforced
}

// SetEarlierCeilings sets the ceilings that were recorded when this dealer replaced the
// record. It must be called before the first report.
func (d *Dealer) SetEarlierCeilings(ceilings map[string]uint64) { d.earlierCeilings = ceilings }

// CeilingsDue reports whether changed ceilings have to be recorded. A dealer that has not
// settled has none.
func (d *Dealer) CeilingsDue(now time.Duration) bool {
	if d.settle(now); !d.settled {
		return false
	}
	if now-d.sampledAt >= sampleInterval {
		d.sampledAt = now
		for _, o := range d.organisations {
			o.sampleCeiling(now)
		}
	}
	if now-d.plannedAt < ceilingInterval {
		return false
	}
	for _, o := range d.organisations {
		if o.ceiling.removal || o.lowered(now) {
			return true
		}
	}
	return d.unconfirmed
}

// Ceilings returns the ceilings that have to be recorded. Those of organisations that are
// not in it are removed. They may be recorded or not until RecordCeilings.
func (d *Dealer) Ceilings(now time.Duration) map[string]uint64 {
	d.plannedAt, d.unconfirmed = now, true
	ceilings := map[string]uint64{}
	for name, o := range d.organisations {
		c := &o.ceiling
		if o.lowered(now) {
			c.recorded = c.enforced
		}
		if c.recorded != noCeiling && !c.removal {
			ceilings[name] = c.recorded
		}
	}
	return ceilings
}

// RecordCeilings tells the dealer that the ceilings are recorded, and no others.
func (d *Dealer) RecordCeilings(ceilings map[string]uint64) {
	d.unconfirmed = false
	for name, o := range d.organisations {
		if _, ok := ceilings[name]; !ok && o.ceiling.removal {
			o.ceiling = newCeiling()
		}
	}
}
