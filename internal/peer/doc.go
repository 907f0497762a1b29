// Package peer is the RPC between the processes of one deployment: requests, pings,
// probes and documents over drpc.
//
// A drpc connection carries one call at a time, so a Client keeps a bounded pool
// of connections and each call uses one exclusively: a statement neither waits
// for another one nor fails with it. The pool owns the idle connections; a call
// owns its connection until it returns or closes it.
package peer
