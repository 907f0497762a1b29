package caller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/memory"
	"github.com/rattancove/rattancove/internal/session"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// readAhead is the number of statements read ahead while one runs. One is
	// enough to detect that the caller has disconnected.
	readAhead = 1
	// maxPrepared and maxSettings bound the memory of one session.
	maxPrepared = 200
	maxSettings = 100
	// drainGrace is how long idle sessions can still receive statements after EndIdle. A
	// statement that was sent before may be read later, since a VM with a fifth of a core can
	// be stalled by its quota for 80 ms.
	drainGrace = 100 * time.Millisecond
	// maxRequestIDBytes bounds the request id that is logged.
	maxRequestIDBytes = 128
)

// errDisconnected reports that the caller has closed its connection.
var errDisconnected = errors.New("caller disconnected")

// Routes looks up the route of a database.
type Routes interface {
	// Route returns the current route. The second result is false when the database
	// is unknown.
	Route(database string) (catalog.Route, bool)
}

// Config holds the dependencies of a session.
type Config struct {
	Routes Routes
	Runner statement.Runner
	// Authorize is asked for each statement that is forwarded; nil if callers have no keys.
	Authorize Authorize
	Log       *zerolog.Logger
	// Texts bounds the memory of the prepared statements and settings of all sessions; nil
	// if it has no bound.
	Texts *memory.Pool
}

// Session serves one caller connection. Serve must be called only once.
type Session struct {
	config   Config
	conn     Conn
	database string
	// statements carries the statements read; it is closed when the caller has
	// disconnected.
	statements  chan *Statement
	settings    []statement.Setting
	prepared    map[string]preparedStatement
	texts       texts
	consistency session.Session
	// state is the transaction state reported to the caller.
	state State
	// pendingBegin is the statement that began a transaction which is not yet open
	// at a server; nil otherwise.
	pendingBegin *Statement
	drain        *Drain
	// refused is set while the caller's key is refused and that has been logged.
	refused bool
	// readingEnded is set once no more statements are read because of a drain.
	readingEnded atomic.Bool
}

// New returns a session for a caller connected to a database.
func New(config Config, conn Conn, database string, drain *Drain) *Session {
	return &Session{
		config: config, conn: conn, database: database, drain: drain,
		statements: make(chan *Statement, readAhead), prepared: map[string]preparedStatement{},
		texts: texts{pool: config.Texts},
	}
}

// Serve runs the caller's statements until the caller disconnects, ctx ends or a drain
// ends the session.
func (s *Session) Serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer s.texts.release()
	defer context.AfterFunc(s.drain.statements, func() { cancel(errStopping) })()
	go s.read(ctx, cancel)
	for {
		next := s.awaitStatement(ctx)
		if next == nil || s.handle(ctx, next) != nil {
			return
		}
	}
}

// read decodes statements until the caller disconnects, which cancels ctx, sends an invalid
// message, or reading is ended.
func (s *Session) read(ctx context.Context, cancel context.CancelCauseFunc) {
	defer close(s.statements)
	for {
		next, err := s.conn.Read()
		if err != nil {
			if invalid := s.logInvalid(err); !invalid && !s.readingEnded.Load() {
				cancel(errDisconnected)
			}
			return
		}
		select {
		case s.statements <- next:
		case <-ctx.Done():
			return
		}
	}
}

// awaitStatement waits for a statement while no transaction is open at a server. It
// returns nil when the session must end.
func (s *Session) awaitStatement(ctx context.Context) *Statement {
	end := s.drain.idle
	if s.state != StateIdle {
		end = s.drain.transactions
	}
	select {
	case next := <-s.statements:
		return next
	case <-end:
		if next := s.statementUnderWay(ctx); next != nil {
			return next
		}
		return s.lastStatement()
	case <-ctx.Done():
		if errors.Is(context.Cause(ctx), errStopping) {
			return s.lastStatement()
		}
		return nil
	}
}

// statementUnderWay waits for a statement until the grace of a drain is over. Reading goes on,
// so that the statement may begin a transaction. Later a transaction would begin too shortly
// before EndTransactions.
func (s *Session) statementUnderWay(ctx context.Context) *Statement {
	grace := s.drain.grace()
	if grace <= 0 || s.state != StateIdle {
		return nil
	}
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case next := <-s.statements:
		return next
	case <-timer.C:
	case <-s.drain.transactions:
	case <-ctx.Done():
	}
	return nil
}

// lastStatement ends reading and returns a statement that has been read before, which must
// still be answered, or nil.
func (s *Session) lastStatement() *Statement {
	if s.readingEnded.CompareAndSwap(false, true) {
		s.conn.EndReading()
	}
	return <-s.statements
}

// handle runs one statement while no transaction is open at a server. An error
// means that the caller cannot be answered.
func (s *Session) handle(ctx context.Context, next *Statement) error {
	switch {
	case next.Kind == KindMalformed || next.Kind == KindTooLong || next.Kind == KindNoMemory:
		return s.conn.Fail(decodeError(next.Kind), s.state)
	case s.state == StateFailed:
		return s.handleFailed(next)
	case s.answeredLocally(next.Kind):
		return s.handleLocal(next)
	default:
		return s.run(ctx, next)
	}
}

// decodeError returns the refusal of a statement that was not decoded.
func decodeError(k Kind) *errcode.Error {
	switch k {
	case KindTooLong:
		return errcode.New(errcode.LimitExceeded, "decode", "")
	case KindNoMemory:
		return noMemory("decode")
	default:
		return errcode.New(errcode.Malformed, "decode", "")
	}
}

// handleFailed answers a statement inside a failed transaction.
func (s *Session) handleFailed(next *Statement) error {
	switch next.Kind {
	case KindRollback:
		s.state = StateIdle
		return s.conn.Done(s.state)
	case KindCommit:
		s.state = StateIdle
		return s.conn.Fail(errcode.New(errcode.RolledBack, "commit", ""), s.state)
	default:
		return s.conn.Fail(errcode.New(errcode.Malformed, "failed transaction", ""), s.state)
	}
}

// answeredLocally reports whether the session answers a statement without a server
// while no transaction is open at one.
func (s *Session) answeredLocally(k Kind) bool {
	switch k {
	case KindBegin, KindBeginReadOnly, KindSet, KindPrepare, KindDeallocate, KindRollback:
		return true
	case KindCommit:
		return s.pendingBegin == nil
	default:
		return false
	}
}

func (s *Session) handleLocal(next *Statement) error {
	switch next.Kind {
	case KindBegin, KindBeginReadOnly:
		if s.pendingBegin != nil {
			return s.conn.Fail(errcode.New(errcode.Malformed, "begin", ""), s.state)
		}
		if s.readingEnded.Load() || s.drain.endsTransactions() {
			// What follows in the transaction would not be read. A failed one keeps what has
			// been read from running outside of it.
			s.state = StateFailed
			return s.conn.Fail(errcode.New(errcode.Draining, "begin", ""), s.state)
		}
		s.pendingBegin, s.state = next, StateOpen
	case KindRollback:
		s.pendingBegin, s.state = nil, StateIdle
	case KindCommit:
		return s.conn.Fail(errcode.New(errcode.Malformed, "commit", ""), s.state)
	default:
		if err := s.updateSession(next); err != nil {
			return s.conn.Fail(err, s.state)
		}
	}
	return s.conn.Done(s.state)
}

// updateSession applies SET, PREPARE and DEALLOCATE to the session.
func (s *Session) updateSession(next *Statement) *errcode.Error {
	switch next.Kind {
	case KindSet:
		return s.updateSetting(statement.Setting{Name: next.Name, Value: next.Value})
	case KindPrepare:
		if len(s.prepared) >= maxPrepared {
			return errcode.New(errcode.LimitExceeded, "prepare", "")
		}
		if err := s.texts.replace(len(s.prepared[next.Name].statement.Text), len(next.Text)); err != nil {
			return err
		}
		s.prepared[next.Name] = newPreparedStatement(next)
	default:
		_ = s.texts.replace(len(s.prepared[next.Name].statement.Text), 0) // less memory is never refused
		delete(s.prepared, next.Name)
	}
	return nil
}

func (s *Session) updateSetting(setting statement.Setting) *errcode.Error {
	i := slices.IndexFunc(s.settings, func(existing statement.Setting) bool { return existing.Name == setting.Name })
	if i < 0 && len(s.settings) >= maxSettings {
		return errcode.New(errcode.LimitExceeded, "set", "")
	}
	before := 0
	if i >= 0 {
		before = len(setting.Name) + len(s.settings[i].Value)
	}
	if err := s.texts.replace(before, len(setting.Name)+len(setting.Value)); err != nil {
		return err
	}
	switch {
	case i < 0:
		s.settings = append(slices.Clone(s.settings), setting)
	default:
		s.settings = slices.Clone(s.settings)
		s.settings[i] = setting
	}
	return nil
}

// run forwards a statement, and the transaction that it may open, to the home.
func (s *Session) run(ctx context.Context, first *Statement) error {
	route, ok := s.config.Routes.Route(s.database)
	organisation, refusal := s.authorize(route)
	if refusal != nil {
		s.logRefusal(first, refusal)
		return s.fail(first, refusal)
	}
	if !ok {
		return s.fail(first, errcode.New(errcode.UnknownDatabase, "route", s.database))
	}
	batch, refusal := s.batch(first)
	if refusal != nil {
		return s.fail(first, refusal)
	}
	floor := s.consistency.Floor(cluster.Position{})
	request := &statement.Request{
		ID: requestID(first.ID), Group: route.Group, Organisation: organisation, Rank: route.Rank, Freshness: route.Freshness,
		Floor: floor.Position, FloorExact: floor.Exact, Settings: s.settings,
		Timeout: route.Timeout, Objective: route.Objective, First: *batch,
	}
	c := &conversation{session: s, organisation: organisation, pending: first, explicit: s.pendingBegin != nil}
	c.readOnly = c.explicit && s.pendingBegin.Kind == KindBeginReadOnly
	c.classify(first, batch)
	request.First.Class = firstBatchClass(s.pendingBegin, batch.Class)
	s.pendingBegin = nil
	started := time.Now()
	result, err := s.config.Runner.Run(ctx, request, c)
	return s.finish(ctx, c, request, started, floor, result, err)
}

// requestID returns the request id for logs and frames between processes, which hold valid
// UTF-8 of a bounded length. The id that a server gets is part of the batch.
func requestID(id string) string {
	return strings.ToValidUTF8(id[:min(len(id), maxRequestIDBytes)], "\uFFFD")
}

// finish updates the session after a request and answers the caller if it failed.
func (s *Session) finish(
	ctx context.Context, c *conversation, request *statement.Request, started time.Time,
	floor session.Floor, result statement.Result, err error,
) error {
	requestSeconds.UpdateDuration(started)
	if err == nil && c.pending != nil {
		err = errcode.New(c.unansweredCode(), "no answer", "")
	}
	if err == nil {
		s.consistency.RecordResult(floor, statement.Result{Position: result.Position})
		return c.writeErr
	}
	e := errcode.From(err)
	stopping := errors.Is(context.Cause(ctx), errStopping)
	if stopping {
		// The statement was given up; nobody has found out whether it ran.
		e = errcode.Wrap(err, errcode.Unknown, "stop", "")
	}
	s.consistency.RecordFailure(e.Code.Outcome)
	if c.writeErr != nil || !stopping && (ctx.Err() != nil || statement.CallerDisconnected(err)) {
		return errDisconnected
	}
	s.logFailure(c, request, started, e)
	if c.pending == nil {
		if s.state == StateOpen {
			s.state = StateFailed // the transaction failed while no statement was pending
		}
		return nil
	}
	return s.fail(c.pending, e)
}

// fail answers a statement that failed, or could not be forwarded, with an error.
func (s *Session) fail(failed *Statement, e *errcode.Error) error {
	inTransaction := s.state == StateOpen
	s.pendingBegin = nil
	s.state = StateIdle
	if inTransaction && failed.Kind != KindCommit {
		s.state = StateFailed
	}
	failuresTotal.Inc()
	return s.conn.Fail(e, s.state)
}

// batch encodes a statement for a backend server.
func (s *Session) batch(next *Statement) (*statement.Batch, *errcode.Error) {
	switch next.Kind {
	case KindRead:
		return &statement.Batch{Messages: s.conn.Forward(next, ""), Class: statement.ClassRead}, nil
	case KindWrite:
		return &statement.Batch{Messages: s.conn.Forward(next, ""), Class: statement.ClassWrite}, nil
	case KindCommit:
		return &statement.Batch{Messages: s.conn.Forward(next, ""), Class: statement.ClassCommit}, nil
	}
	p, ok := s.prepared[next.Name]
	if !ok {
		return nil, errcode.New(errcode.UnknownStatement, "execute", "")
	}
	b := &statement.Batch{Messages: s.conn.Forward(next, p.serverName), Class: statement.ClassRead}
	if p.statement.Writes {
		b.Class = statement.ClassWrite
	}
	b.Prepared = []statement.Prepared{{Name: p.serverName, Parse: s.conn.Definition(&p.statement, p.serverName)}}
	return b, nil
}

// firstBatchClass returns the class of the first batch of a request, which opens the
// transaction if begin is set.
func firstBatchClass(begin *Statement, class statement.Class) statement.Class {
	switch {
	case begin == nil:
		return class
	case begin.Kind == KindBeginReadOnly:
		return statement.ClassBeginReadOnly
	default:
		return statement.ClassBegin
	}
}
