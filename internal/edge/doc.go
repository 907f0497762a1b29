// Package edge assembles the one process of an entry VM: callers' sessions,
// the homes of database groups, membership, the catalog of the store and the
// replacement of primaries.
//
// It knows neither the protocol of callers and backend servers nor that of the
// platform; main passes the adapters in.
package edge
