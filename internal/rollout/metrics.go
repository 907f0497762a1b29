package rollout

import "github.com/VictoriaMetrics/metrics"

var (
	installs            = metrics.NewCounter("rattan_document_installs_total")
	fetchFailures       = metrics.NewCounter("rattan_document_fetch_failures_total")
	pointerReadFailures = metrics.NewCounter("rattan_document_look_failures_total")
	peerFetches         = metrics.NewCounter(`rattan_document_fetches_total{from="peer"}`)
	storeFetches        = metrics.NewCounter(`rattan_document_fetches_total{from="objects"}`)
)
