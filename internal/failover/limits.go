package failover

import "time"

const (
	// orderDelay is the extra time that each further warden leaves to those
	// before it.
	orderDelay = 1500 * time.Millisecond
	// failuresToSuspect is the number of failed fresh connections in a row
	// that make a primary suspect.
	failuresToSuspect = 2
	// evidenceFor is the age beyond which observations and reports do not
	// count.
	evidenceFor = 2 * time.Second
	// askInterval is the time between two questions to the observers.
	askInterval = 500 * time.Millisecond
	// confirmFor is the time for which a confirmation allows to seal.
	confirmFor = time.Second
	// stepInterval is the time between two tries of one step.
	stepInterval = 100 * time.Millisecond
	// stepWindow bounds each step of an attempt.
	stepWindow = 1500 * time.Millisecond
	// giveWayFor is the time that a warden leaves to another that has just
	// sealed servers.
	giveWayFor = time.Second
	// backoffLeast and backoffSpread bound the wait after a lost attempt.
	backoffLeast  = 500 * time.Millisecond
	backoffSpread = time.Second
	// repairInterval is the time between two tries to make replicas follow.
	repairInterval = 500 * time.Millisecond
	// stallAfter is the time without any progress of replication, while the
	// primary writes, after which the primary counts as cut off from its
	// replicas.
	stallAfter = 4 * time.Second
	// stallPause is the least time between two failovers for stalled replication.
	stallPause = time.Minute
	// withoutMajorityAfter is the time that a group stays without a majority
	// before the policy to promote all the same applies.
	withoutMajorityAfter = 3 * time.Second
	// catchUpRecords is the lag at which a replica may take over from a
	// leaving primary, and catchUpFor bounds the wait for it.
	catchUpRecords = 64
	catchUpFor     = 3 * time.Second
	// handOverTries is the number of hand-overs that give the group back to
	// the leaving primary because the replica lacked its last writes.
	handOverTries = 5
	// handOverPause is the time between two hand-overs, times their number.
	handOverPause = 300 * time.Millisecond
)
