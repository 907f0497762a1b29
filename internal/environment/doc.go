// Package environment defines the environment document, the configuration of one
// environment: the database groups, the ranks (priority classes) of requests, the
// freshness of each kind of read and the failover policy. A document is immutable
// and is identified by the SHA-256 digest of its text.
package environment
