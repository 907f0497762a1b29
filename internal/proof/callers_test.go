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
	// usualWork is the time that a single write takes at its server.
	usualWork = time.Millisecond
	// statementMargin is how much longer than its timeout a request may take.
	statementMargin = time.Second
	// thinkTime is the mean time between two requests of a session.
	thinkTime = 120 * time.Millisecond
	// sharedKeys is the number of keys that all sessions of a group write.
	sharedKeys = 2
)

type write struct{ key, value string }

// operation is one request of a session and how it ended.
type operation struct {
	session string
	// entry names the proxy that took the request.
	entry   string
	group   cluster.GroupName
	orderID string
	// writes is empty for a read, which has key.
	writes    []write
	key       string
	seen      string
	latest    bool
	call, end time.Time
	outcome   errcode.Outcome
	result    statement.Result
	// floor is the position that the session carried.
	floor cluster.Position
	// carries is set when the session carries the position of its reads.
	carries bool
	// acked is the session's last acknowledged write before the request.
	acked cluster.Position
	err   error
	// foreign is set when an answer belongs to another request.
	foreign bool
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

// script is a caller that sends its batches in turn and then leaves.
type script struct {
	mu      sync.Mutex
	think   time.Duration
	batches []statement.Batch
	answers []string
}

// Next implements statement.Conversation.
func (s *script) Next(ctx context.Context) (*statement.Batch, error) {
	delay.Sleep(ctx, s.think)
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

// Answer implements statement.Conversation.
func (s *script) Answer(_ context.Context, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, strings.TrimSpace(string(data)))
	return nil
}

func (s *script) last() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.answers) == 0 {
		return ""
	}
	return s.answers[len(s.answers)-1]
}

// answersTo reports whether each answer is the wanted one or a refusal.
func (s *script) answersTo(want []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, answer := range s.answers {
		if !slices.Contains(refusals, answer) && (i >= len(want) || answer != want[i]) {
			return false
		}
	}
	return true
}

// refusals are the answers of servers to what they do not run.
var refusals = []string{"read-only", "rollback"}

// roamer is one session whose requests each go through another proxy.
type roamer struct {
	fleet   *fleet
	name    string
	group   cluster.GroupName
	random  *rand.Rand
	history *history
	// carries is set for a session that takes a position with it; the floor of
	// another is known to the home only.
	carries  bool
	token    cluster.Position
	acked    cluster.Position
	sequence int
	repeats  []write
	// work and timeout take the place of usualWork and requestTimeout if set.
	work, timeout time.Duration
}

// run sends requests until ctx ends.
func (r *roamer) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(thinkTime)))
		p := r.fleet.proxy(r.random.IntN(proxyCount))
		if !p.ready() {
			continue // the balancer knows
		}
		r.request(p)
	}
}

func (r *roamer) next() string {
	r.sequence++
	return fmt.Sprintf("%s-%d", r.name, r.sequence)
}

func (r *roamer) shared() string { return fmt.Sprintf("shared-%d", r.random.IntN(sharedKeys)) }

// request sends one request of a random kind.
func (r *roamer) request(p *node) {
	switch n := r.random.IntN(100); {
	case n < 25:
		r.order(p, write{"order/" + r.next(), "v-" + r.name + "-" + fmt.Sprint(r.sequence)})
	case n < 30 && len(r.repeats) > 0:
		r.order(p, r.repeats[r.random.IntN(len(r.repeats))])
	case n < 45:
		r.write(p, "", write{r.name, r.next()})
	case n < 55:
		r.write(p, "", write{r.shared(), r.next()})
	case n < 65:
		r.transaction(p)
	case n < 75:
		r.read(p, r.name, false)
	case n < 85:
		r.read(p, r.shared(), false)
	default:
		r.read(p, r.shared(), true)
	}
}

// order sends an order with an id, or repeats an earlier one.
func (r *roamer) order(p *node, w write) {
	if len(r.repeats) < 10 {
		r.repeats = append(r.repeats, w)
	}
	r.write(p, w.key, w)
}

func (r *roamer) write(p *node, orderID string, w write) {
	o := &operation{orderID: orderID, writes: []write{w}}
	put := "put " + w.key + " " + w.value
	first := statement.Batch{Messages: []byte("work " + cmp.Or(r.work, usualWork).String() + " " + put)}
	r.send(p, o, first, &script{}, put)
}

func (r *roamer) transaction(p *node) {
	o := &operation{writes: []write{{r.name, r.next()}, {r.shared(), r.next()}}}
	s := &script{think: time.Duration(r.random.IntN(int(20 * time.Millisecond)))}
	for _, w := range o.writes {
		s.batches = append(s.batches, statement.Batch{Messages: []byte("put " + w.key + " " + w.value)})
	}
	s.batches = append(s.batches, statement.Batch{Messages: []byte("commit")})
	r.send(p, o, statement.Batch{Messages: []byte("begin"), Class: statement.ClassBegin}, s, "begin", "put", "put", "commit")
}

func (r *roamer) read(p *node, key string, latest bool) {
	o := &operation{key: key, latest: latest}
	r.send(p, o, statement.Batch{Messages: []byte("get " + key), Class: statement.ClassRead}, &script{})
}

// send runs a request through p. A write is done if its answers are want.
func (r *roamer) send(p *node, o *operation, first statement.Batch, s *script, want ...string) {
	s2 := &session.Session{}
	s2.SetName(r.name)
	floor := s2.Floor(r.token)
	req := &statement.Request{
		ID: r.name + "/" + fmt.Sprint(time.Now().UnixNano()), Group: r.group, Session: r.name,
		Rank: cluster.Rank(r.random.IntN(cluster.RankCount)), OrderID: o.orderID, Timeout: cmp.Or(r.timeout, requestTimeout),
		Floor: floor.Position, FloorExact: floor.Exact, First: first,
	}
	if o.latest {
		req.Freshness.Mode = statement.FreshnessLatest
	}
	o.carries, o.entry = r.carries, p.name
	o.session, o.group, o.call, o.floor, o.acked = r.name, r.group, time.Now(), r.token, r.acked
	o.result, o.err = p.serve(req, s)
	o.end = time.Now()
	o.seen = s.last()
	o.foreign = !o.isRead() && !s.answersTo(want)
	switch {
	case o.err != nil:
		o.outcome = errcode.From(o.err).Code.Outcome
	case !o.isRead() && !slices.Equal(s.answers, want):
		o.outcome = errcode.OutcomeNotRun // the server answered an error
	default:
		o.outcome = errcode.OutcomeDone
	}
	r.history.add(o)
	if o.outcome != errcode.OutcomeDone {
		return
	}
	s2.RecordResult(floor, o.result)
	if r.carries {
		r.token = cluster.MaxPosition(r.token, s2.Position())
	}
	if !o.isRead() {
		r.acked = cluster.MaxPosition(r.acked, o.result.Position)
	}
}

// serve runs a request of a caller of this proxy. The loss of the proxy leaves
// the outcome of a write unknown.
func (n *node) serve(req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	switch {
	case n.documents.Outdated():
		return statement.Result{}, errcode.New(errcode.OldDocument, "admit caller", n.name)
	case n.closed.Load():
		return statement.Result{}, errcode.New(errcode.Draining, "admit caller", n.name)
	}
	done := make(chan ending, 1)
	ctx, cancel := context.WithTimeout(n.ctx, req.Timeout+statementMargin)
	defer cancel()
	go func() {
		result, err := n.fleet.off.wrapEntry(n.gateway).Run(ctx, req, conv)
		done <- ending{result, err}
	}()
	select {
	case e := <-done:
		if !n.stopped() {
			return e.result, e.err
		}
	case <-n.ctx.Done():
	}
	if req.First.Class.ReadOnly() {
		return statement.Result{}, errcode.New(errcode.ConnectionLost, "entry proxy", n.name)
	}
	return statement.Result{}, errcode.New(errcode.Unknown, "entry proxy", n.name)
}
