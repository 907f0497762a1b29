package quota

import (
	"math"
	"time"
)

const (
	// creditTime is how long a home may use credits after it sent the last call that the
	// holder answered.
	creditTime = 6 * time.Second
	// forgetTime is how long after the last call of a home the dealer counts the home's
	// credits as outstanding. It exceeds creditTime by more than clocks differ in rate.
	forgetTime = creditTime + creditTime/100
	// clockMargin is the reciprocal of the share by which a dealer counts uses for longer
	// than the window, because clocks may differ in rate by 0.1%.
	clockMargin = 500
	// CallTime is the longest time from sending a report to accepting its reply. A dealer
	// that allocates only while its lease lasts longer than this allocates nothing that a
	// home accepts after the end of the lease.
	CallTime = 250 * time.Millisecond
)

// Bounds state how exactly quotas are kept.
type Bounds struct {
	// Window is the length of the sliding window in which operations are counted; zero
	// if quotas are not kept.
	Window time.Duration
	// Excess is the share by which the operations in a window may exceed the limit, and
	// Slack a number of operations in addition.
	Excess float64
	Slack  float64
}

// Limit limits the operations of an organisation: Rate operations a second, and Burst
// operations in addition. The zero value is no limit.
type Limit struct{ Rate, Burst float64 }

// base returns the operations in one window that are within the limit.
func (b Bounds) base(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// basis returns the number of credits, used in the last window or outstanding, that a
// dealer allows the fleet to have. It leaves half of the excess to a new dealer.
func (b Bounds) basis(l Limit) uint64 {
	return uint64(math.Floor(b.base(l)*(1+b.Excess/2) + b.Slack/2))
}

// allowance returns the number of credits that a new dealer may allocate in all to homes
// that are not entitled to them.
func (b Bounds) allowance(l Limit) uint64 {
	return uint64(math.Floor(b.base(l)*b.Excess/2 + b.Slack/2))
}

// settleTime is the time after which a new dealer knows all uses of the last window: the
// credits of homes that it has not heard of have expired, and their uses are past.
func (b Bounds) settleTime() time.Duration { return forgetTime + b.Window + b.Window/clockMargin }

// scale reduces a number of credits that are based on the given basis to another.
func scale(credits, basis, to uint64) uint64 {
	if to >= basis {
		return credits
	}
	return uint64(float64(credits) * float64(to) / float64(basis))
}
