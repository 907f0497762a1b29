// Package outlier judges a backend server by the outcomes of the requests that
// it was given, because a server may fail requests while its health check is
// good. It decides when the server is ejected, for how long, and when it is
// trusted again; it does no input or output and starts nothing.
package outlier
