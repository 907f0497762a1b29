package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/rankmetric"
)

var (
	// gatewayRetries counts attempts after the first.
	gatewayRetries = metrics.NewCounter("rattan_gateway_retries_total")
	// gatewayRelays counts requests sent to a home through another proxy.
	gatewayRelays = metrics.NewCounter("rattan_gateway_relays_total")
	// refusedRequests counts requests refused here because their home had advised
	// to wait, probesTotal those sent to it all the same.
	refusedRequests = rankmetric.New("rattan_gateway_refused_total", metrics.NewCounter)
	gatewayProbes   = metrics.NewCounter("rattan_gateway_probes_total")
)
