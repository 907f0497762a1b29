package warden

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/failover"
)

const (
	// primaryInterval and replicaInterval are the times between two status
	// calls to a primary and to another server.
	primaryInterval = 500 * time.Millisecond
	replicaInterval = time.Second
	// failingInterval is the time between two fresh connections to a primary
	// that does not answer, and downInterval to another server.
	failingInterval = 250 * time.Millisecond
	downInterval    = time.Second
	// freshInterval is the time between two fresh connections to a primary
	// that answers.
	freshInterval = time.Second
	// standbyFactor stretches the intervals of the wardens that do not act
	// first. Observations must stay younger than the evidence that counts.
	standbyFactor = 1.5
)

// watch asks one server for its status. It owns the control connection.
type watch struct {
	dialer  backend.Dialer
	board   *failover.StatusTracker
	group   cluster.GroupName
	server  cluster.Server
	spec    *atomic.Pointer[failover.GroupSpec]
	control backend.Control
	primary bool
	// freshAt is the time of the last fresh connection.
	freshAt time.Time
	rand    *rand.Rand
}

func newWatch(l *groupLoop, server cluster.Server) *watch {
	spec := l.spec.Load()
	return &watch{
		dialer: l.cfg.Dialer, board: l.board, group: spec.Name, server: server, spec: &l.spec,
		rand: rand.New(rand.NewPCG(l.cfg.Seed, seedOf(*spec)+uint64(len(server.ID)))),
	}
}

// run watches until ctx ends.
func (w *watch) run(ctx context.Context) {
	defer func() { w.replace(nil) }()
	for ctx.Err() == nil {
		answered := w.look(ctx)
		w.pause(ctx, w.interval(answered))
	}
}

// interval returns the time until the next look.
func (w *watch) interval(answered bool) time.Duration {
	spec := w.spec.Load()
	primary := w.board.Status().Primary(*spec) == w.server.ID
	interval := replicaInterval
	switch {
	case !answered && primary:
		return failingInterval
	case !answered:
		return downInterval
	case primary:
		interval = primaryInterval
	}
	if spec.StandbyIndex > 0 {
		return time.Duration(standbyFactor * float64(interval))
	}
	return interval
}

// look asks once and reports whether the server answered. A connection that
// fails is given up in favour of a fresh one, whose failure counts.
func (w *watch) look(ctx context.Context) bool {
	if w.control != nil && !w.freshDue() {
		began := time.Now()
		if status, err := w.status(ctx, w.control); err == nil {
			w.answered(status, began)
			return true
		}
		pathsReplaced.Inc()
		w.replace(nil)
	}
	return w.fresh(ctx)
}

// freshDue reports whether a primary must prove that it takes new connections.
func (w *watch) freshDue() bool { return w.primary && time.Since(w.freshAt) >= freshInterval }

// fresh replaces the connection by a new one and asks on it. The old one is
// closed first, because places for control connections are few; only the
// warden that acts first keeps the new one.
func (w *watch) fresh(ctx context.Context) bool {
	w.replace(nil)
	began := time.Now()
	w.freshAt = began
	callCtx, cancel := context.WithTimeout(ctx, failover.CallTimeout)
	defer cancel()
	control, err := w.dialer.DialControl(callCtx, w.server, w.group)
	if err == nil {
		var status cluster.ServerStatus
		if status, err = control.Status(callCtx); err == nil {
			w.keep(control)
			w.answered(status, began)
			return true
		}
		_ = control.Close()
	}
	if failover.IsConnectionLimit(err) {
		w.board.RecordAlive(w.server.ID, began)
		return true
	}
	if ctx.Err() == nil {
		w.board.RecordFailure(w.server.ID, began, failover.CallTimeout)
	}
	return false
}

func (w *watch) status(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, failover.CallTimeout)
	defer cancel()
	return c.Status(ctx)
}

func (w *watch) answered(status cluster.ServerStatus, began time.Time) {
	w.primary = status.Role == cluster.RolePrimary
	w.board.RecordStatus(w.server.ID, status, began)
}

// keep keeps a new connection, or closes it when another warden acts first.
func (w *watch) keep(control backend.Control) {
	if w.spec.Load().StandbyIndex > 0 {
		_ = control.Close()
		return
	}
	w.control = control
}

// replace closes the connection and keeps another, which may be nil.
func (w *watch) replace(control backend.Control) {
	if w.control != nil {
		_ = w.control.Close()
	}
	w.control = control
}

// pause waits for d plus or minus a fifth.
func (w *watch) pause(ctx context.Context, d time.Duration) {
	delay.Sleep(ctx, delay.JitterWith(d, w.rand.Float64()))
}
