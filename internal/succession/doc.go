// Package succession replaces the primaries of database groups where the
// platform, and not the backend server, is asked to promote.
//
// One process at a time acts, the holder of a lease with a fencing token.
// Decide is a pure function from what is known of a group to the next state and
// the actions to take; its phases are those of group_succession.yaml. A
// Controller watches the servers and carries the actions out.
//
// A primary acknowledges a write once a replica has received it. Before a
// promotion the replicas are paused at a term above every known one, so that
// nothing more can be acknowledged, and the highest received position among
// them is then final. As many servers may be missing as replicas store each
// write; while more are, one of them may alone hold an acknowledged write, and
// the promotion waits until it answers or its entry is gone. The server to
// promote must have what that many servers or more have in common. A leaving replica counts as a holder of
// writes and not as a successor, as long as there is another.
package succession
