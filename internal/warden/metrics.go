package warden

import "github.com/VictoriaMetrics/metrics"

var (
	groupsWatched = metrics.NewCounter(`rattan_warden_groups`)
	pathsReplaced = metrics.NewCounter(`rattan_warden_paths_replaced_total`)
)
