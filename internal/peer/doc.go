// Package peer carries requests, pings, probes and documents between the
// processes of one deployment over drpc.
//
// A drpc connection carries one call at a time, so a Client keeps a bounded
// pool of connections and a running statement has one to itself: statements
// neither queue behind each other nor end with each other. The pool owns idle
// connections; a call owns its connection until it returns it or closes it.
package peer
