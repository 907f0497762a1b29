// Package outlier detects backend servers that fail requests, by the outcomes of
// the requests that they were given: a server may fail requests while its health
// checks succeed. It decides when a server is ejected, for how long, and when its
// probation ends. It does no I/O and starts no goroutines.
package outlier
