package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/cluster"
)

var (
	// gatewayRetries counts attempts after the first.
	gatewayRetries = metrics.NewCounter("rattan_gateway_retries_total")
	// gatewayRelays counts requests sent to a home through another proxy.
	gatewayRelays = metrics.NewCounter("rattan_gateway_relays_total")
	// refusedTotal counts requests refused here because their home had advised
	// to wait, probesTotal those sent to it all the same.
	refusedTotal = rankCounters("rattan_gateway_refused_total")
	probesTotal  = metrics.NewCounter("rattan_gateway_probes_total")
)

func rankCounters(name string) [cluster.RankCount]*metrics.Counter {
	var counters [cluster.RankCount]*metrics.Counter
	for r := range cluster.Rank(cluster.RankCount) {
		counters[r] = metrics.NewCounter(name + `{rank="` + r.String() + `"}`)
	}
	return counters
}
