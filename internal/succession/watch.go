package succession

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
)

const (
	// callTimeout bounds one call and the connection that it needs. It is above
	// the wait behind a full queue of slow statements.
	callTimeout = 800 * time.Millisecond
	// primaryInterval and replicaInterval are the times between two looks.
	primaryInterval = 400 * time.Millisecond
	replicaInterval = time.Second
	// failingInterval is the time between two fresh connections to a server that
	// does not answer, and busyInterval between two looks during an attempt.
	failingInterval = 150 * time.Millisecond
	busyInterval    = 60 * time.Millisecond
)

// watch asks one server for its status and carries out actions on it. It owns
// the connection.
type watch struct {
	loop     *groupLoop
	server   Server
	ctx      context.Context
	cancel   context.CancelFunc
	commands chan Action
	conn     backend.Replication
}

func newWatch(l *groupLoop, s Server) *watch {
	w := &watch{loop: l, server: s, commands: make(chan Action, 1)}
	w.ctx, w.cancel = context.WithCancel(l.ctx)
	return w
}

// command asks for an action unless another one waits; decisions repeat what
// has not taken effect.
func (w *watch) command(a Action) {
	select {
	case w.commands <- a:
	default:
	}
}

func (w *watch) run() {
	defer w.drop()
	interval := w.look(backend.Replication.Status)
	for w.ctx.Err() == nil {
		timer := time.NewTimer(interval)
		select {
		case <-w.ctx.Done():
		case a := <-w.commands:
			interval = w.look(call(a))
			eventCommand.Log(w.loop.controller.config.Log).Str("group", string(w.loop.name)).
				Str("server", string(w.server.ID)).Uint8("action", uint8(a.Kind)).Uint64("term", uint64(a.Term)).Send()
		case <-timer.C:
			interval = w.look(backend.Replication.Status)
		}
		timer.Stop()
	}
}

// request is one call on a replication connection.
type request func(backend.Replication, context.Context) (cluster.ServerStatus, error)

func call(a Action) request {
	return func(r backend.Replication, ctx context.Context) (cluster.ServerStatus, error) {
		switch a.Kind {
		case ActPause:
			return r.Pause(ctx, a.Term)
		case ActResume:
			return r.Resume(ctx)
		default:
			return r.StepDown(ctx, a.Term)
		}
	}
}

// look makes one call and returns the time until the next look. A connection
// that fails is replaced at once by a fresh one, whose failure counts.
func (w *watch) look(f request) time.Duration {
	if w.conn != nil {
		if w.try(f) {
			return w.interval()
		}
	}
	began := time.Now()
	err := w.dial()
	if err == nil && w.try(f) {
		return w.interval()
	}
	if w.ctx.Err() == nil {
		w.failed(began, err)
	}
	return failingInterval
}

func (w *watch) dial() error {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	conn, err := w.loop.controller.config.Dialer.DialReplication(ctx, w.server.Server, w.loop.name)
	if err != nil {
		return err
	}
	w.conn = conn
	return nil
}

// try makes one call on the present connection. A server that answers that it
// is busy works.
func (w *watch) try(f request) bool {
	ctx, cancel := context.WithTimeout(w.ctx, callTimeout)
	defer cancel()
	began := time.Now()
	status, err := f(w.conn, ctx)
	if err == nil {
		w.answered(status, began)
		return true
	}
	if errcode.Is(err, errcode.ServerBusy) {
		w.busy()
		return true
	}
	w.drop()
	return false
}

func (w *watch) drop() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}

func (w *watch) answered(status cluster.ServerStatus, began time.Time) {
	l := w.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watches[w.server.ID] == w {
		l.view.Servers[w.server.ID] = Observation{Status: status, At: began, Started: w.server.Started}
		l.wake()
	}
}

// busy notes that the server lives, without a new status.
func (w *watch) busy() {
	l := w.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	if o, ok := l.view.Servers[w.server.ID]; ok && l.watches[w.server.ID] == w {
		o.Failures, o.FailingSince, o.Refused = 0, time.Time{}, 0
		l.view.Servers[w.server.ID] = o
	}
}

// failed notes a failure. A server without a place for another connection lives.
func (w *watch) failed(began time.Time, err error) {
	if errcode.Is(err, errcode.Overloaded) {
		w.busy()
		return
	}
	l := w.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watches[w.server.ID] != w {
		return
	}
	o := l.view.Servers[w.server.ID]
	if o.Failures == 0 {
		o.FailingSince = began
		eventServerFails.Log(l.controller.config.Log).Str("group", string(l.name)).
			Str("server", string(w.server.ID)).AnErr("error", err).Send()
	}
	o.Failures++
	o.Refused++
	if !errors.Is(err, syscall.ECONNREFUSED) {
		o.Refused = 0
	}
	l.view.Servers[w.server.ID] = o
	l.wake()
}

// interval returns the time until the next look at a server that answers.
func (w *watch) interval() time.Duration {
	l := w.loop
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.state.Phase != PhaseWatching:
		return busyInterval
	case l.view.Servers[w.server.ID].Status.Role == cluster.RolePrimary:
		return primaryInterval
	default:
		return replicaInterval
	}
}
