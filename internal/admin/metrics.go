package admin

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countRequest counts a response by route and status code.
func countRequest(route string, status int) {
	name := fmt.Sprintf(`rattan_admin_requests_total{route=%q,status="%d"}`, route, status)
	metrics.GetOrCreateCounter(name).Inc()
}
