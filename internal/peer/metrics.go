package peer

import "github.com/VictoriaMetrics/metrics"

// peerDials counts connections opened to peers.
var peerDials = metrics.NewCounter("rattan_peer_dials_total")
