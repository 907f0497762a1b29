package proof

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	sessionsPerGroup = 4
	requestTimeout   = 2 * time.Second
	// defaultWorkTime is the execution time of a single write at its server.
	defaultWorkTime = time.Millisecond
	// timeoutMargin is the time by which a request may exceed its timeout.
	timeoutMargin = time.Second
	// thinkTime is the mean time between two requests of a session.
	thinkTime = 120 * time.Millisecond
	// sharedKeyCount is the number of keys of a group that all its sessions write.
	sharedKeyCount = 2
)

type write struct{ key, value string }

// operation is one request of a session and its outcome.
type operation struct {
	session string
	// proxy names the proxy that accepted the request.
	proxy   string
	group   cluster.GroupName
	orderID string
	// writes is empty for a read of key, which returned value.
	writes    []write
	key       string
	value     string
	latest    bool
	call, end time.Time
	outcome   errcode.Outcome
	result    statement.Result
	// floor is the position that the session carried when it sent the request.
	floor cluster.Position
	// carriesPosition is set if the session carries the position of its reads.
	carriesPosition bool
	// ackedPosition is the position of the session's last acknowledged write before
	// the request.
	ackedPosition cluster.Position
	err           error
	// mismatched is set if an answer belongs to another request.
	mismatched bool
}

func (o *operation) isRead() bool { return len(o.writes) == 0 }

// history records operations in the order in which they ended.
type history struct {
	mu         sync.Mutex
	operations []*operation
}

func (h *history) add(o *operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

// scriptedCaller is a caller that sends its batches one after another and then ends
// the conversation.
type scriptedCaller struct {
	mu        sync.Mutex
	thinkTime time.Duration
	batches   []statement.Batch
	answers   []string
}

// Next implements statement.Conversation.
func (s *scriptedCaller) Next(ctx context.Context) (*statement.Batch, error) {
	delay.Sleep(ctx, s.thinkTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if len(s.batches) == 0 {
		return nil, io.EOF
	}
	b := s.batches[0]
	s.batches = s.batches[1:]
	return &b, nil
}

// SendResponse implements statement.Conversation.
func (s *scriptedCaller) SendResponse(_ context.Context, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, strings.TrimSpace(string(data)))
	return nil
}

func (s *scriptedCaller) lastAnswer() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		return ""
	}
	return s.answers[len(s.answers)-1]
}

// answersMatch reports whether each answer is the expected one or a refusal.
func (s *scriptedCaller) answersMatch(want []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, answer := range s.answers {
		if !slices.Contains(refusals, answer) && (i >= len(want) || answer != want[i]) {
			return false
		}
	}
	return true
}

// refusals are the answers of servers to statements that they refuse to run.
var refusals = []string{"read-only", "rollback"}

// callerSession is a session whose requests may go through different proxies.
type callerSession struct {
	fleet   *fleet
	name    string
	group   cluster.GroupName
	random  *rand.Rand
	history *history
	// carriesPosition is set for a session that carries its position from proxy to
	// proxy. Only the home knows the floor of other sessions.
	carriesPosition bool
	position        cluster.Position
	ackedPosition   cluster.Position
	sequence        int
	sentOrders      []write
	// workTime and timeout override defaultWorkTime and requestTimeout if set.
	workTime, timeout time.Duration
}

// run sends requests through random proxies until ctx ends.
func (c *callerSession) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(thinkTime)))
		p := c.fleet.proxy(c.random.IntN(proxyCount))
		if !p.inRotation() {
			continue // the load balancer sends no requests there
		}
		c.sendRandom(p)
	}
}

func (c *callerSession) nextValue() string {
	c.sequence++
	return fmt.Sprintf("%s-%d", c.name, c.sequence)
}

func (c *callerSession) randomSharedKey() string {
	return fmt.Sprintf("shared-%d", c.random.IntN(sharedKeyCount))
}

// sendRandom sends one request of a random kind.
func (c *callerSession) sendRandom(p *node) {
	switch n := c.random.IntN(100); {
	case n < 25:
		c.sendOrder(p, write{"order/" + c.nextValue(), "v-" + c.name + "-" + fmt.Sprint(c.sequence)})
	case n < 30 && len(c.sentOrders) > 0:
		c.sendOrder(p, c.sentOrders[c.random.IntN(len(c.sentOrders))])
	case n < 45:
		c.sendWrite(p, "", write{c.name, c.nextValue()})
	case n < 55:
		c.sendWrite(p, "", write{c.randomSharedKey(), c.nextValue()})
	case n < 65:
		c.sendTransaction(p)
	case n < 75:
		c.sendRead(p, c.name, false)
	case n < 85:
		c.sendRead(p, c.randomSharedKey(), false)
	default:
		c.sendRead(p, c.randomSharedKey(), true)
	}
}

// sendOrder sends an order under the id w.key, which may have been sent before.
func (c *callerSession) sendOrder(p *node, w write) {
	if len(c.sentOrders) < 10 {
		c.sentOrders = append(c.sentOrders, w)
	}
	c.sendWrite(p, w.key, w)
}

func (c *callerSession) sendWrite(p *node, orderID string, w write) {
	o := &operation{orderID: orderID, writes: []write{w}}
	put := "put " + w.key + " " + w.value
	first := statement.Batch{Messages: []byte("work " + cmp.Or(c.workTime, defaultWorkTime).String() + " " + put)}
	c.send(p, o, first, &scriptedCaller{}, put)
}

func (c *callerSession) sendTransaction(p *node) {
	o := &operation{writes: []write{{c.name, c.nextValue()}, {c.randomSharedKey(), c.nextValue()}}}
	caller := &scriptedCaller{thinkTime: time.Duration(c.random.IntN(int(20 * time.Millisecond)))}
	for _, w := range o.writes {
		caller.batches = append(caller.batches, statement.Batch{Messages: []byte("put " + w.key + " " + w.value)})
	}
	caller.batches = append(caller.batches, statement.Batch{Messages: []byte("commit")})
	c.send(p, o, statement.Batch{Messages: []byte("begin"), Class: statement.ClassBegin}, caller, "begin", "put", "put", "commit")
}

func (c *callerSession) sendRead(p *node, key string, latest bool) {
	o := &operation{key: key, latest: latest}
	c.send(p, o, statement.Batch{Messages: []byte("get " + key), Class: statement.ClassRead}, &scriptedCaller{})
}

// send runs a request through p and records it. A write is done if its answers are
// want.
func (c *callerSession) send(p *node, o *operation, first statement.Batch, caller *scriptedCaller, want ...string) {
	sess := &session.Session{}
	sess.SetName(c.name)
	floor := sess.Floor(c.position)
	req := &statement.Request{
		ID: c.name + "/" + fmt.Sprint(time.Now().UnixNano()), Group: c.group, Session: c.name,
		Rank: cluster.Rank(c.random.IntN(cluster.RankCount)), OrderID: o.orderID, Timeout: cmp.Or(c.timeout, requestTimeout),
		Floor: floor.Position, FloorExact: floor.Exact, First: first,
	}
	if o.latest {
		req.Freshness.Mode = statement.FreshnessLatest
	}
	o.carriesPosition, o.proxy = c.carriesPosition, p.name
	o.session, o.group, o.call, o.floor, o.ackedPosition = c.name, c.group, time.Now(), c.position, c.ackedPosition
	o.result, o.err = p.serve(req, caller)
	o.end = time.Now()
	o.value = caller.lastAnswer()
	o.mismatched = !o.isRead() && !caller.answersMatch(want)
	switch {
	case o.err != nil:
		o.outcome = errcode.From(o.err).Code.Outcome
	case !o.isRead() && !slices.Equal(caller.answers, want):
		o.outcome = errcode.OutcomeNotRun // the server answered an error
	default:
		o.outcome = errcode.OutcomeDone
	}
	c.history.add(o)
	if o.outcome != errcode.OutcomeDone {
		return
	}
	sess.RecordResult(floor, o.result)
	if c.carriesPosition {
		c.position = cluster.MaxPosition(c.position, sess.Position())
	}
	if !o.isRead() {
		c.ackedPosition = cluster.MaxPosition(c.ackedPosition, o.result.Position)
	}
}

// serve runs a request of a caller of this proxy. If the proxy is lost meanwhile,
// the outcome of a write is unknown.
func (n *node) serve(req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	switch {
	case n.watcher.ProofExpired():
		return statement.Result{}, errcode.New(errcode.OldDocument, "admit caller", n.name)
	case n.rejecting.Load():
		return statement.Result{}, errcode.New(errcode.Draining, "admit caller", n.name)
	}
	done := make(chan requestResult, 1)
	ctx, cancel := context.WithTimeout(n.ctx, req.Timeout+timeoutMargin)
	defer cancel()
	go func() {
		result, err := n.fleet.disabled.wrapEntry(n.gateway).Run(ctx, req, conv)
		done <- requestResult{result, err}
	}()
	select {
	case r := <-done:
		if !n.stopped() {
			return r.result, r.err
		}
	case <-n.ctx.Done():
	}
	if req.First.Class.ReadOnly() {
		return statement.Result{}, errcode.New(errcode.ConnectionLost, "entry proxy", n.name)
	}
	return statement.Result{}, errcode.New(errcode.Unknown, "entry proxy", n.name)
}
