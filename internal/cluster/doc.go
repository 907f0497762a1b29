// Package cluster defines the domain types that the other packages share:
// database groups, backend servers, terms, log positions, home epochs and ranks.
// It depends on no other package of this module, and its functions only order,
// format and parse values.
package cluster
