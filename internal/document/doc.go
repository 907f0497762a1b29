// Package document stores environment documents in the platform's services.
//
// A document is an immutable object addressed by its digest. One pointer row per
// environment holds the revision in force. A change updates the pointer row by
// compare-and-set, in one commit with a row of the history and a row for the
// change id. A repeated change is therefore idempotent, and a client that lost the
// answer to its commit can tell that the commit succeeded. Revision numbers only
// increase: a rollback is a new revision with an older digest.
package document
