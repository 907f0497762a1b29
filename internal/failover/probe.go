package failover

import (
	"context"
	"errors"

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

// ShowsRunning reports whether the error of a probe shows that the server is running: its
// connection limit is reached, it is busy, or its answers are out of step.
func ShowsRunning(err error) bool {
	var mismatch *backend.OutOfStepError
	return errcode.Is(err, errcode.Overloaded) || errcode.Is(err, errcode.ServerBusy) || errors.As(err, &mismatch)
}

// ProbeServer probes a server on a new connection on behalf of a warden.
func ProbeServer(ctx context.Context, d backend.Dialer, group cluster.GroupName, server cluster.Server) ProbeResult {
	status, err := QueryStatus(ctx, d, group, server)
	if err != nil {
		return ProbeResult{Server: server.ID, Reachable: ShowsRunning(err)}
	}
	return ProbeResult{Server: server.ID, Reachable: true, Role: status.Role, Term: status.Term}
}
