package failover

import (
	"context"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

// QueryStatus asks a server for its status on a fresh connection within CallTimeout.
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

// IsConnectionLimit reports whether the error of a dial shows a living server: one that
// has no place for another connection.
func IsConnectionLimit(err error) bool { return errcode.Is(err, errcode.Overloaded) }

// ProbeServer tries a fresh connection to a server on behalf of a warden.
func ProbeServer(ctx context.Context, d backend.Dialer, group cluster.GroupName, server cluster.Server) ProbeResult {
	status, err := QueryStatus(ctx, d, group, server)
	if err != nil {
		return ProbeResult{Server: server.ID, Reachable: IsConnectionLimit(err)}
	}
	return ProbeResult{Server: server.ID, Reachable: true, Role: status.Role, Term: status.Term}
}
