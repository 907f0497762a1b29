package providerclient

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/provider"
)

// callMetrics holds the metrics for one method of one service.
type callMetrics struct {
	calls    *metrics.Counter
	failures *metrics.Counter
	duration *metrics.Histogram
}

func newCallMetrics(service, method string) *callMetrics {
	labels := fmt.Sprintf(`{service=%q,call=%q}`, service, method)
	return &callMetrics{
		calls:    metrics.GetOrCreateCounter("rattan_platform_calls_total" + labels),
		failures: metrics.GetOrCreateCounter("rattan_platform_failures_total" + labels),
		duration: metrics.GetOrCreateHistogram("rattan_platform_call_seconds" + labels),
	}
}

// run calls fn with a deadline and records the call. A conflict and a missing row
// or object are valid responses of the service and are not counted as failures.
func (c *callMetrics) run(ctx context.Context, timeout time.Duration, fn func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	err := fn(ctx)
	c.calls.Inc()
	c.duration.UpdateDuration(start)
	if err != nil && !errors.Is(err, provider.ErrConflict) && !errors.Is(err, provider.ErrNotFound) {
		c.failures.Inc()
	}
	return err
}
