package caller

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// readAhead is the number of statements that are read while one runs. One
	// is enough to notice that the caller has left.
	readAhead = 1
	// maxPrepared and maxSettings bound the memory of one session.
	maxPrepared = 200
	maxSettings = 100
)

// errLeft ends the work of a caller that has closed its connection.
var errLeft = errors.New("the caller has left")

// Routes finds the route of a database.
type Routes interface {
	// Route returns the route in force. The second result is false when the
	// database is unknown.
	Route(database string) (catalog.Route, bool)
}

// Config describes what a session uses.
type Config struct {
	Routes Routes
	Runner statement.Runner
	Log    *zerolog.Logger
}

// Session serves one caller connection. Serve may be called once.
type Session struct {
	config   Config
	wire     Wire
	database string
	// statements carries what was read; it is closed when the caller has left.
	statements chan *Statement
	settings   []statement.Setting
	prepared   map[string]prepared
	knowledge  session.Session
	// state is the transaction state that the caller is shown.
	state State
	// begun is the statement that began a transaction which no server knows yet.
	begun *Statement
	// draining is closed when the proxy stops.
	draining <-chan struct{}
}

// New returns a session of a caller that connected to a database.
func New(config Config, wire Wire, database string, draining <-chan struct{}) *Session {
	return &Session{
		config: config, wire: wire, database: database, draining: draining,
		statements: make(chan *Statement, readAhead), prepared: map[string]prepared{},
	}
}

// Serve runs the caller's statements until the caller leaves, ctx ends or the
// proxy drains while the session is idle.
func (s *Session) Serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.read(ctx, cancel)
	for {
		next := s.next(ctx)
		if next == nil || s.handle(ctx, next) != nil {
			return
		}
	}
}

// read decodes statements until the caller leaves, which ends ctx.
func (s *Session) read(ctx context.Context, cancel context.CancelCauseFunc) {
	defer close(s.statements)
	for {
		next, err := s.wire.Read()
		if err != nil {
			cancel(errLeft)
			return
		}
		select {
		case s.statements <- next:
		case <-ctx.Done():
			return
		}
	}
}

// next waits for a statement outside a server's transaction. It returns nil
// when the session is over.
func (s *Session) next(ctx context.Context) *Statement {
	draining := s.draining
	if s.state != StateIdle {
		draining = nil
	}
	select {
	case next := <-s.statements:
		return next
	case <-ctx.Done():
		return nil
	case <-draining:
		return s.lastStatement()
	}
}

// lastStatement returns a statement that arrived together with the end of an
// idle session, which is owed an answer.
func (s *Session) lastStatement() *Statement {
	select {
	case next := <-s.statements:
		return next
	default:
		return nil
	}
}

// handle carries out one statement outside a server's transaction. An error
// means that the caller cannot be answered.
func (s *Session) handle(ctx context.Context, next *Statement) error {
	switch {
	case next.Kind == KindMalformed:
		return s.wire.Fail(errcode.New(errcode.Malformed, "decode", ""), s.state)
	case s.state == StateFailed:
		return s.handleFailed(next)
	case s.local(next.Kind):
		return s.handleLocal(next)
	default:
		return s.run(ctx, next)
	}
}

// handleFailed answers statements of a transaction that has failed.
func (s *Session) handleFailed(next *Statement) error {
	switch next.Kind {
	case KindRollback:
		s.state = StateIdle
		return s.wire.Done(s.state)
	case KindCommit:
		s.state = StateIdle
		return s.wire.Fail(errcode.New(errcode.RolledBack, "commit", ""), s.state)
	default:
		return s.wire.Fail(errcode.New(errcode.Malformed, "failed transaction", ""), s.state)
	}
}

// local reports whether the proxy carries a statement out itself while no
// server holds a transaction of the session.
func (s *Session) local(k Kind) bool {
	switch k {
	case KindBegin, KindBeginReadOnly, KindSet, KindPrepare, KindDeallocate, KindRollback:
		return true
	case KindCommit:
		return s.begun == nil
	default:
		return false
	}
}

func (s *Session) handleLocal(next *Statement) error {
	switch next.Kind {
	case KindBegin, KindBeginReadOnly:
		if s.begun != nil {
			return s.wire.Fail(errcode.New(errcode.Malformed, "begin", ""), s.state)
		}
		s.begun, s.state = next, StateOpen
	case KindRollback:
		s.begun, s.state = nil, StateIdle
	case KindCommit:
		return s.wire.Fail(errcode.New(errcode.Malformed, "commit", ""), s.state)
	default:
		if err := s.define(next); err != nil {
			return s.wire.Fail(err, s.state)
		}
	}
	return s.wire.Done(s.state)
}

// define carries out SET, PREPARE and DEALLOCATE.
func (s *Session) define(next *Statement) *errcode.Error {
	switch next.Kind {
	case KindSet:
		return s.set(statement.Setting{Name: next.Name, Value: next.Value})
	case KindPrepare:
		if len(s.prepared) >= maxPrepared {
			return errcode.New(errcode.LimitExceeded, "prepare", "")
		}
		s.prepared[next.Name] = newPrepared(next)
	default:
		delete(s.prepared, next.Name)
	}
	return nil
}

func (s *Session) set(setting statement.Setting) *errcode.Error {
	i := slices.IndexFunc(s.settings, func(have statement.Setting) bool { return have.Name == setting.Name })
	switch {
	case i < 0 && len(s.settings) >= maxSettings:
		return errcode.New(errcode.LimitExceeded, "set", "")
	case i < 0:
		s.settings = append(slices.Clone(s.settings), setting)
	default:
		s.settings = slices.Clone(s.settings)
		s.settings[i] = setting
	}
	return nil
}

// run passes a statement, and the transaction that it may open, to the home.
func (s *Session) run(ctx context.Context, first *Statement) error {
	route, ok := s.config.Routes.Route(s.database)
	if !ok {
		return s.fail(first, errcode.New(errcode.UnknownDatabase, "route", s.database))
	}
	batch, refusal := s.batch(first)
	if refusal != nil {
		return s.fail(first, refusal)
	}
	floor := s.knowledge.Floor(cluster.Position{})
	request := &statement.Request{
		ID: first.ID, Group: route.Group, Rank: route.Rank, Freshness: route.Freshness,
		Floor: floor.Position, FloorExact: floor.Exact, Settings: s.settings,
		Timeout: route.Timeout, Objective: route.Objective, First: *batch,
	}
	c := &conversation{session: s, pending: first, opened: s.begun != nil}
	c.readOnly = c.opened && s.begun.Kind == KindBeginReadOnly
	c.classify(first, batch)
	request.First.Class = openingClass(s.begun, batch.Class)
	s.begun = nil
	started := time.Now()
	result, err := s.config.Runner.Run(ctx, request, c)
	return s.finish(ctx, c, request, started, floor, result, err)
}

// finish takes up the end of a request.
func (s *Session) finish(
	ctx context.Context, c *conversation, request *statement.Request, started time.Time,
	floor session.Floor, result statement.Result, err error,
) error {
	requestSeconds.UpdateDuration(started)
	if err == nil {
		s.knowledge.RecordResult(floor, statement.Result{Position: result.Position})
		return c.writeErr
	}
	e := errcode.From(err)
	s.knowledge.RecordFailure(e.Code.Outcome)
	if ctx.Err() != nil || c.writeErr != nil || statement.CallerDisconnected(err) {
		return errLeft
	}
	s.logFailure(c, request, started, e)
	if c.pending == nil {
		s.state = StateFailed
		return nil // the transaction ended while the caller was idle
	}
	return s.fail(c.pending, e)
}

// fail answers a statement that was passed on, or could not be.
func (s *Session) fail(failed *Statement, e *errcode.Error) error {
	inside := s.state == StateOpen
	s.begun = nil
	s.state = StateIdle
	if inside && failed.Kind != KindCommit {
		s.state = StateFailed
	}
	failuresTotal.Inc()
	return s.wire.Fail(e, s.state)
}

// batch encodes a statement for a backend server.
func (s *Session) batch(next *Statement) (*statement.Batch, *errcode.Error) {
	switch next.Kind {
	case KindRead:
		return &statement.Batch{Messages: s.wire.Forward(next, ""), Class: statement.ClassRead}, nil
	case KindWrite:
		return &statement.Batch{Messages: s.wire.Forward(next, ""), Class: statement.ClassWrite}, nil
	case KindCommit:
		return &statement.Batch{Messages: s.wire.Forward(next, ""), Class: statement.ClassCommit}, nil
	}
	p, ok := s.prepared[next.Name]
	if !ok {
		return nil, errcode.New(errcode.UnknownStatement, "execute", "")
	}
	b := &statement.Batch{Messages: s.wire.Forward(next, p.serverName), Class: statement.ClassRead}
	if p.definition.Writes {
		b.Class = statement.ClassWrite
	}
	b.Prepared = []statement.Prepared{{Name: p.serverName, Parse: s.wire.Definition(&p.definition, p.serverName)}}
	return b, nil
}

// openingClass returns the class of the first batch of a request.
func openingClass(begun *Statement, class statement.Class) statement.Class {
	switch {
	case begun == nil:
		return class
	case begun.Kind == KindBeginReadOnly:
		return statement.ClassBeginReadOnly
	default:
		return statement.ClassBegin
	}
}
