// Package edge assembles the single process of an entry VM: caller sessions,
// the homes of database groups, cluster membership, the catalog read from the
// platform's store, and failover of primaries. The home of a group is the one
// process that owns the connections to the group's backend servers.
//
// The package is independent of the wire protocols of callers, backend servers
// and the platform; main supplies the adapters.
package edge
