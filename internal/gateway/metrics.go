package gateway

import "github.com/VictoriaMetrics/metrics"

var (
	// gatewayRetries counts attempts after the first.
	gatewayRetries = metrics.NewCounter("rattan_gateway_retries_total")
	// gatewayRelays counts requests sent to a home through another proxy.
	gatewayRelays = metrics.NewCounter("rattan_gateway_relays_total")
)
