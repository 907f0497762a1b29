// Package load drives a deployment with open-loop arrivals and judges the
// answers: latency by kind of work, outcomes, stale reads and orders that were
// lost or doubled. Arrivals follow a seed. Latency counts from the intended
// arrival, so a slow system cannot hide waiting time.
package load
