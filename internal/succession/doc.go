// Package succession fails over database groups whose promotions are carried
// out by the platform instead of the backend servers.
//
// Only the holder of a lease with a fencing token acts. Decide is a pure
// function from the observed state of a group to its next state and the actions
// to take; its phases are those of group_succession.yaml. A Controller monitors
// the servers and executes the actions.
//
// A leaving primary is replaced by a switchover: it steps down while its replicas go on
// receiving, and one that has its whole log is promoted. Nothing else matters then, neither
// servers that are gone nor ones that have just joined. A primary that works is replaced in
// the same way while all replicas replay late; see replayWatch.
//
// A failed primary may not respond. A primary acknowledges a write once the required
// number of replicas, at least one, has received it. Before a promotion the replicas are
// paused at a term above every known one, so that no further write can be acknowledged;
// the highest received position among them is then final. As many servers may be unavailable
// as replicas store each write. If more are, one of them may hold the only copy of
// an acknowledged write, and the promotion waits until it responds, for abandonAfter
// if it is no longer listed. Which servers these are is told by the Membership of the
// group, not by the catalog. A Record in the table service keeps it for the next lease
// holder, and names the server that is about to be promoted. The promoted server must have every write that may have been
// acknowledged, judged by the final positions of the available servers. The
// received position of a leaving replica counts, but it is promoted only if no
// other server can be.
package succession
