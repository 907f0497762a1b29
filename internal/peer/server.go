package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/rs/zerolog"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/memory"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/statement"
)

// maxAnswerBytes is the largest answer in one frame. An answer holds complete
// protocol messages; 1 KiB is left for the other fields of the frame.
const maxAnswerBytes = maxFrameBytes - 1<<10

// Handlers are the calls that a process serves to its peers. A call with a nil
// handler is refused as unimplemented.
type Handlers struct {
	Runner   statement.Runner
	Ping     func(context.Context, *peerpb.PingRequest) (*peerpb.PingReply, error)
	Probe    func(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeReply, error)
	Document func(context.Context, *peerpb.DocumentRequest) (*peerpb.DocumentReply, error)
	Cancel   func(context.Context, *peerpb.CancelRequest) (*peerpb.CancelReply, error)
	// Release drains a group and releases it before it returns.
	Release func(ctx context.Context, group cluster.GroupName) error
	// GroupStatus returns the status of a group as JSON.
	GroupStatus func(ctx context.Context, group cluster.GroupName) ([]byte, error)
	Explain     func(context.Context, *peerpb.ExplainRequest) (*peerpb.ExplainReply, error)
	Failovers   func(context.Context, *peerpb.FailoversRequest) (*peerpb.FailoversReply, error)
	Grant       func(context.Context, *peerpb.GrantRequest) (*peerpb.GrantReply, error)
	// Revoke returns once this process uses no grant of the group any more.
	Revoke func(context.Context, *peerpb.RevokeRequest) (*peerpb.RevokeReply, error)
}

// Server serves the calls of peers with the handlers of a process.
type Server struct {
	peerpb.DRPCPeerUnimplementedServer
	handlers Handlers
	server   *drpcserver.Server
	requests requestTracker
	// serving bounds the connections that are served; nil if there is no bound.
	serving *serving
	log     *zerolog.Logger
}

// NewServer returns a server that serves handlers.
func NewServer(handlers Handlers, log *zerolog.Logger) (*Server, error) {
	s := &Server{handlers: handlers, log: log}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, s); err != nil {
		return nil, errcode.Wrap(err, errcode.Internal, "register", "peer")
	}
	s.server = drpcserver.NewWithOptions(confinedHandler{mux, log}, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { eventPeerCallFailed.Log(log).Err(err).Send() },
	})
	return s, nil
}

// ServeWithin is Serve with a budget for the requests of peers. The listener closes
// connections over a limit; while many of those are still being served, no other is accepted.
// A nil limit means that there is none.
func (s *Server) ServeWithin(ctx context.Context, l net.Listener, budget *memory.Budget, limit func() int) error {
	if limit != nil {
		s.serving = newServing(limit)
	}
	return s.Serve(ctx, meteredListener{l, budget})
}

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.serving == nil {
		return s.server.Serve(ctx, l)
	}
	return s.serving.serve(ctx, l, func(ctx context.Context, conn net.Conn) {
		if err := s.ServeConn(ctx, conn); err != nil {
			eventPeerCallFailed.Log(s.log).Err(err).Send()
		}
	})
}

// ServeConn serves one connection until it closes or ctx ends.
func (s *Server) ServeConn(ctx context.Context, conn net.Conn) error {
	return s.server.ServeOne(ctx, conn)
}

// Ping implements peerpb.DRPCPeerServer.
func (s *Server) Ping(ctx context.Context, in *peerpb.PingRequest) (*peerpb.PingReply, error) {
	if s.handlers.Ping == nil {
		return s.DRPCPeerUnimplementedServer.Ping(ctx, in)
	}
	return s.handlers.Ping(ctx, in)
}

// Probe implements peerpb.DRPCPeerServer.
func (s *Server) Probe(ctx context.Context, in *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	if s.handlers.Probe == nil {
		return s.DRPCPeerUnimplementedServer.Probe(ctx, in)
	}
	return s.handlers.Probe(ctx, in)
}

// Document implements peerpb.DRPCPeerServer.
func (s *Server) Document(ctx context.Context, in *peerpb.DocumentRequest) (*peerpb.DocumentReply, error) {
	if s.handlers.Document == nil {
		return s.DRPCPeerUnimplementedServer.Document(ctx, in)
	}
	return s.handlers.Document(ctx, in)
}

// Cancel implements peerpb.DRPCPeerServer.
func (s *Server) Cancel(ctx context.Context, in *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if s.handlers.Cancel == nil {
		return s.DRPCPeerUnimplementedServer.Cancel(ctx, in)
	}
	return s.handlers.Cancel(ctx, in)
}

// Release implements peerpb.DRPCPeerServer.
func (s *Server) Release(ctx context.Context, in *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	if s.handlers.Release == nil {
		return s.DRPCPeerUnimplementedServer.Release(ctx, in)
	}
	return &peerpb.ReleaseReply{}, s.handlers.Release(ctx, cluster.GroupName(in.GetGroup()))
}

// GroupStatus implements peerpb.DRPCPeerServer.
func (s *Server) GroupStatus(ctx context.Context, in *peerpb.GroupStatusRequest) (*peerpb.GroupStatusReply, error) {
	if s.handlers.GroupStatus == nil {
		return s.DRPCPeerUnimplementedServer.GroupStatus(ctx, in)
	}
	status, err := s.handlers.GroupStatus(ctx, cluster.GroupName(in.GetGroup()))
	return &peerpb.GroupStatusReply{Status: status}, err
}

// Explain implements peerpb.DRPCPeerServer.
func (s *Server) Explain(ctx context.Context, in *peerpb.ExplainRequest) (*peerpb.ExplainReply, error) {
	if s.handlers.Explain == nil {
		return s.DRPCPeerUnimplementedServer.Explain(ctx, in)
	}
	return s.handlers.Explain(ctx, in)
}

// Failovers implements peerpb.DRPCPeerServer.
func (s *Server) Failovers(ctx context.Context, in *peerpb.FailoversRequest) (*peerpb.FailoversReply, error) {
	if s.handlers.Failovers == nil {
		return s.DRPCPeerUnimplementedServer.Failovers(ctx, in)
	}
	return s.handlers.Failovers(ctx, in)
}

// Grant implements peerpb.DRPCPeerServer.
func (s *Server) Grant(ctx context.Context, in *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	if s.handlers.Grant == nil {
		return s.DRPCPeerUnimplementedServer.Grant(ctx, in)
	}
	return s.handlers.Grant(ctx, in)
}

// Revoke implements peerpb.DRPCPeerServer.
func (s *Server) Revoke(ctx context.Context, in *peerpb.RevokeRequest) (*peerpb.RevokeReply, error) {
	if s.handlers.Revoke == nil {
		return s.DRPCPeerUnimplementedServer.Revoke(ctx, in)
	}
	return s.handlers.Revoke(ctx, in)
}

// Run implements peerpb.DRPCPeerServer.
func (s *Server) Run(stream peerpb.DRPCPeer_RunStream) error {
	if s.handlers.Runner == nil {
		return s.DRPCPeerUnimplementedServer.Run(stream)
	}
	s.requests.begin()
	defer s.requests.end()
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetOpen() == nil || first.GetBatch() == nil || first.GetSequence() != 0 {
		return errcode.New(errcode.Protocol, "first frame", "")
	}
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	conv := newStreamConversation(stream, first.GetRequestId(), cancel)
	go conv.receive(ctx)
	req := requestFromProto(first.GetRequestId(), first.GetOpen(), first.GetBatch())
	result, err := s.handlers.Runner.Run(ctx, req, conv)
	if err != nil {
		return conv.send(&peerpb.FromHome{Failure: failureToProto(err)})
	}
	return conv.send(&peerpb.FromHome{Result: resultToProto(result)})
}

// streamConversation is the server side of a request from a peer. Its receive loop
// ends with the stream.
type streamConversation struct {
	stream    peerpb.DRPCPeer_RunStream
	requestID string
	cancel    context.CancelFunc
	batches   chan *peerpb.ToHome

	// mu makes frames leave in the order of their sequence numbers: the answer of a
	// COPY and the request for its next batch come from different goroutines.
	mu           sync.Mutex
	sendSequence uint32
}

func newStreamConversation(stream peerpb.DRPCPeer_RunStream, id string, cancel context.CancelFunc) *streamConversation {
	return &streamConversation{stream: stream, requestID: id, cancel: cancel, batches: make(chan *peerpb.ToHome)}
}

// receive passes the batches of the peer to Next. It cancels the request on a cancel
// frame, on a frame out of order and at the end of the stream.
func (c *streamConversation) receive(ctx context.Context) {
	defer close(c.batches)
	sequence := uint32(1)
	for {
		frame, err := c.stream.Recv()
		if err != nil {
			c.cancel()
			return
		}
		if frame.GetCancel() {
			c.cancel()
			continue
		}
		if frame.GetRequestId() != c.requestID || frame.GetSequence() != sequence {
			c.cancel()
			return
		}
		sequence++
		select {
		case c.batches <- frame:
		case <-ctx.Done():
			return
		}
	}
}

// Next implements statement.Conversation.
func (c *streamConversation) Next(ctx context.Context) (*statement.Batch, error) {
	if err := c.send(&peerpb.FromHome{WantNext: true}); err != nil {
		return nil, err
	}
	select {
	case frame, ok := <-c.batches:
		if !ok || frame.GetCallerLeft() {
			return nil, io.EOF
		}
		batch := batchFromProto(frame.GetBatch())
		return &batch, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// SendResponse implements statement.Conversation.
func (c *streamConversation) SendResponse(_ context.Context, data []byte) error {
	if len(data) > maxAnswerBytes {
		return errcode.New(errcode.LimitExceeded, "answer peer", "")
	}
	return c.send(&peerpb.FromHome{Answer: data})
}

func (c *streamConversation) send(frame *peerpb.FromHome) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	frame.RequestId = c.requestID
	frame.Sequence = c.sendSequence
	c.sendSequence++
	if err := c.stream.Send(frame); err != nil && !errors.Is(err, io.EOF) {
		return errcode.Wrap(err, errcode.ConnectionLost, "answer peer", "")
	}
	return nil
}
