package warden

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

var errResponseLost = errors.New("response lost")

// faultInjector loses responses to control calls, and pauses before or after calls as if
// the process had been suspended.
type faultInjector struct {
	backend.Dialer
	mu sync.Mutex
	// responsesToLose is the number of responses to lose for each step.
	responsesToLose map[string]int
	// pauseBefore and pauseAfter hold at most one pause for each step.
	pauseBefore, pauseAfter map[string]time.Duration
}

func newFaultInjector(d backend.Dialer) *faultInjector {
	return &faultInjector{Dialer: d, responsesToLose: map[string]int{}, pauseBefore: map[string]time.Duration{}, pauseAfter: map[string]time.Duration{}}
}

func (i *faultInjector) DialControl(ctx context.Context, s cluster.Server, g cluster.GroupName) (backend.Control, error) {
	c, err := i.Dialer.DialControl(ctx, s, g)
	if err != nil {
		return nil, err
	}
	return &faultyControl{Control: c, injector: i}, nil
}

// loseNextResponses loses the responses to the next n calls of a step.
func (i *faultInjector) loseNextResponses(step string, n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.responsesToLose[step] = n
}

// pauseNext pauses at the next call of a step.
func (i *faultInjector) pauseNext(pauses map[string]time.Duration, step string, d time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	pauses[step] = d
}

func (i *faultInjector) consumeLoss(step string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.responsesToLose[step] == 0 {
		return false
	}
	i.responsesToLose[step]--
	return true
}

func (i *faultInjector) consumePause(pauses map[string]time.Duration, step string) time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	d := pauses[step]
	delete(pauses, step)
	return d
}

type faultyControl struct {
	backend.Control
	injector *faultInjector
}

// do makes a call. After a pause, the call is still sent, with a new deadline, as if the
// process had checked its deadline just before the pause.
func (c *faultyControl) do(ctx context.Context, step string, f func(context.Context) (cluster.ServerStatus, error)) (cluster.ServerStatus, error) {
	if d := c.injector.consumePause(c.injector.pauseBefore, step); d > 0 {
		time.Sleep(d)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
	}
	status, err := f(ctx)
	if d := c.injector.consumePause(c.injector.pauseAfter, step); d > 0 {
		time.Sleep(d)
	}
	if c.injector.consumeLoss(step) {
		return cluster.ServerStatus{}, errResponseLost
	}
	return status, err
}

func (c *faultyControl) Status(ctx context.Context) (cluster.ServerStatus, error) {
	return c.do(ctx, "status", c.Control.Status)
}

func (c *faultyControl) Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.do(ctx, "seal", func(ctx context.Context) (cluster.ServerStatus, error) { return c.Control.Seal(ctx, term, holder) })
}

func (c *faultyControl) Promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.do(ctx, "promote", func(ctx context.Context) (cluster.ServerStatus, error) { return c.Control.Promote(ctx, term, holder) })
}

func (c *faultyControl) Follow(ctx context.Context, term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error) {
	return c.do(ctx, "follow", func(ctx context.Context) (cluster.ServerStatus, error) { return c.Control.Follow(ctx, term, leader) })
}
