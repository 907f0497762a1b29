package warden

import "github.com/VictoriaMetrics/metrics"

var (
	monitoredGroups     = metrics.NewCounter(`rattan_warden_groups`)
	connectionsReplaced = metrics.NewCounter(`rattan_warden_paths_replaced_total`)
)
