package warden

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

var errLost = errors.New("answer lost")

// meddler loses answers of control calls and pauses before or after them, as a
// stopped process does.
type meddler struct {
	backend.Dialer
	mu sync.Mutex
	// lose holds the number of answers to lose for each step.
	lose map[string]int
	// before and after hold one pause for each step.
	before, after map[string]time.Duration
}

func newMeddler(d backend.Dialer) *meddler {
	return &meddler{Dialer: d, lose: map[string]int{}, before: map[string]time.Duration{}, after: map[string]time.Duration{}}
}

func (m *meddler) DialControl(ctx context.Context, s cluster.Server, g cluster.GroupName) (backend.Control, error) {
	c, err := m.Dialer.DialControl(ctx, s, g)
	if err != nil {
		return nil, err
	}
	return &meddledControl{Control: c, m: m}, nil
}

// loseNext loses the answers to the next n calls of a step.
func (m *meddler) loseNext(step string, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lose[step] = n
}

// pauseNext pauses at the next call of a step.
func (m *meddler) pauseNext(pauses map[string]time.Duration, step string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	pauses[step] = d
}

func (m *meddler) takeLoss(step string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lose[step] == 0 {
		return false
	}
	m.lose[step]--
	return true
}

func (m *meddler) takePause(pauses map[string]time.Duration, step string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := pauses[step]
	delete(pauses, step)
	return d
}

type meddledControl struct {
	backend.Control
	m *meddler
}

// do runs a call. After a pause the call is sent all the same, with a new
// deadline, as if the process had checked its deadline just before the pause.
func (c *meddledControl) do(ctx context.Context, step string, f func(context.Context) (cluster.ServerStatus, error)) (cluster.ServerStatus, error) {
	if d := c.m.takePause(c.m.before, step); d > 0 {
		time.Sleep(d)
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
	}
	status, err := f(ctx)
	if d := c.m.takePause(c.m.after, step); d > 0 {
		time.Sleep(d)
	}
	if c.m.takeLoss(step) {
		return cluster.ServerStatus{}, errLost
	}
	return status, err
}

func (c *meddledControl) Status(ctx context.Context) (cluster.ServerStatus, error) {
	return c.do(ctx, "status", c.Control.Status)
}

func (c *meddledControl) Seal(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.do(ctx, "seal", func(ctx context.Context) (cluster.ServerStatus, error) { return c.Control.Seal(ctx, term, holder) })
}

func (c *meddledControl) Promote(ctx context.Context, term cluster.Term, holder string) (cluster.ServerStatus, error) {
	return c.do(ctx, "promote", func(ctx context.Context) (cluster.ServerStatus, error) { return c.Control.Promote(ctx, term, holder) })
}

func (c *meddledControl) Follow(ctx context.Context, term cluster.Term, leader cluster.Server) (cluster.ServerStatus, error) {
	return c.do(ctx, "follow", func(ctx context.Context) (cluster.ServerStatus, error) { return c.Control.Follow(ctx, term, leader) })
}
