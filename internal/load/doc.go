// Package load generates open-loop load against a deployment and checks the
// results: latency by kind of request, outcomes, stale reads, and orders that
// were lost or executed twice. A seed determines the arrivals. Latency is
// measured from the intended send time, so that queueing in a slow system is
// included (no coordinated omission).
package load
