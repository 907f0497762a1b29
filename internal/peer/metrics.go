package peer

import "github.com/VictoriaMetrics/metrics"

// dialsTotal counts the connections opened to peers.
var dialsTotal = metrics.NewCounter("rattan_peer_dials_total")
