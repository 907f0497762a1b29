// Package failover decides when the primary of a database group is replaced
// and by which server, and executes the decision. It runs in wardens, the
// processes that monitor the groups.
//
// Decide is a pure function from the desired GroupSpec, the observed
// GroupStatus and the State of one warden to a new State and the actions to
// execute. Its phases are those of group_failover.yaml. An Executor executes the
// actions on new control connections and records the results in a
// StatusTracker, which provides the next GroupStatus.
//
// Safety depends on the backend servers alone. Sealing a server at a term fences
// it: it neither writes nor stores log records of a lower term. A server accepts
// the seal of one holder per term, a server is promoted only at a term at which the
// same holder has sealed a majority, and the promoted server has a position not
// below any write that a majority stored. The exception is a group whose policy
// allows promotion without a majority, which may lose acknowledged writes. Every
// step is idempotent by term and holder. If a response is lost, the server is asked
// for its status; a warden that resumes after a pause finds its term superseded. The
// intent row in the table service keeps wardens from competing. Elections by a
// majority go on without it while the service is unreachable.
package failover
