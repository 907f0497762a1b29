// Package warden monitors the database groups for which this process is
// responsible and replaces their primaries through package failover.
//
// A Warden runs one loop for each group to which it is assigned; several wardens
// are assigned to each group, in a fixed order. The loop polls the status of each
// server of the group and probes it on new connections. A connection without a
// response is closed and replaced, so that a broken network path is not mistaken for
// a failed server. The first warden of a group keeps one control connection to each
// server; the others, on standby, open one for each status call, because servers
// allow few control connections. All loops end with the context of Run.
package warden
