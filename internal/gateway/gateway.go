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
	// maxHops limits how many times a request is forwarded between proxies.
	maxHops = 2
	// minRetryDelay and maxRetryDelay limit the delay between attempts.
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = 250 * time.Millisecond
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = 30 * time.Second
)

// HomeLocator locates the homes of groups. Its results may be out of date.
type HomeLocator interface {
	// HomeOf returns the proxy that should own the group; empty when none is known.
	HomeOf(group cluster.GroupName) cluster.ProxyID
	// Relay returns a proxy other than the excluded ones that may reach proxies
	// that this one cannot; empty when there is none.
	Relay(exclude ...cluster.ProxyID) cluster.ProxyID
	// Runner returns a runner that runs requests at a proxy, or nil when the
	// proxy's address is unknown.
	Runner(id cluster.ProxyID) statement.Runner
}

// Config holds the settings and dependencies of a Gateway.
type Config struct {
	// Self is this proxy.
	Self cluster.ProxyID
	// Local runs requests of the groups that this proxy owns.
	Local       statement.Runner
	HomeLocator HomeLocator
	// FallbackHome returns the proxy that serves a group in place of its unreachable
	// home. It is nil in deployments in which homes claim their groups and no other
	// proxy may run requests; a relay is tried there instead.
	FallbackHome func(group cluster.GroupName, failed cluster.ProxyID) cluster.ProxyID
	// Log receives events; nil discards them.
	Log *zerolog.Logger
}

// Gateway implements statement.Runner for all groups of the environment.
type Gateway struct {
	config   Config
	throttle *throttle
	quotas   *quotaThrottle
}

// New returns a Gateway.
func New(config Config) *Gateway {
	if config.Log == nil {
		nop := zerolog.Nop()
		config.Log = &nop
	}
	return &Gateway{config: config, throttle: newThrottle(), quotas: newQuotaThrottle()}
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
	c := &call{
		gateway: g, req: req, conv: &trackedConversation{Conversation: conv}, started: now, deadline: now.Add(req.Timeout),
	}
	result, err := c.runWithRetries(ctx)
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

// call is the state of one request during its attempts.
type call struct {
	gateway  *Gateway
	req      *statement.Request
	conv     *trackedConversation
	started  time.Time
	deadline time.Time
	// nextHome is the home for the next attempt, if the last failure determined one.
	nextHome cluster.ProxyID
	// home is the home at which the last attempt was made.
	home cluster.ProxyID
	// useRelay is set after the direct path to the home has failed.
	useRelay bool
	// unknownOutcome is the error of an attempt that may have run.
	unknownOutcome error
}

func (c *call) runWithRetries(ctx context.Context) (statement.Result, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	for {
		result, err := c.runAttempt(ctx)
		if err == nil || !c.prepareRetry(err) {
			return result, c.finalError(err)
		}
		retriesTotal.Inc()
		c.logRetry(err)
		if !delay.Sleep(ctx, retry.NextBackOff()) || time.Until(c.deadline) <= 0 {
			return statement.Result{}, c.finalError(err)
		}
	}
}

// logRetry logs the failed attempt that is retried.
func (c *call) logRetry(err error) {
	e := errcode.From(err)
	eventRerouted.Log(c.gateway.config.Log).Str("request", c.req.ID).Str("group", string(c.req.Group)).
		Str("home", string(c.home)).Str("next", string(c.nextHome)).Str("code", e.Code.Name).Str("step", e.Step).
		Dur("after", time.Since(c.started)).Send()
}

// finalError returns the error to report. Once an attempt may have run, a later
// refusal does not prove that the request did not run.
func (c *call) finalError(err error) error {
	if err != nil && c.unknownOutcome != nil && errcode.From(err).Code.Outcome == errcode.OutcomeNotRun {
		return c.unknownOutcome
	}
	return err
}

func (c *call) runAttempt(ctx context.Context) (statement.Result, error) {
	home := c.nextHome
	if home == "" {
		home = c.gateway.config.HomeLocator.HomeOf(c.req.Group)
	}
	c.nextHome = ""
	c.home = home
	if home == "" {
		return statement.Result{}, errcode.New(errcode.NoHome, "find home", string(c.req.Group))
	}
	attempt := *c.req
	attempt.Timeout = time.Until(c.deadline)
	if c.req.Objective != 0 {
		// Zero would mean that the request has no objective.
		attempt.Objective = cmp.Or(c.req.Objective-time.Since(c.started), -1)
	}
	if home == c.gateway.config.Self {
		return c.gateway.config.Local.Run(ctx, &attempt, c.conv)
	}
	if c.req.Hops >= maxHops {
		return statement.Result{}, redirectError(home)
	}
	if c.req.Hops > 0 {
		return c.forward(ctx, home, &attempt)
	}
	if err := c.gateway.throttle.check(c.req, home); err != nil {
		return statement.Result{}, err
	}
	trial, err := c.gateway.quotas.check(c.req.Organisation, home)
	if err != nil {
		return statement.Result{}, err
	}
	result, err := c.forward(ctx, home, &attempt)
	if err != nil {
		c.gateway.throttle.record(c.req, home, err)
	}
	c.gateway.quotas.record(c.req.Organisation, home, trial, err)
	return result, err
}

// forward sends the request to its home at another proxy, or to a relay when the
// direct path has failed.
func (c *call) forward(ctx context.Context, home cluster.ProxyID, req *statement.Request) (statement.Result, error) {
	req.Hops++
	next := home
	if c.useRelay {
		if relay := c.gateway.config.HomeLocator.Relay(home, c.gateway.config.Self); relay != "" {
			next = relay
			relaysTotal.Inc()
		}
	}
	c.useRelay = false
	runner := c.gateway.config.HomeLocator.Runner(next)
	if runner == nil {
		return statement.Result{}, errcode.New(errcode.NoHome, "address of home", string(next))
	}
	return runner.Run(ctx, req, c.conv)
}

// prepareRetry reports whether to make another attempt and selects its target from
// the error. Only the caller's proxy retries: at a proxy to which the request was
// forwarded, another attempt may exceed maxHops, and the path from the caller's
// proxy may be shorter.
func (c *call) prepareRetry(err error) bool {
	var e *errcode.Error
	if !errors.As(err, &e) || c.conv.started || c.req.Hops > 0 {
		return false
	}
	switch e.Code.Name {
	case errcode.Superseded.Name:
		c.nextHome = cluster.ProxyID(e.Peer)
		return true
	case errcode.NoHome.Name, errcode.ConnectionLost.Name:
		if fallbackHome := c.gateway.config.FallbackHome; fallbackHome != nil {
			c.nextHome = fallbackHome(c.req.Group, c.home)
			return true
		}
		c.useRelay = true
		return true
	case errcode.NoPrimary.Name, errcode.Draining.Name:
		return true
	case errcode.Unknown.Name:
		c.unknownOutcome = err
		return c.req.OrderID != ""
	default:
		return false
	}
}

func redirectError(home cluster.ProxyID) error {
	return errcode.New(errcode.Superseded, "pass on", string(home))
}

// trackedConversation records whether the caller has received a response or was
// asked for another batch, here or at a home. The request cannot be retried from
// its first batch then. The type of the same name in package home also records
// whether sending to the caller failed.
type trackedConversation struct {
	statement.Conversation
	started bool
}

// Next implements statement.Conversation.
func (c *trackedConversation) Next(ctx context.Context) (*statement.Batch, error) {
	c.started = true
	return c.Conversation.Next(ctx)
}

// SendResponse implements statement.Conversation.
func (c *trackedConversation) SendResponse(ctx context.Context, data []byte) error {
	c.started = true
	return c.Conversation.SendResponse(ctx, data)
}
