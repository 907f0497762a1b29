package quota

import "time"

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
