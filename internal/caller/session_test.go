package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// scriptedConn reads statements from a channel and records the answers.
type scriptedConn struct {
	statements chan *Statement
	ended      chan struct{}
	answers    []string
}

func newScriptedConn() *scriptedConn {
	return &scriptedConn{statements: make(chan *Statement), ended: make(chan struct{})}
}

func (c *scriptedConn) Read() (*Statement, error) {
	select {
	case s, ok := <-c.statements:
		if !ok {
			return nil, io.EOF
		}
		return s, nil
	case <-c.ended:
		return nil, os.ErrDeadlineExceeded
	}
}

func (c *scriptedConn) EndReading() { close(c.ended) }

func (c *scriptedConn) Forward(s *Statement, name string) []byte { return []byte(s.Text + name) }

func (c *scriptedConn) Definition(s *Statement, name string) []byte {
	return []byte(name + "=" + s.Definition)
}

func (c *scriptedConn) record(text string, after State) error {
	c.answers = append(c.answers, text+" "+[]string{"I", "T", "E"}[after])
	return nil
}

// invalidAnswer is the answer that a scriptedConn refuses.
const invalidAnswer = "invalid"

func (c *scriptedConn) Answer(data []byte, after State) error {
	if string(data) == invalidAnswer {
		return ErrInvalidAnswer
	}
	return c.record(string(data), after)
}

func (c *scriptedConn) Done(after State) error { return c.record("done", after) }

func (c *scriptedConn) Fail(e *errcode.Error, after State) error { return c.record(e.Code.Name, after) }

// fakeHome answers each batch with its text and records the batches.
type fakeHome struct {
	batches []string
	// failures holds the errors that batches fail with, by the text of the batch.
	failures map[string]error
	floor    cluster.Position
	// organisations holds the organisations of the requests.
	organisations []string
}

func (h *fakeHome) record(b *statement.Batch, settings []statement.Setting) error {
	h.batches = append(h.batches, fmt.Sprintf("%d %s %v", b.Class, b.Messages, settings))
	return h.failures[string(b.Messages)]
}

func (h *fakeHome) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	h.floor = req.Floor
	h.organisations = append(h.organisations, req.Organisation)
	settings := req.Settings
	batch := &req.First
	inTransaction := batch.Class == statement.ClassBegin || batch.Class == statement.ClassBeginReadOnly
	result := statement.Result{Position: cluster.Position{Term: 1, Offset: 7}}
	for {
		if err := h.record(batch, settings); err != nil {
			return statement.Result{}, err
		}
		if err := conv.SendResponse(ctx, batch.Messages); err != nil {
			return result, err
		}
		if !inTransaction || string(batch.Messages) == "COMMIT" {
			return result, nil
		}
		next, err := conv.Next(ctx)
		if errors.Is(err, io.EOF) {
			h.batches = append(h.batches, "left")
			return statement.Result{}, nil
		}
		if err != nil {
			return statement.Result{}, err
		}
		batch = next
		if next.Settings != nil {
			settings = next.Settings
		}
	}
}

type singleRoute struct{}

func (singleRoute) Route(database string) (catalog.Route, bool) {
	return catalog.Route{Database: database, Group: "g"}, database == "db"
}

// runStatements runs statements in a session and returns its answers.
func runStatements(t *testing.T, home statement.Runner, database string, statements ...*Statement) []string {
	t.Helper()
	log := zerolog.Nop()
	conn := newScriptedConn()
	s := New(Config{Routes: singleRoute{}, Runner: home, Log: &log}, conn, database, NewDrain())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(t.Context())
	}()
	for i, next := range statements {
		next.ID = fmt.Sprint("r", i)
		conn.statements <- next
		synctest.Wait()
	}
	close(conn.statements)
	<-done
	return conn.answers
}

func read(item string) *Statement { return &Statement{Kind: KindRead, Text: item} }

func write(item string) *Statement { return &Statement{Kind: KindWrite, Text: item} }

func transactionStatement(kind Kind) *Statement {
	return &Statement{Kind: kind, Text: map[Kind]string{KindCommit: "COMMIT"}[kind]}
}

func TestSessions(t *testing.T) {
	lost := errcode.New(errcode.ConnectionLost, "exchange", "s1")
	unknown := errcode.New(errcode.Unknown, "exchange", "s1")
	set := &Statement{Kind: KindSet, Name: "a", Value: "1"}
	prepare := &Statement{Kind: KindPrepare, Name: "q", Definition: "shape", Writes: true}
	name := newPreparedStatement(prepare).serverName
	class := func(c statement.Class, text string) string { return fmt.Sprintf("%d %s []", c, text) }
	tests := []struct {
		name       string
		database   string
		statements []*Statement
		failures   map[string]error
		answers    []string
		batches    []string
	}{
		{
			name: "a transaction opens with its first statement", statements: []*Statement{transactionStatement(KindBegin), read("x"), write("y"), transactionStatement(KindCommit)},
			answers: []string{"done T", "x T", "y T", "COMMIT I"},
			batches: []string{class(statement.ClassBegin, "x"), class(statement.ClassWrite, "y"), class(statement.ClassCommit, "COMMIT")},
		},
		{
			name: "a commit without writes changes nothing", statements: []*Statement{transactionStatement(KindBegin), read("x"), transactionStatement(KindCommit)},
			answers: []string{"done T", "x T", "COMMIT I"},
			batches: []string{class(statement.ClassBegin, "x"), class(statement.ClassRead, "COMMIT")},
		},
		{
			name: "the commit of an empty transaction opens it at a server", statements: []*Statement{transactionStatement(KindBeginReadOnly), transactionStatement(KindCommit)},
			answers: []string{"done T", "COMMIT I"}, batches: []string{class(statement.ClassBeginReadOnly, "COMMIT")},
		},
		{
			name: "a rollback is answered by the session", statements: []*Statement{transactionStatement(KindBegin), write("y"), transactionStatement(KindRollback), read("x")},
			answers: []string{"done T", "y T", "done I", "x I"},
			batches: []string{class(statement.ClassBegin, "y"), "left", class(statement.ClassRead, "x")},
		},
		{
			name: "a failed transaction stays failed until it ends", statements: []*Statement{transactionStatement(KindBegin), write("y"), read("x"), transactionStatement(KindCommit)},
			failures: map[string]error{"y": lost},
			answers:  []string{"done T", "connection_lost E", "malformed E", "rolled_back I"},
			batches:  []string{class(statement.ClassBegin, "y")},
		},
		{
			name: "the unknown outcome of a commit is reported", statements: []*Statement{transactionStatement(KindBegin), write("y"), transactionStatement(KindCommit)},
			failures: map[string]error{"COMMIT": unknown},
			answers:  []string{"done T", "y T", "outcome_unknown I"},
			batches:  []string{class(statement.ClassBegin, "y"), class(statement.ClassCommit, "COMMIT")},
		},
		{
			name: "settings inside a transaction reach the server", statements: []*Statement{transactionStatement(KindBegin), read("x"), set, read("z"), transactionStatement(KindCommit)},
			answers: []string{"done T", "x T", "done T", "z T", "COMMIT I"},
			batches: []string{
				class(statement.ClassBegin, "x"), fmt.Sprintf("%d z [{a 1}]", statement.ClassRead),
				fmt.Sprintf("%d COMMIT [{a 1}]", statement.ClassRead),
			},
		},
		{
			name:       "prepared statements are renamed and keep their class",
			statements: []*Statement{prepare, {Kind: KindExecute, Name: "q", Text: "i "}, {Kind: KindDeallocate, Name: "q"}, {Kind: KindExecute, Name: "q", Text: "i "}},
			answers:    []string{"done I", "i " + name + " I", "done I", "unknown_statement I"},
			batches:    []string{class(statement.ClassWrite, "i "+name)},
		},
		{
			name: "a database without a route", database: "other", statements: []*Statement{read("x")},
			answers: []string{"unknown_database I"},
		},
		{
			name: "a second begin fails the transaction", statements: []*Statement{transactionStatement(KindBegin), read("x"), transactionStatement(KindBegin), transactionStatement(KindRollback)},
			answers: []string{"done T", "x T", "malformed E", "done I"}, batches: []string{class(statement.ClassBegin, "x"), "left"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				home := &fakeHome{failures: tt.failures}
				database := tt.database
				if database == "" {
					database = "db"
				}
				if diff := cmp.Diff(tt.answers, runStatements(t, home, database, tt.statements...)); diff != "" {
					t.Errorf("answers (-want +got):\n%s", diff)
				}
				if diff := cmp.Diff(tt.batches, home.batches); diff != "" {
					t.Errorf("at the home (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestWriteRaisesTheFloorOfTheSession checks that a read after a write requires the
// position of the write.
func TestWriteRaisesTheFloorOfTheSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &fakeHome{}
		runStatements(t, home, "db", write("y"), read("x"))
		if want := (cluster.Position{Term: 1, Offset: 7}); home.floor != want {
			t.Errorf("floor %v, want %v", home.floor, want)
		}
	})
}

// TestIdleSessionEndsInADrain checks that a drain ends an idle session and lets an
// open transaction finish.
func TestIdleSessionEndsInADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		drain := NewDrain()
		serve := func(first ...*Statement) (*scriptedConn, chan struct{}) {
			conn := newScriptedConn()
			ended := make(chan struct{})
			s := New(Config{Routes: singleRoute{}, Runner: &fakeHome{}, Log: &log}, conn, "db", drain)
			go func() {
				defer close(ended)
				s.Serve(t.Context())
			}()
			for _, next := range first {
				conn.statements <- next
			}
			return conn, ended
		}
		idleConn, idle := serve()
		openConn, open := serve(transactionStatement(KindBegin), write("y"))
		synctest.Wait()
		drain.EndIdle()
		<-idle
		select {
		case <-open:
			t.Fatal("the drain ended an open transaction")
		default:
		}
		openConn.statements <- transactionStatement(KindCommit)
		<-open
		if want := []string{"done T", "y T", "COMMIT I"}; !cmp.Equal(want, openConn.answers) {
			t.Errorf("answers %v", openConn.answers)
		}
		close(idleConn.statements)
		close(openConn.statements)
	})
}

// TestServerThatClosesItsConnectionIsNotTheCallerLeaving checks that io.EOF from a server that closes
// its connection during a write is answered as an unknown outcome, and that the
// session goes on.
func TestServerThatClosesItsConnectionIsNotTheCallerLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &fakeHome{failures: map[string]error{"WRITE a": errcode.Wrap(io.EOF, errcode.Unknown, "exchange", "s1")}}
		got := runStatements(t, home, "db",
			&Statement{Kind: KindWrite, ID: "1", Text: "WRITE a"},
			&Statement{Kind: KindRead, ID: "2", Text: "READ a"},
		)
		if diff := cmp.Diff([]string{errcode.Unknown.Name + " I", "READ a I"}, got); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}
