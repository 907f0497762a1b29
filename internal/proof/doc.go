// Package proof holds simulation tests that run a whole fleet in virtual time:
// eight proxies, three wardens and three database groups under random faults, with
// sessions that send each request through another proxy. The histories of the
// callers are checked against the logs of the groups. docs/PROOF.md lists the
// results.
package proof
