package gateway

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// maxHops bounds how often a request is passed on between proxies.
	maxHops = 2
	// firstPause and maxPause bound the pause between attempts.
	firstPause = 5 * time.Millisecond
	maxPause   = 250 * time.Millisecond
	// defaultTimeout bounds a request that names no timeout of its own.
	defaultTimeout = 30 * time.Second
)

// Members tells where homes are. Its answers may be out of date.
type Members interface {
	// HomeOf returns the proxy that should own the group; empty when none is known.
	HomeOf(group cluster.GroupName) cluster.ProxyID
	// Relay returns a proxy other than the excluded ones that may reach more
	// than this one does; empty when there is none.
	Relay(exclude ...cluster.ProxyID) cluster.ProxyID
	// Runner returns the way to a proxy, or nil when its address is unknown.
	Runner(id cluster.ProxyID) statement.Runner
}

// Config holds what a Gateway needs.
type Config struct {
	// Self is this proxy.
	Self cluster.ProxyID
	// Local runs requests of the groups that this proxy owns.
	Local   statement.Runner
	Members Members
	// Substitute names the proxy that stands in for a home that cannot be
	// reached. It is nil where homes are claimed and only they may run requests.
	Substitute func(group cluster.GroupName, failed cluster.ProxyID) cluster.ProxyID
	// Log receives events; nil discards them.
	Log *zerolog.Logger
}

// Gateway implements statement.Runner for every group of the environment.
type Gateway struct {
	config   Config
	refusals *refusals
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.Log == nil {
		nop := zerolog.Nop()
		config.Log = &nop
	}
	return &Gateway{config: config, refusals: newRefusals()}
}

// Run implements statement.Runner.
func (g *Gateway) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	if req.Timeout <= 0 {
		req.Timeout = defaultTimeout
	}
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": req.TraceParent})
	ctx, span := otel.Tracer("rattancove/gateway").Start(ctx, "forward")
	defer span.End()
	if span.SpanContext().IsValid() {
		carrier := propagation.MapCarrier{}
		propagation.TraceContext{}.Inject(ctx, carrier)
		req.TraceParent = carrier["traceparent"]
	}
	now := time.Now()
	a := &attempt{
		gateway: g, req: req, conv: &trackedConversation{Conversation: conv}, started: now, deadline: now.Add(req.Timeout),
	}
	result, err := a.runUntilDone(ctx)
	span.SetAttributes(
		attribute.String("rattancove.group", string(req.Group)),
		attribute.String("rattancove.home", string(result.Home)),
		attribute.String("rattancove.server", string(result.Server)),
		attribute.String("rattancove.reason", result.Reason),
	)
	if err != nil {
		span.RecordError(err)
	}
	return result, err
}

// attempt is the course of one request over its attempts.
type attempt struct {
	gateway  *Gateway
	req      *statement.Request
	conv     *trackedConversation
	started  time.Time
	deadline time.Time
	// redirect is the home that the last refusal named.
	redirect cluster.ProxyID
	// home is the proxy of the last attempt.
	home cluster.ProxyID
	// relay is set after the direct way to the home failed.
	relay bool
	// unknown is the error of an attempt that may have run.
	unknown error
}

func (a *attempt) runUntilDone(ctx context.Context) (statement.Result, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = firstPause
	pause.MaxInterval = maxPause
	for {
		result, err := a.runOnce(ctx)
		if err == nil || !a.mayRepeat(err) {
			return result, a.final(err)
		}
		gatewayRetries.Inc()
		a.logRetry(err)
		if !delay.Sleep(ctx, pause.NextBackOff()) || time.Until(a.deadline) <= 0 {
			return statement.Result{}, a.final(err)
		}
	}
}

// logRetry tells why a request is sent again, and from where.
func (a *attempt) logRetry(err error) {
	e := errcode.From(err)
	eventRerouted.Log(a.gateway.config.Log).Str("request", a.req.ID).Str("group", string(a.req.Group)).
		Str("home", string(a.home)).Str("next", string(a.redirect)).Str("code", e.Code.Name).Str("step", e.Step).
		Dur("after", time.Since(a.started)).Send()
}

// final returns the error to report: once an attempt may have run, a later
// refusal does not prove that the request was not run.
func (a *attempt) final(err error) error {
	if err != nil && a.unknown != nil && errcode.From(err).Code.Outcome == errcode.OutcomeNotRun {
		return a.unknown
	}
	return err
}

func (a *attempt) runOnce(ctx context.Context) (statement.Result, error) {
	home := a.redirect
	if home == "" {
		home = a.gateway.config.Members.HomeOf(a.req.Group)
	}
	a.redirect = ""
	a.home = home
	if home == "" {
		return statement.Result{}, errcode.New(errcode.NoHome, "find home", string(a.req.Group))
	}
	attemptReq := *a.req
	attemptReq.Timeout = time.Until(a.deadline)
	if a.req.Objective != 0 {
		// Zero would mean that there is no objective.
		attemptReq.Objective = cmp.Or(a.req.Objective-time.Since(a.started), -1)
	}
	if home == a.gateway.config.Self {
		return a.gateway.config.Local.Run(ctx, &attemptReq, a.conv)
	}
	if a.req.Hops >= maxHops {
		return statement.Result{}, redirectError(home)
	}
	if a.req.Hops > 0 {
		return a.forward(ctx, home, &attemptReq)
	}
	if err := a.gateway.refusals.check(a.req, home); err != nil {
		return statement.Result{}, err
	}
	result, err := a.forward(ctx, home, &attemptReq)
	if err != nil {
		a.gateway.refusals.note(a.req, home, err)
	}
	return result, err
}

// forward sends the request to its home at another proxy, through a third one
// when the direct way has failed.
func (a *attempt) forward(ctx context.Context, home cluster.ProxyID, req *statement.Request) (statement.Result, error) {
	req.Hops++
	next := home
	if a.relay {
		if other := a.gateway.config.Members.Relay(home, a.gateway.config.Self); other != "" {
			next = other
			gatewayRelays.Inc()
		}
	}
	a.relay = false
	runner := a.gateway.config.Members.Runner(next)
	if runner == nil {
		return statement.Result{}, errcode.New(errcode.NoHome, "address of home", string(next))
	}
	return runner.Run(ctx, req, a.conv)
}

// mayRepeat decides on another attempt and remembers what the failed one taught.
// Only the proxy of the caller repeats: where a request was passed on, another
// attempt may have no hop left, and the way from the caller's proxy may be shorter.
func (a *attempt) mayRepeat(err error) bool {
	var e *errcode.Error
	if !errors.As(err, &e) || a.conv.touched || a.req.Hops > 0 {
		return false
	}
	switch e.Code.Name {
	case errcode.Superseded.Name:
		a.redirect = cluster.ProxyID(e.Peer)
		return true
	case errcode.NoHome.Name, errcode.ConnectionLost.Name:
		if substitute := a.gateway.config.Substitute; substitute != nil {
			a.redirect = substitute(a.req.Group, a.home)
			return true
		}
		a.relay = true
		return true
	case errcode.NoPrimary.Name, errcode.Draining.Name:
		return true
	case errcode.Unknown.Name:
		a.unknown = err
		return a.req.OrderID != ""
	default:
		return false
	}
}

func redirectError(home cluster.ProxyID) error {
	return errcode.New(errcode.Superseded, "pass on", string(home))
}

// trackedConversation notes whether the request has become visible to the
// caller, after which it cannot be repeated from its first batch.
type trackedConversation struct {
	statement.Conversation
	touched bool
}

// Next implements statement.Conversation.
func (c *trackedConversation) Next(ctx context.Context) (*statement.Batch, error) {
	c.touched = true
	return c.Conversation.Next(ctx)
}

// Answer implements statement.Conversation.
func (c *trackedConversation) Answer(ctx context.Context, data []byte) error {
	c.touched = true
	return c.Conversation.Answer(ctx, data)
}
