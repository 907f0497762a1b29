package quota

import "time"

// Report tells a dealer about the credits of one home.
type Report struct {
	// Sequence rises with each report, Incarnation with each process of the same name.
	Sequence, Incarnation uint64
	// Dealer identifies the dealer that answered the last report. If it is zero, the
	// report names all organisations with credits or uses, else those with a change.
	Dealer uint64
	Uses   []Use
}

// Use is a home's use of the credits of one organisation.
type Use struct {
	Organisation string
	// Used counts the credits used since the process started. It never falls, so that a
	// lost report changes nothing.
	Used uint64
	// Held is the number of credits that the home has and will not give back.
	Held uint64
	// Wanted is the number of credits that the home expects to need within a window.
	Wanted uint64
	// Needed counts the operations that wait for a credit or were refused for want of one.
	Needed uint64
	// Recent counts the credits used in the last slices of time, of which a window has
	// stockSlices, newest first, and
	// Basis is the number of credits of the fleet on which Held and Recent are based.
	// They are set only in a report to an unknown dealer.
	Recent []uint64
	Basis  uint64
}

// Reply answers a Report.
type Reply struct {
	// Dealer identifies the dealer; zero if it ignored the report.
	Dealer uint64
	// Resend is set if the dealer needs a report of all organisations.
	Resend  bool
	Credits []Credit
}

// Credit is the part of a Reply for one organisation.
type Credit struct {
	Organisation string
	Credits      uint64
	// Exhausted is set while the organisation has reached its limit. RetryAfter is the
	// time until enough of its uses have left the window.
	Exhausted  bool
	RetryAfter time.Duration
	// Reserve is the number of credits that a home may keep without a demand.
	Reserve uint64
	// Basis is the number of credits that the dealer lets the fleet have.
	Basis uint64
	// Unlimited is set if the dealer knows no limit for the organisation.
	Unlimited bool
}
