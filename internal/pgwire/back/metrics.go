package back

import "github.com/VictoriaMetrics/metrics"

var (
	opensTotal      = metrics.NewCounter("rattan_backend_opens_total")
	openErrors      = metrics.NewCounter("rattan_backend_open_errors_total")
	exchangesTotal  = metrics.NewCounter("rattan_backend_exchanges_total")
	exchangeErrors  = metrics.NewCounter("rattan_backend_exchange_errors_total")
	exchangeSeconds = metrics.NewHistogram("rattan_backend_exchange_seconds")
	sentBytes       = metrics.NewCounter("rattan_backend_sent_bytes_total")
	receivedBytes   = metrics.NewCounter("rattan_backend_received_bytes_total")
	cancelsTotal    = metrics.NewCounter("rattan_backend_cancels_total")
	orderRepeats    = metrics.NewCounter("rattan_backend_order_repeats_total")
)
