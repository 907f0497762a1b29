// Package document keeps environment documents on the platform.
//
// A document is an immutable object named by its digest. One pointer row for
// each environment names the revision in force. The row moves by
// compare-and-set, together with a row of the history and a row that records
// the change id, so that a repeated change has no second effect and an answer
// that was lost is recognised as one's own success. Revisions only rise: a
// roll back is a new revision with an older digest.
package document
