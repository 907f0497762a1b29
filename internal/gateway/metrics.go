package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/rankmetric"
)

var (
	// gatewayRetries counts the attempts after the first.
	gatewayRetries = metrics.NewCounter("rattan_gateway_retries_total")
	// gatewayRelays counts the requests sent to a home through another proxy.
	gatewayRelays = metrics.NewCounter("rattan_gateway_relays_total")
	// refusedRequests counts the requests that were refused here because their home
	// had advised a wait, gatewayProbes those that were sent to it as probes
	// nevertheless.
	refusedRequests = rankmetric.New("rattan_gateway_refused_total", metrics.NewCounter)
	gatewayProbes   = metrics.NewCounter("rattan_gateway_probes_total")
)
