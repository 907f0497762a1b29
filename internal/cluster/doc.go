// Package cluster holds the domain types that every other package shares:
// database groups, backend servers, terms, log positions, home epochs and
// ranks. It has no dependencies and no behaviour beyond ordering and text form.
package cluster
