package failover

import "github.com/VictoriaMetrics/metrics"

var (
	attemptsTotal  = metrics.NewCounter(`rattan_failover_attempts_total`)
	completedTotal = metrics.NewCounter(`rattan_failover_completed_total`)
	gapSeconds     = metrics.NewHistogram(`rattan_failover_gap_seconds`)
	storeWrites    = metrics.NewCounter(`rattan_failover_store_writes_total`)
	recordsDropped = metrics.NewCounter(`rattan_failover_records_dropped_total`)
	probesTotal    = metrics.NewCounter(`rattan_failover_probes_total`)
)
