package failover

import "time"

const (
	// standbyDelayStep is the additional delay per standby index, in which the wardens
	// ahead can act first.
	standbyDelayStep = 1500 * time.Millisecond
	// minFailures is the minimum number of consecutive new connections that must fail
	// before a primary is replaced.
	minFailures = 2
	// maxEvidenceAge is the age beyond which observations and reports are ignored.
	maxEvidenceAge        = 2 * time.Second
	observerQueryInterval = 500 * time.Millisecond
	// confirmationValidity is how long after a confirmation seals may be requested.
	confirmationValidity = time.Second
	// stepRetryInterval is the delay before a step of an attempt is repeated.
	stepRetryInterval = 100 * time.Millisecond
	// stepTimeout limits each step of an attempt.
	stepTimeout = 1500 * time.Millisecond
	// competingAttemptWindow is how long this warden defers to another that has just
	// sealed servers.
	competingAttemptWindow = time.Second
	// minBackoff is the minimum backoff after an abandoned attempt, to which a random
	// duration below maxBackoffJitter is added.
	minBackoff       = 500 * time.Millisecond
	maxBackoffJitter = time.Second
	// repairRetryInterval is the delay before servers are ordered again to follow the
	// primary.
	repairRetryInterval = 500 * time.Millisecond
	// stallTimeout is the time without replication progress, while the primary writes,
	// after which the primary is considered partitioned from its replicas.
	stallTimeout = 4 * time.Second
	// minStallFailoverInterval is the minimum time between failovers due to stalled
	// replication.
	minStallFailoverInterval = time.Minute
	// minorityPromotionDelay is how long a group must be without a majority before the
	// policy that allows promotion without one applies.
	minorityPromotionDelay = 3 * time.Second
	// maxCatchUpLagRecords is the maximum lag at which a replica may take over from a
	// leaving primary, and catchUpTimeout limits the wait for it.
	maxCatchUpLagRecords = 64
	catchUpTimeout       = 3 * time.Second
	// maxSwitchoverRetries is the number of switchover attempts in which the leaving
	// primary may be elected again because the candidate lacks its last writes. After
	// that, it is avoided.
	maxSwitchoverRetries = 5
	// switchoverBackoff, multiplied by the number of attempts, is the delay between
	// switchover attempts.
	switchoverBackoff = 300 * time.Millisecond
)
