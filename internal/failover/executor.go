package failover

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/cluster"
)

const (
	// CallTimeout limits a new connection and the call on it.
	CallTimeout = 400 * time.Millisecond
	// sealGracePeriod is the additional time for the remaining servers once a majority is
	// sealed.
	sealGracePeriod = 50 * time.Millisecond
)

var tracer = otel.Tracer("rattancove/failover")

// Observers asks other processes to probe the servers.
type Observers interface {
	// Query returns immediately; deliver is called with each report when it arrives.
	Query(ctx context.Context, spec GroupSpec, deliver func(ObserverReport))
}

// Executor executes actions for one group. Each call uses its own connection, which is
// closed after the call. Run must not be called concurrently.
type Executor struct {
	dialer    backend.Dialer
	tracker   *StatusTracker
	store     *RecordStore
	observers Observers
	log       zerolog.Logger
	calls     sync.WaitGroup
}

// NewExecutor returns an Executor that records its results in tracker.
func NewExecutor(dialer backend.Dialer, tracker *StatusTracker, store *RecordStore, observers Observers, log zerolog.Logger) *Executor {
	return &Executor{dialer: dialer, tracker: tracker, store: store, observers: observers, log: log}
}

// Wait waits for calls that were still in progress when Run returned. They end within
// CallTimeout.
func (e *Executor) Wait() { e.calls.Wait() }

// Run executes actions. Failures are only recorded in the StatusTracker.
func (e *Executor) Run(ctx context.Context, spec GroupSpec, actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case QueryObservers:
			e.observers.Query(ctx, spec, e.tracker.AddReport)
		case Confirm:
			e.confirm(ctx, spec, a)
		case Seal:
			e.seal(ctx, spec, a)
		case Promote:
			e.promote(ctx, spec, a)
		case Follow:
			e.follow(ctx, spec, a)
		case SaveRecord:
			e.saveRecord(a)
		}
	}
	e.waitForFollows(actions)
}

// confirm probes all servers on new connections and concurrently writes the intent.
func (e *Executor) confirm(ctx context.Context, spec GroupSpec, c Confirm) {
	ctx, span := e.span(ctx, "confirm", spec, c.Attempt.Term)
	defer span.End()
	attemptsTotal.Inc()
	eventFailoverBegan.Log(&e.log).
		Str("group", string(spec.Name)).
		Uint64("term", uint64(c.Attempt.Term)).
		Str("cause", string(c.Attempt.Cause)).
		Str("primary", string(c.Attempt.OldPrimary)).
		Send()
	var wg sync.WaitGroup
	for _, server := range spec.Servers {
		wg.Go(func() { e.Probe(ctx, spec.Name, server) })
	}
	intent := Intent{
		Term: c.Attempt.Term, Holder: c.Attempt.Holder, At: time.Now(),
		WithoutMajority: c.Attempt.WithoutMajority,
	}
	e.tracker.SetIntent(e.store.DeclareIntent(ctx, spec.Name, intent))
	wg.Wait()
}

// Probe asks a server for its status on a new connection.
func (e *Executor) Probe(ctx context.Context, group cluster.GroupName, server cluster.Server) {
	e.call(ctx, group, server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Status(ctx)
	})
}

// seal seals the servers. It returns sealGracePeriod after a majority holds the seal,
// or when all calls have ended.
func (e *Executor) seal(ctx context.Context, spec GroupSpec, s Seal) {
	if !time.Now().Before(s.Deadline) {
		return
	}
	ctx, span := e.span(ctx, "seal", spec, s.Attempt.Term)
	defer span.End()
	ended := make(chan struct{}, len(s.Servers))
	for _, id := range s.Servers {
		server := spec.server(id)
		e.calls.Go(func() {
			e.sealOne(ctx, spec, server, s)
			ended <- struct{}{}
		})
	}
	var grace <-chan time.Time
	for range s.Servers {
		select {
		case <-ended:
		case <-grace:
			return
		}
		sealed := len(e.tracker.Status().sealedBy(spec, s.Attempt))
		if grace == nil && sealed >= spec.majority() {
			grace = time.After(sealGracePeriod)
		}
	}
}

func (e *Executor) sealOne(ctx context.Context, spec GroupSpec, server cluster.Server, s Seal) {
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	e.call(ctx, spec.Name, server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Seal(ctx, s.Attempt.Term, s.Attempt.Holder)
	})
}

func (e *Executor) promote(ctx context.Context, spec GroupSpec, p Promote) {
	ctx, span := e.span(ctx, "promote", spec, p.Attempt.Term)
	defer span.End()
	server := spec.server(p.Attempt.Candidate)
	e.call(ctx, spec.Name, server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Promote(ctx, p.Attempt.Term, p.Attempt.Holder)
	})
}

func (e *Executor) follow(ctx context.Context, spec GroupSpec, f Follow) {
	server := spec.server(f.Server)
	primary := spec.server(f.Primary)
	e.calls.Go(func() {
		ctx, span := e.span(ctx, "follow", spec, f.Term)
		defer span.End()
		e.call(ctx, spec.Name, server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
			return c.Follow(ctx, f.Term, primary)
		})
	})
}

// waitForFollows waits for the follow calls, which run concurrently.
func (e *Executor) waitForFollows(actions []Action) {
	for _, action := range actions {
		if _, ok := action.(Follow); ok {
			e.calls.Wait()
			return
		}
	}
}

func (e *Executor) saveRecord(r SaveRecord) {
	record := r.Record
	e.store.Enqueue(record)
	completionEvent := eventFailoverCompleted
	if record.MayBeLost != "" {
		completionEvent = eventFailoverMayHaveLost
	}
	if record.Holder != "" {
		completedTotal.Inc()
		gapSeconds.Update(record.CompletedAt.Sub(record.FailureSince).Seconds())
	}
	completionEvent.Log(&e.log).
		Str("group", string(record.Group)).
		Uint64("term", uint64(record.Term)).
		Str("cause", string(record.Cause)).
		Str("old_primary", string(record.OldPrimary)).
		Str("new_primary", string(record.NewPrimary)).
		Dur("since_trouble", record.CompletedAt.Sub(record.FailureSince)).
		Str("may_be_lost", record.MayBeLost).
		Str("discarded", record.Discarded).
		Send()
}

// call runs f on a new connection and records the result. If f fails, it may still
// have taken effect, so the server is asked for its status.
func (e *Executor) call(
	ctx context.Context, group cluster.GroupName, server cluster.Server,
	f func(context.Context, backend.Control) (cluster.ServerStatus, error),
) {
	if e.tryCall(ctx, group, server, f) || ctx.Err() != nil {
		return
	}
	e.tryCall(ctx, group, server, func(ctx context.Context, c backend.Control) (cluster.ServerStatus, error) {
		return c.Status(ctx)
	})
}

func (e *Executor) tryCall(
	ctx context.Context, group cluster.GroupName, server cluster.Server,
	f func(context.Context, backend.Control) (cluster.ServerStatus, error),
) bool {
	probesTotal.Inc()
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	dialedAt := time.Now()
	control, err := e.dialer.DialControl(ctx, server, group)
	if ShowsRunning(err) {
		e.tracker.RecordAlive(server.ID, dialedAt)
		return true
	}
	if err != nil {
		e.recordFailure(ctx, server.ID, dialedAt)
		return true // without a connection there is no status to ask for
	}
	defer func() { _ = control.Close() }()
	status, err := f(ctx, control)
	if err != nil {
		if ctx.Err() != nil {
			e.recordFailure(ctx, server.ID, dialedAt)
			return true
		}
		return false
	}
	e.tracker.RecordStatus(server.ID, status, dialedAt)
	return true
}

// recordFailure records a failure unless the call was canceled.
func (e *Executor) recordFailure(ctx context.Context, id cluster.ServerID, dialedAt time.Time) {
	if context.Cause(ctx) == context.Canceled { //nolint:errorlint // the cause is set by this package
		return
	}
	e.tracker.RecordFailure(id, dialedAt, CallTimeout)
}

func (e *Executor) span(ctx context.Context, step string, spec GroupSpec, term cluster.Term) (context.Context, trace.Span) {
	return tracer.Start(ctx, "failover "+step, trace.WithAttributes(
		attribute.String("group", string(spec.Name)),
		attribute.Int64("term", int64(term)),
	))
}
