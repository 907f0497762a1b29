package proof

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/failover"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/rollout"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	peerDelay = 500 * time.Microsecond
	// dialTimeout is the time after which opening a connection to a peer fails.
	dialTimeout = time.Second
	// connSurvivalTime is the time for which connections to a peer stay open during a
	// cut. Requests on them are lost; later requests fail to open a connection.
	connSurvivalTime = 3 * time.Second
	// cancelGrace bounds the wait for the result after a cancellation.
	cancelGrace = 2 * time.Second
)

var errNoPeer = errors.New("no route to peer")

type link struct{ from, to string }

// network carries calls between processes by address. A cut affects one direction.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
	cuts  map[link]time.Time
	// healed holds the times at which cuts ended.
	healed map[link]time.Time
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, cuts: map[link]time.Time{}, healed: map[link]time.Time{}}
}

func (n *network) register(node *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[node.address] = node
}

func (n *network) find(address string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

func (n *network) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = time.Now()
}

func (n *network) heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, link{from, to})
	n.healed[link{from, to}] = time.Now()
}

// connectedFor returns the time for which two processes have reached each other, or
// zero while either direction is cut.
func (n *network) connectedFor(a, b string, now time.Time) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	forward, backward := link{a, b}, link{b, a}
	for _, l := range []link{forward, backward} {
		if _, cut := n.cuts[l]; cut {
			return 0
		}
	}
	return min(now.Sub(n.healed[forward]), now.Sub(n.healed[backward]))
}

func (n *network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.cuts[link{from, to}]
	return ok
}

// refusesDial reports whether the connections between two processes have ended in a
// cut, so that a new one is needed and cannot be opened.
func (n *network) refusesDial(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range []link{{a, b}, {b, a}} {
		if since, ok := n.cuts[l]; ok && time.Since(since) > connSurvivalTime {
			return true
		}
	}
	return false
}

// call runs f at the peer. If the request or the answer is lost, it returns when ctx
// ends.
func (n *network) call(ctx context.Context, from *node, address string, f func(ctx context.Context, to *node)) error {
	to := n.find(address)
	if to == nil || to.stopped() {
		return errNoPeer
	}
	done := make(chan struct{})
	go func() {
		time.Sleep(peerDelay)
		if n.isCut(from.address, address) || to.stopped() {
			return
		}
		f(to.ctx, to)
		time.Sleep(peerDelay)
		if !n.isCut(address, from.address) {
			close(done)
		}
	}()
	select {
	case <-done:
		return nil
	case <-to.ctx.Done():
		return errNoPeer
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pinger implements member.Pinger.
type pinger struct{ from *node }

func (p pinger) Ping(ctx context.Context, address string, message member.PingMessage) (member.PingMessage, error) {
	replies := make(chan member.PingMessage, 1)
	offered := p.from.watcher.Current()
	var peer *node
	var peerDocument *rollout.DocumentInForce
	err := p.from.fleet.network.call(ctx, p.from, address, func(_ context.Context, to *node) {
		peer, peerDocument = to, to.watcher.Current()
		to.offerDocument(p.from, offered)
		replies <- to.members.HandlePing(message)
	})
	if err != nil {
		return member.PingMessage{}, err
	}
	p.from.offerDocument(peer, peerDocument)
	return <-replies, nil
}

// prober implements warden.Prober.
type prober struct{ from *node }

func (p prober) Probe(ctx context.Context, m member.Member, group cluster.GroupName, server cluster.Server) (failover.ProbeResult, error) {
	results := make(chan failover.ProbeResult, 1)
	err := p.from.fleet.network.call(ctx, p.from, m.Address, func(ctx context.Context, to *node) {
		results <- failover.ProbeServer(ctx, to.dialer, group, server)
	})
	if err != nil {
		return failover.ProbeResult{}, err
	}
	return <-results, nil
}

// peerRunner is a statement.Runner over the network that reports the same outcomes as
// peer.Client.
type peerRunner struct {
	from    *node
	address string
}

type requestResult struct {
	result statement.Result
	err    error
}

func (r peerRunner) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	net := r.from.fleet.network
	to := net.find(r.address)
	if to == nil || to.stopped() {
		return statement.Result{}, errcode.New(errcode.NoHome, "dial peer", r.address)
	}
	if net.refusesDial(r.from.address, r.address) {
		delay.Sleep(ctx, dialTimeout)
		return statement.Result{}, errcode.New(errcode.NoHome, "dial peer", r.address)
	}
	homeCtx, stop := context.WithCancel(to.ctx)
	c := &call{
		net: net, server: r.address, client: r.from.address, stop: stop, mayWrite: !req.First.Class.ReadOnly(),
		done: make(chan requestResult, 1), frames: make(chan frame),
	}
	sent := *req
	go c.serve(homeCtx, to, &sent)
	defer c.cancelRemote()
	return c.receive(ctx, to, conv)
}

// call is one request at a peer. As in peer.Client, the goroutine of Run handles its
// frames.
type call struct {
	net            *network
	server, client string
	stop           context.CancelFunc
	done           chan requestResult
	frames         chan frame
	// mayWrite is set while the peer runs a batch that may write.
	mayWrite bool
}

// frame is an answer, or a request for the next batch if wantsNext is set.
type frame struct {
	answer    []byte
	wantsNext bool
	reply     chan reply
}

type reply struct {
	batch *statement.Batch
	err   error
}

// serve runs the request at the peer.
func (c *call) serve(ctx context.Context, to *node, req *statement.Request) {
	defer c.stop()
	to.peerRequests.Add(1)
	defer to.peerRequests.Add(-1)
	time.Sleep(peerDelay)
	if c.net.isCut(c.client, c.server) || to.stopped() {
		return
	}
	result, err := to.gateway.Run(ctx, req, c)
	time.Sleep(peerDelay)
	if c.net.isCut(c.server, c.client) || to.stopped() {
		return
	}
	c.done <- requestResult{result, err}
}

// receive handles frames at the entry proxy until the request ends.
func (c *call) receive(ctx context.Context, to *node, conv statement.Conversation) (statement.Result, error) {
	cancelled := ctx.Done()
	var grace <-chan time.Time
	for {
		select {
		case r := <-c.done:
			return r.result, r.err
		case f := <-c.frames:
			f.reply <- c.handleFrame(ctx, f, conv)
		case <-to.ctx.Done():
			return statement.Result{}, c.connectionLost()
		case <-cancelled:
			cancelled, grace = nil, time.After(cancelGrace)
			c.cancelRemote()
		case <-grace:
			return statement.Result{}, c.connectionLost()
		}
	}
}

func (c *call) handleFrame(ctx context.Context, f frame, conv statement.Conversation) reply {
	if !f.wantsNext {
		return reply{err: conv.SendResponse(ctx, f.answer)}
	}
	c.mayWrite = false
	batch, err := conv.Next(ctx)
	if err == nil {
		c.mayWrite = !batch.Class.ReadOnly()
	}
	return reply{batch, err}
}

// cancelRemote cancels the request at the peer, unless the cancellation is lost in a
// cut.
func (c *call) cancelRemote() {
	time.AfterFunc(peerDelay, func() {
		if !c.net.isCut(c.client, c.server) {
			c.stop()
		}
	})
}

func (c *call) connectionLost() error {
	if c.mayWrite {
		return errcode.New(errcode.Unknown, "run at home", c.server)
	}
	return errcode.New(errcode.ConnectionLost, "run at home", c.server)
}

// send sends a frame from the peer to the entry proxy and waits for the reply.
func (c *call) send(ctx context.Context, f frame) reply {
	delay.Sleep(ctx, peerDelay)
	if c.net.isCut(c.server, c.client) {
		<-ctx.Done()
	}
	f.reply = make(chan reply, 1)
	select {
	case c.frames <- f:
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
	select {
	case r := <-f.reply:
		return r
	case <-ctx.Done():
		return reply{err: ctx.Err()}
	}
}

// SendResponse implements statement.Conversation.
func (c *call) SendResponse(ctx context.Context, data []byte) error {
	return c.send(ctx, frame{answer: append([]byte(nil), data...)}).err
}

// Next implements statement.Conversation.
func (c *call) Next(ctx context.Context) (*statement.Batch, error) {
	r := c.send(ctx, frame{wantsNext: true})
	if r.err != nil {
		return nil, r.err
	}
	delay.Sleep(ctx, peerDelay)
	if c.net.isCut(c.client, c.server) {
		<-ctx.Done()
	}
	return r.batch, ctx.Err()
}
