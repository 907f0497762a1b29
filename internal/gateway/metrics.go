package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/rankmetric"
)

var (
	// retriesTotal counts the attempts after the first.
	retriesTotal = metrics.NewCounter("rattan_gateway_retries_total")
	// relaysTotal counts the requests sent to a home through another proxy.
	relaysTotal = metrics.NewCounter("rattan_gateway_relays_total")
	// refusedTotal counts the requests that were refused here because their home
	// had advised a wait, trialRequests those that were sent to it nevertheless
	// as trial requests.
	refusedTotal = rankmetric.New("rattan_gateway_refused_total", metrics.NewCounter)
	// quotaRefused and quotaTrials are the same for homes that refused operations of an
	// organisation for its quota.
	quotaRefused  = metrics.NewCounter("rattan_gateway_quota_refused_total")
	quotaTrials   = metrics.NewCounter("rattan_gateway_quota_probes_total")
	trialRequests = metrics.NewCounter("rattan_gateway_probes_total")
)
