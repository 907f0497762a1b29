// Package failover decides when the primary of a database group is replaced
// and by which server, and carries the decision out.
//
// Decide is a pure function from the desired GroupSpec, the observed
// GroupStatus and the State of one warden to a new State and the actions to
// run. Its states are those of group_failover.yaml. An Executor runs actions
// on fresh control connections and writes what it learns to a Board, from
// which the next GroupStatus is taken.
//
// Safety rests on the backend servers alone: a server accepts the seal of one
// holder for each term, a primary is only promoted at a term at which the same
// holder has sealed a majority, and the promoted server has the highest log
// position among the sealed, so that it has every write that a majority
// stored. Every step is idempotent by term and holder. A lost answer is
// resolved by asking the server for its status; a warden that was paused finds
// its term overtaken. The intent row in the table service keeps wardens from
// competing and is skipped while the service is unreachable.
package failover
