package catalog

import "github.com/VictoriaMetrics/metrics"

var storeRestores = metrics.NewCounter("rattan_catalog_store_restores_total")
