package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/grant"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/statement"
)

// cancelGrace bounds the wait for the home's last frame after a cancel frame.
const cancelGrace = 2 * time.Second

// Client makes calls to one peer. It is safe for concurrent use.
type Client struct {
	address string
	pool    *pool
}

// NewClient returns a client of the peer at address.
func NewClient(address string, dial DialFunc) *Client {
	return &Client{address: address, pool: newPool(address, dial, nil)}
}

// Address returns the peer's address.
func (c *Client) Address() string { return c.address }

// Close closes the idle connections. Running calls end with their contexts.
func (c *Client) Close() { c.pool.close() }

// Ping exchanges member reports and document versions with the peer.
func (c *Client) Ping(ctx context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	return call(ctx, c, "ping", in, peerpb.DRPCPeerClient.Ping)
}

// Probe asks the peer to open a new connection to a backend server.
func (c *Client) Probe(ctx context.Context, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	return call(ctx, c, "probe", in, peerpb.DRPCPeerClient.Probe)
}

// Document asks the peer for the newest document that it holds.
func (c *Client) Document(ctx context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	return call(ctx, c, "document", in, peerpb.DRPCPeerClient.Document)
}

// Cancel asks the peer to stop the running statement of a caller, if the caller is
// connected to it.
func (c *Client) Cancel(ctx context.Context, in *peerpb.CancelRequest) error {
	_, err := call(ctx, c, "cancel", in, peerpb.DRPCPeerClient.Cancel)
	return err
}

// Release asks the peer to drain a group and to release it.
func (c *Client) Release(ctx context.Context, group cluster.GroupName) error {
	_, err := call(ctx, c, "release", &peerpb.ReleaseRequest{Group: string(group)}, peerpb.DRPCPeerClient.Release)
	return err
}

// GroupStatus returns the status of a group at the peer, as JSON.
func (c *Client) GroupStatus(ctx context.Context, group cluster.GroupName) ([]byte, error) {
	reply, err := call(ctx, c, "group status", &peerpb.GroupStatusRequest{Group: string(group)}, peerpb.DRPCPeerClient.GroupStatus)
	return reply.GetStatus(), err
}

// Explain asks the home of a group where it would route a statement. The request and
// the reply are JSON of the administration API.
func (c *Client) Explain(ctx context.Context, request []byte) (*peerpb.ExplainReply, error) {
	return call(ctx, c, "explain", &peerpb.ExplainRequest{Request: request}, peerpb.DRPCPeerClient.Explain)
}

// Failovers returns the failovers that the warden at the peer is running.
func (c *Client) Failovers(ctx context.Context) ([]*peerpb.RunningFailover, error) {
	reply, err := call(ctx, c, "failovers", &peerpb.FailoversRequest{}, peerpb.DRPCPeerClient.Failovers)
	return reply.GetFailovers(), err
}

// Grant asks the peer, which holds the promotion lease, for grants of terms.
func (c *Client) Grant(ctx context.Context, in *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	return call(ctx, c, "grant", in, peerpb.DRPCPeerClient.Grant)
}

// Revoke makes the peer, a proxy, drop its grants of a group.
func (c *Client) Revoke(ctx context.Context, proxy cluster.ProxyID, group cluster.GroupName) (grant.Revocation, error) {
	reply, err := call(ctx, c, "revoke", &peerpb.RevokeRequest{Group: string(group)}, peerpb.DRPCPeerClient.Revoke)
	return revocationFromProto(proxy, reply), err
}

// call makes one unary call on a connection of the pool.
func call[In, Out any](
	ctx context.Context, c *Client, step string, in *In,
	method func(peerpb.DRPCPeerClient, context.Context, *In) (*Out, error),
) (*Out, error) {
	conn, err := c.pool.get(ctx)
	if err != nil {
		return nil, err
	}
	out, err := method(peerpb.NewDRPCPeerClient(conn), ctx, in)
	// The error of a peer that has answered leaves the connection usable; the end of ctx
	// may be due to a path that no longer carries anything.
	c.pool.put(conn, err == nil || ctx.Err() == nil)
	if err != nil {
		return nil, errcode.Wrap(err, errcode.ConnectionLost, step, c.address)
	}
	return out, nil
}

// Run implements statement.Runner. The request runs at the peer.
func (c *Client) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	conn, err := c.pool.get(ctx)
	if err != nil {
		return statement.Result{}, err
	}
	r := &remoteRun{client: c, conn: conn, req: req, conv: conv}
	result, err := r.run(ctx)
	c.pool.put(conn, r.reusable)
	return result, err
}

// remoteRun is one request at the peer. It owns the stream on the connection.
type remoteRun struct {
	client          *Client
	conn            *drpcconn.Conn
	req             *statement.Request
	conv            statement.Conversation
	stream          peerpb.DRPCPeer_RunClient
	sendSequence    uint32
	receiveSequence uint32
	// mayWrite is set while the peer has a batch that may write.
	mayWrite bool
	// reusable is set when the stream was closed properly, so that the connection
	// can carry another call.
	reusable bool
}

func (r *remoteRun) run(ctx context.Context) (statement.Result, error) {
	streamCtx, endStream := context.WithCancel(context.WithoutCancel(ctx))
	defer endStream()
	stream, err := peerpb.NewDRPCPeerClient(r.conn).Run(streamCtx)
	if err != nil {
		return statement.Result{}, errcode.Wrap(err, errcode.NoHome, "open stream", r.client.address)
	}
	r.stream = stream
	r.mayWrite = !r.req.First.Class.ReadOnly()
	first := &peerpb.ToHome{Open: openToProto(r.req), Batch: batchToProto(&r.req.First)}
	if err := r.send(first); err != nil {
		return statement.Result{}, r.streamError(err)
	}
	stopCancel := context.AfterFunc(ctx, func() {
		if errors.Is(context.Cause(ctx), statement.ErrRunnerUnavailable) {
			endStream()
			return
		}
		// The context of the stream is not canceled at once: the home replies to a cancel
		// frame.
		_ = stream.Send(&peerpb.ToHome{RequestId: r.req.ID, Cancel: true})
		time.AfterFunc(cancelGrace, endStream)
	})
	defer stopCancel()
	return r.receive(ctx)
}

func (r *remoteRun) receive(ctx context.Context) (statement.Result, error) {
	for {
		frame, err := r.stream.Recv()
		if err != nil {
			return statement.Result{}, r.streamError(err)
		}
		if err := r.checkFrame(frame); err != nil {
			return statement.Result{}, r.streamError(err)
		}
		switch {
		case len(frame.GetAnswer()) > 0:
			err := r.conv.SendResponse(ctx, frame.GetAnswer())
			releaseAnswer(r.conn)
			if err != nil {
				return statement.Result{}, err
			}
		case frame.GetWantNext():
			if err := r.sendNextBatch(ctx); err != nil {
				return statement.Result{}, err
			}
		case frame.GetFailure() != nil:
			r.closeStream()
			return statement.Result{}, failureFromProto(frame.GetFailure())
		case frame.GetResult() != nil:
			r.closeStream()
			return resultFromProto(frame.GetResult()), nil
		}
	}
}

// checkFrame checks that a frame belongs to the request and is the next one.
func (r *remoteRun) checkFrame(frame *peerpb.FromHome) error {
	if frame.GetRequestId() != r.req.ID || frame.GetSequence() != r.receiveSequence {
		return errors.New("frame of another request or out of order")
	}
	r.receiveSequence++
	return nil
}

// sendNextBatch sends the caller's next batch, or reports to the home that the caller
// has left.
func (r *remoteRun) sendNextBatch(ctx context.Context) error {
	r.mayWrite = false
	batch, err := r.conv.Next(ctx)
	if errors.Is(err, statement.ErrRunnerUnavailable) {
		return r.streamError(err) // the peer has no batch that could commit
	}
	if err != nil {
		sendErr := r.send(&peerpb.ToHome{CallerLeft: true})
		if errors.Is(err, io.EOF) && sendErr == nil {
			return nil
		}
		return err
	}
	err = r.send(&peerpb.ToHome{Batch: batchToProto(batch)})
	if errors.Is(err, io.EOF) {
		return r.endedByHome()
	}
	r.mayWrite = !batch.Class.ReadOnly()
	if err != nil {
		return r.streamError(err)
	}
	return nil
}

// endedByHome returns why the home ended the request while it waited for a batch.
// The batch that could not be sent has not run.
func (r *remoteRun) endedByHome() error {
	frame, err := r.stream.Recv()
	if err == nil && frame.GetFailure() != nil {
		return failureFromProto(frame.GetFailure())
	}
	return errcode.Wrap(io.EOF, errcode.ConnectionLost, "next batch", r.client.address)
}

func (r *remoteRun) send(frame *peerpb.ToHome) error {
	frame.RequestId = r.req.ID
	frame.Sequence = r.sendSequence
	r.sendSequence++
	return r.stream.Send(frame)
}

// closeStream closes the stream so that the connection can carry another call.
func (r *remoteRun) closeStream() {
	r.reusable = r.stream.Close() == nil
}

// streamError classifies a broken stream. The outcome is unknown while the peer has
// a batch that may write; otherwise the request has not run.
func (r *remoteRun) streamError(err error) error {
	code := errcode.ConnectionLost
	if r.mayWrite {
		code = errcode.Unknown
	}
	return errcode.Wrap(err, code, "run at home", r.client.address)
}
