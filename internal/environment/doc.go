// Package environment defines the environment document: the database groups,
// the ranks of work, the freshness of each kind of read and the promotion
// policy. A document is immutable; its digest names it.
package environment
