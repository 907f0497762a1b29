package edge

import (
	"net"

	"github.com/rattancove/rattancove/internal/connlimit"
)

// Shares of the limit on file descriptors. What sessions and these leave, 0.09, is for
// backend servers, calls between processes and the store.
const (
	// sessionDescriptorShare is the share available to sessions.
	sessionDescriptorShare = 0.6
	// startingDescriptorShare is the share available to callers' connections that are not
	// sessions yet, or were refused as such.
	startingDescriptorShare = 0.04
	// peerDescriptorShare is the share available to connections that peers have opened, and
	// forwardDescriptorShare to those that carry callers' requests to peers.
	peerDescriptorShare    = 0.15
	forwardDescriptorShare = 0.08
	// httpDescriptorShare is the share available to the readiness address, and to that of
	// metrics.
	httpDescriptorShare = 0.02
	// minDescriptorShare is the least number of descriptors of a share.
	minDescriptorShare = 16
)

// descriptors returns a share of the limit on descriptors in the settings in force.
func (e *Edge) descriptors(share float64) int {
	return max(int(share*float64(e.settings.Load().MaxDescriptors)), minDescriptorShare)
}

// limitConnections bounds the connections of a listener to a share of the descriptors.
func (e *Edge) limitConnections(l net.Listener, name string, share float64) net.Listener {
	return connlimit.New(l, name, func() int { return e.descriptors(share) })
}
