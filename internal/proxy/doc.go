// Package proxy assembles rattan-proxy: the caller listener, the gateway, the
// homes of the groups that this proxy owns, and the order of a planned stop.
package proxy
