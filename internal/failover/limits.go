package failover

import "time"

const (
	// standbyDelayStep is the extra time that each further warden leaves to those
	// before it.
	standbyDelayStep = 1500 * time.Millisecond
	// minFailures is the number of failed fresh connections in a row
	// that make a primary suspect.
	minFailures = 2
	// maxEvidenceAge is the age beyond which observations and reports do not
	// count.
	maxEvidenceAge = 2 * time.Second
	// observerQueryInterval is the time between two questions to the observers.
	observerQueryInterval = 500 * time.Millisecond
	// confirmationValidity is the time for which a confirmation allows to seal.
	confirmationValidity = time.Second
	// stepRetryInterval is the time between two tries of one step.
	stepRetryInterval = 100 * time.Millisecond
	// stepTimeout bounds each step of an attempt.
	stepTimeout = 1500 * time.Millisecond
	// competingAttemptWindow is the time that a warden leaves to another that has just
	// sealed servers.
	competingAttemptWindow = time.Second
	// minBackoff and backoffSpread bound the wait after a lost attempt.
	minBackoff       = 500 * time.Millisecond
	maxBackoffJitter = time.Second
	// repairRetryInterval is the time between two tries to make replicas follow.
	repairRetryInterval = 500 * time.Millisecond
	// stallTimeout is the time without any progress of replication, while the
	// primary writes, after which the primary counts as cut off from its
	// replicas.
	stallTimeout = 4 * time.Second
	// minStallFailoverInterval is the least time between two failovers for stalled replication.
	minStallFailoverInterval = time.Minute
	// minorityPromotionDelay is the time that a group stays without a majority
	// before the policy to promote all the same applies.
	minorityPromotionDelay = 3 * time.Second
	// maxCatchUpLagRecords is the lag at which a replica may take over from a
	// leaving primary, and catchUpFor bounds the wait for it.
	maxCatchUpLagRecords = 64
	catchUpTimeout       = 3 * time.Second
	// maxSwitchoverRetries is the number of hand-overs that give the group back to
	// the leaving primary because the replica lacked its last writes.
	maxSwitchoverRetries = 5
	// switchoverBackoff is the time between two hand-overs, times their number.
	switchoverBackoff = 300 * time.Millisecond
)
