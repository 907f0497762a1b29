// Package proxy assembles rattan-proxy: the caller listener, the gateway, the homes
// of the database groups that this proxy owns, the admin API, and the graceful
// shutdown. The home of a group is the one proxy that owns the connections to the
// group's backend servers.
package proxy
