// Package rollout holds the environment document that is in force in one process
// and installs newer revisions.
//
// Peers announce new versions immediately; in addition, the pointer row, which
// names the newest version, is polled at a low rate. The document is fetched
// from a peer or, if that fails, from the object store, and its digest is
// verified. The revision in force never decreases. The package tracks the age of
// the last proof that no newer revision exists. Once it exceeds a limit, the
// process reports that the proof has expired, and should accept no new callers.
//
// A proof is a read of the pointer row, or reports of a majority of the known
// members that they hold the version in force. A majority suffices because a
// document is published through a member, which announces it to the others; so
// an outage of the platform alone does not make every proxy refuse callers.
package rollout
