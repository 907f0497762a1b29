package front

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rankmetric"
)

// outcomeServerError is the outcome of requests for which the server returned an
// error.
const outcomeServerError = "server error"

var (
	callersAccepted = metrics.NewCounter("rattan_front_callers_accepted_total")
	callersRefused  = metrics.NewCounter("rattan_front_callers_refused_total")
	messagesRefused = metrics.NewCounter("rattan_front_messages_refused_total")
	cancelRequests  = metrics.NewCounter("rattan_front_cancel_requests_total")
	callersOpen     = metrics.NewCounter("rattan_front_callers")
	requestSeconds  = rankmetric.New("rattan_front_request_seconds", metrics.NewHistogram)
	requestCounts   [cluster.RankCount]map[string]*metrics.Counter
)

func init() {
	outcomes := []string{
		outcomeServerError,
		errcode.OutcomeDone.String(),
		errcode.OutcomeNotRun.String(),
		errcode.OutcomeUnknown.String(),
	}
	for r := range cluster.Rank(cluster.RankCount) {
		requestCounts[r] = make(map[string]*metrics.Counter)
		for _, o := range outcomes {
			name := fmt.Sprintf("rattan_front_requests_total{rank=%q,outcome=%q}", r, o)
			requestCounts[r][o] = metrics.NewCounter(name)
		}
	}
}
