package succession

import "github.com/VictoriaMetrics/metrics"

var replaySwitchoversTotal = metrics.NewCounter("rattan_succession_replay_switchovers_total")
