package rank

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/rattancove/rattancove/internal/cluster"
)

var (
	grantedTotal = rankCounters("rattan_rank_granted_total")
	refusedTotal = rankCounters("rattan_rank_refused_total")
	expiredTotal = rankCounters("rattan_rank_expired_total")
	slotSeconds  = rankFloatCounters("rattan_rank_slot_seconds_total")
)

func rankCounters(name string) [cluster.RankCount]*metrics.Counter {
	var counters [cluster.RankCount]*metrics.Counter
	for r := range cluster.Rank(cluster.RankCount) {
		counters[r] = metrics.NewCounter(name + `{rank="` + r.String() + `"}`)
	}
	return counters
}

func rankFloatCounters(name string) [cluster.RankCount]*metrics.FloatCounter {
	var counters [cluster.RankCount]*metrics.FloatCounter
	for r := range cluster.Rank(cluster.RankCount) {
		counters[r] = metrics.NewFloatCounter(name + `{rank="` + r.String() + `"}`)
	}
	return counters
}
