// Package rollout holds the environment document that is in force in one
// process and takes up newer ones.
//
// Versions are heard of from peers at once and looked up in the pointer row
// slowly. The bytes come from a peer first and then from the object store, and
// are checked against the digest. The revision in force never falls. The age
// of the last proof that no newer revision exists is tracked; past a bound the
// process reports that its document may be old and should take no new callers.
//
// A proof is a read of the pointer row, or the word of a majority of the
// known members that they hold nothing newer: a document is accepted through
// a member, which tells the others, so that an outage of the platform alone
// does not make every proxy refuse callers.
package rollout
