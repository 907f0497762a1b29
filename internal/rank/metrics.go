package rank

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/rankmetric"
)

var (
	grantedTotal = rankmetric.New("rattan_rank_granted_total", metrics.NewCounter)
	refusedTotal = rankmetric.New("rattan_rank_refused_total", metrics.NewCounter)
	expiredTotal = rankmetric.New("rattan_rank_expired_total", metrics.NewCounter)
	slotSeconds  = rankmetric.New("rattan_rank_slot_seconds_total", metrics.NewFloatCounter)
)
