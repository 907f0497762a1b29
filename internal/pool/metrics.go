package pool

import "github.com/VictoriaMetrics/metrics"

var (
	opensTotal         = metrics.NewCounter("rattan_pool_opens_total")
	replacedTotal      = metrics.NewCounter("rattan_pool_replaced_total")
	openFailuresTotal  = metrics.NewCounter("rattan_pool_open_failures_total")
	resetsTotal        = metrics.NewCounter("rattan_pool_resets_total")
	discardsTotal      = metrics.NewCounter("rattan_pool_discards_total")
	probeFailuresTotal = metrics.NewCounter("rattan_pool_probe_failures_total")
)
