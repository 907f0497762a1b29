package failover

import (
	"context"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// QueryStatus asks a server for its status on a new connection within CallTimeout.
func QueryStatus(ctx context.Context, d backend.Dialer, group cluster.GroupName, server cluster.Server) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	control, err := d.DialControl(ctx, server, group)
	if err != nil {
		return cluster.ServerStatus{}, err
	}
	defer func() { _ = control.Close() }()
	return control.Status(ctx)
}

// IsConnectionLimit reports whether a dial failed because the server's connection
// limit was reached, which shows that the server is running.
func IsConnectionLimit(err error) bool { return errcode.Is(err, errcode.Overloaded) }

// ProbeServer probes a server on a new connection on behalf of a warden.
func ProbeServer(ctx context.Context, d backend.Dialer, group cluster.GroupName, server cluster.Server) ProbeResult {
	status, err := QueryStatus(ctx, d, group, server)
	if err != nil {
		return ProbeResult{Server: server.ID, Reachable: IsConnectionLimit(err)}
	}
	return ProbeResult{Server: server.ID, Reachable: true, Role: status.Role, Term: status.Term}
}
