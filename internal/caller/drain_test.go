package caller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

// drainedSession is a session that is served while a drain goes on.
type drainedSession struct {
	conn  *scriptedConn
	home  *fakeHome
	drain *Drain
	ended chan struct{}
}

func serveDrained(t *testing.T, runner func(*fakeHome) statement.Runner) *drainedSession {
	log := zerolog.Nop()
	d := &drainedSession{conn: newScriptedConn(), home: &fakeHome{}, drain: NewDrain(), ended: make(chan struct{})}
	s := New(Config{Routes: singleRoute{}, Runner: runner(d.home), Log: &log}, d.conn, "db", d.drain)
	go func() {
		defer close(d.ended)
		s.Serve(t.Context())
	}()
	return d
}

func (d *drainedSession) send(statements ...*Statement) {
	for _, next := range statements {
		d.conn.statements <- next
		synctest.Wait()
	}
}

func (d *drainedSession) expect(t *testing.T, answers ...string) {
	t.Helper()
	<-d.ended
	if diff := cmp.Diff(answers, d.conn.answers); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
}

// A transaction whose home is another process is told of a drain by nothing but its
// session. It must not take statements until the connection is closed under one of them.
func TestTransactionEndsBetweenStatementsInADrain(t *testing.T) {
	for name, first := range map[string][]*Statement{
		"open at a server":     {transactionStatement(KindBegin), write("y")},
		"not at a server yet":  {transactionStatement(KindBegin)},
		"failed, not ended":    {transactionStatement(KindBegin), write("y"), transactionStatement(KindBegin)},
		"between transactions": {transactionStatement(KindBegin), write("y"), transactionStatement(KindCommit)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := serveDrained(t, func(h *fakeHome) statement.Runner { return h })
				d.send(first...)
				d.drain.EndIdle()
				d.drain.EndTransactions()
				<-d.ended
				if len(d.conn.answers) != len(first) {
					t.Errorf("answers %v", d.conn.answers)
				}
			})
		})
	}
}

// TestTransactionUnderWayAtADrain: a BEGIN that was read as the last statement of an idle
// session was accepted, but nothing more was read. The connection was closed in the middle of
// the transaction.
func TestTransactionUnderWayAtADrain(t *testing.T) {
	transaction := []*Statement{transactionStatement(KindBegin), write("y"), transactionStatement(KindCommit)}
	synctest.Test(t, func(t *testing.T) {
		d := serveDrained(t, func(h *fakeHome) statement.Runner { return h })
		synctest.Wait()
		d.drain.EndIdle()
		synctest.Wait()
		d.send(transaction...)
		begun := time.Now()
		d.expect(t, "done T", "y T", "COMMIT I")
		if waited := time.Since(begun); waited > drainGrace {
			t.Errorf("the session ended %v after its transaction", waited)
		}
	})
}

// TestSessionEndsAfterATransactionInADrain: a session whose transaction ended late in a drain
// waited for another statement, and accepted a BEGIN shortly before all transactions had to
// end. The connection was closed in the middle of the new one.
func TestSessionEndsAfterATransactionInADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := serveDrained(t, func(h *fakeHome) statement.Runner { return h })
		d.send(transactionStatement(KindBegin), write("y"))
		d.drain.EndIdle()
		time.Sleep(2 * drainGrace)
		begun := time.Now()
		d.send(transactionStatement(KindCommit))
		d.expect(t, "done T", "y T", "COMMIT I")
		if waited := time.Since(begun); waited > 0 {
			t.Errorf("the session ended %v after its transaction", waited)
		}
	})
}

// lateConn reads a last statement while reading is being ended.
type lateConn struct {
	*scriptedConn
	last *Statement
}

func (c *lateConn) EndReading() {
	c.statements <- c.last
	c.scriptedConn.EndReading()
}

// TestBeginAtTheEndOfReading guards against accepting a transaction whose statements are not
// read any more.
func TestBeginAtTheEndOfReading(t *testing.T) {
	for name, end := range map[string]func(*Drain){
		"idle sessions end": (*Drain).EndIdle, "transactions end": (*Drain).EndTransactions,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, drain := zerolog.Nop(), NewDrain()
				conn := &lateConn{newScriptedConn(), transactionStatement(KindBegin)}
				end(drain)
				drain.EndIdle()
				New(Config{Routes: singleRoute{}, Runner: &fakeHome{}, Log: &log}, conn, "db", drain).Serve(t.Context())
				if diff := cmp.Diff([]string{errcode.Draining.Name + " E"}, conn.answers); diff != "" {
					t.Errorf("answers (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// TestBeginReadAheadAtTheEndOfTransactions guards against a transaction that begins when all
// have to end, and against running what was read behind it outside of it.
func TestBeginReadAheadAtTheEndOfTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		d := serveDrained(t, func(h *fakeHome) statement.Runner { return &blockingHome{h, release} })
		d.send(read("x"), transactionStatement(KindBegin), write("y"))
		d.drain.EndIdle()
		d.drain.EndTransactions()
		close(release)
		d.expect(t, "x I", errcode.Draining.Name+" E", errcode.Malformed.Name+" E")
	})
}

// blockingHome runs a statement until it is released or its context ends.
type blockingHome struct {
	*fakeHome
	release chan struct{}
}

func (h *blockingHome) Run(ctx context.Context, req *statement.Request, conv statement.Conversation) (statement.Result, error) {
	select {
	case <-h.release:
		return h.fakeHome.Run(ctx, req, conv)
	case <-ctx.Done():
		return statement.Result{}, errcode.Wrap(ctx.Err(), errcode.ConnectionLost, "exchange", "s1")
	}
}

// A statement that is sent before the last one is answered has been read when a drain ends
// the session. It is answered as well.
func TestStatementThatWasReadIsAnsweredInADrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		d := serveDrained(t, func(h *fakeHome) statement.Runner { return &blockingHome{h, release} })
		d.send(read("x"), read("y"), read("z"))
		d.drain.EndIdle()
		d.drain.EndTransactions()
		synctest.Wait()
		close(release)
		d.expect(t, "x I", "y I", "z I")
	})
}

// A statement still runs when the process cannot wait any longer. Its caller is told so,
// with a code that promises nothing, instead of finding the connection closed; so is the
// caller of a statement that was read behind it.
func TestStatementThatOutlastsADrainIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := serveDrained(t, func(h *fakeHome) statement.Runner { return &blockingHome{h, nil} })
		d.send(write("y"), read("x"))
		d.drain.EndIdle()
		d.drain.EndTransactions()
		synctest.Wait()
		d.drain.EndStatements()
		d.expect(t, errcode.Unknown.Name+" I", errcode.Unknown.Name+" I")
	})
}
