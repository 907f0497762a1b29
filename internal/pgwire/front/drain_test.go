package front_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/pgwire/front"
)

func TestDrainCutsOffNothing(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	running, release := make(chan struct{}), make(chan struct{})
	ts.runner.beforeExecute = func(_ context.Context, _ int, sql string) error {
		if strings.Contains(sql, "slow") {
			close(running)
			<-release
		}
		return nil
	}
	idle, busy, open := ts.connect(t, ""), ts.connect(t, ""), ts.connect(t, "")
	starting := dial(t, ts)
	tx, err := open.Begin(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	responded := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "insert slow")
		responded <- err
	}()
	<-running
	drained := make(chan error, 1)
	go func() { drained <- ts.Drain(context.Background()) }()
	waitFor(t, func() bool { return ts.Callers() == 2 })
	if ts.Ready() {
		t.Error("the server is ready while draining")
	}
	if _, err := pgx.Connect(t.Context(), ts.url("")); err == nil {
		t.Error("a new caller was accepted")
	}
	if _, err := idle.Exec(t.Context(), "select 1"); sqlState(err) != "57P01" {
		t.Errorf("idle caller: %v", err)
	}
	if n, err := starting.Read(make([]byte, 1)); n != 1 {
		t.Errorf("unauthenticated caller got no error message: %v", err)
	}
	close(release)
	if err := <-responded; err != nil {
		t.Errorf("running statement: %v", err)
	}
	if _, err := tx.Exec(t.Context(), "insert 1"); err != nil {
		t.Errorf("statement in an open transaction: %v", err)
	}
	if err := tx.Commit(t.Context()); err != nil {
		t.Errorf("commit: %v", err)
	}
	if err := <-drained; err != nil {
		t.Errorf("drain: %v", err)
	}
}

// TestDrainTellsConnectionThatIsBeingAccepted guards against connections that a
// drain closes without an error message: those in the listen queue when the drain
// begins, and one that is just being accepted.
func TestDrainTellsConnectionThatIsBeingAccepted(t *testing.T) {
	for _, blockBeforeAccept := range []bool{true, false} {
		t.Run(fmt.Sprintf("queued=%t", blockBeforeAccept), func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &gatedListener{
				TCPListener: inner.(*net.TCPListener), blockBeforeAccept: blockBeforeAccept,
				blocked: make(chan struct{}), release: make(chan struct{}),
			}
			server := front.New(front.Config{Proxy: "proxy-1"}, &fakeRunner{}, fakeDirectory{})
			served, drained := make(chan error, 1), make(chan error, 1)
			go func() { served <- server.Serve(context.Background(), l) }()
			ts := &testServer{Server: server, address: inner.Addr().String()}
			conn := dial(t, ts)
			<-l.blocked
			go func() { drained <- server.Drain(context.Background()) }()
			waitFor(t, func() bool { return !server.Ready() })
			close(l.release)
			if e := receiveUntil(t, pgproto3.NewFrontend(conn, conn), &pgproto3.ErrorResponse{}); e.Code != "57P01" {
				t.Errorf("error %+v, want 57P01", e)
			}
			if err := errors.Join(<-served, <-drained); err != nil {
				t.Error(err)
			}
		})
	}
}

// gatedListener blocks the first Accept until release is closed, either before or
// after it accepts the connection.
type gatedListener struct {
	*net.TCPListener
	blockBeforeAccept bool
	once              sync.Once
	blocked, release  chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	block := func() {
		l.once.Do(func() {
			close(l.blocked)
			<-l.release
		})
	}
	if l.blockBeforeAccept {
		block()
	}
	conn, err := l.TCPListener.Accept()
	block()
	return conn, err
}

func TestDrainDeadline(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	ts.runner.beforeExecute = func(ctx context.Context, _ int, sql string) error {
		if sql == "insert stuck" {
			<-ctx.Done()
			return context.Cause(ctx)
		}
		return nil
	}
	open, busy := ts.connect(t, ""), ts.connect(t, "")
	if _, err := open.Begin(t.Context()); err != nil {
		t.Fatal(err)
	}
	responded := make(chan error, 1)
	go func() {
		_, err := busy.Exec(context.Background(), "insert stuck")
		responded <- err
	}()
	waitFor(t, func() bool { return ts.runner.requestCount() == 2 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := ts.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain: %v", err)
	}
	if err := <-responded; sqlState(err) != "57P01" {
		t.Errorf("statement at the drain timeout: %v", err)
	}
	if n := ts.Callers(); n != 0 {
		t.Errorf("%d callers still connected", n)
	}
}

func TestReadEndsWhenCallerDisconnects(t *testing.T) {
	for name, lastBytes := range map[string][]byte{"closed": nil, "terminated": {'X', 0, 0, 0, 4}} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, fakeDirectory{}, front.Config{})
			stopped := make(chan error, 1)
			ts.runner.beforeExecute = func(ctx context.Context, _ int, _ string) error {
				<-ctx.Done()
				stopped <- context.Cause(ctx)
				return ctx.Err()
			}
			conn, f := session(t, ts)
			send(t, f, &pgproto3.Query{String: "select 1"})
			waitFor(t, func() bool { return ts.runner.requestCount() == 1 })
			_, _ = conn.Write(lastBytes)
			_ = conn.Close()
			if err := <-stopped; err == nil || !strings.Contains(err.Error(), "closed its connection") {
				t.Errorf("the read ended with %v", err)
			}
			waitFor(t, func() bool { return ts.Callers() == 0 })
		})
	}
}

func TestDisconnectWatcherKeepsPipelinedRequest(t *testing.T) {
	ts := startTestServer(t, fakeDirectory{}, front.Config{})
	release := make(chan struct{})
	ts.runner.beforeExecute = func(_ context.Context, _ int, sql string) error {
		if sql == "select 'slow'" {
			<-release
		}
		return nil
	}
	_, f := session(t, ts)
	send(t, f, &pgproto3.Query{String: "select 'slow'"})
	time.AfterFunc(400*time.Millisecond, func() { close(release) })
	time.Sleep(300 * time.Millisecond)
	send(t, f, &pgproto3.Query{String: "select 'next'"})
	for _, want := range []string{"select 'slow'", "select 'next'"} {
		if row := receiveUntil(t, f, &pgproto3.DataRow{}); string(row.Values[0]) != want {
			t.Errorf("response %q, want %q", row.Values[0], want)
		}
	}
}

func TestIdleInTransaction(t *testing.T) {
	for name, c := range map[string]struct {
		limits environment.Limits
		home   bool
		want   string
	}{
		"idle":         {environment.Limits{IdleInTransaction: 30 * time.Millisecond}, false, "25P03"},
		"transaction":  {environment.Limits{TransactionTime: 500 * time.Millisecond}, false, "54000"},
		"idle at home": {environment.Limits{}, true, "25P03"},
	} {
		t.Run(name, func(t *testing.T) {
			ts := startTestServer(t, fakeDirectory{limits: c.limits}, front.Config{})
			if c.home {
				ts.runner.beforeNext = func(ctx context.Context) (context.Context, error) {
					ctx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
					context.AfterFunc(ctx, cancel)
					return ctx, errcode.New(errcode.IdleTransaction, "wait for caller", "server-1")
				}
			}
			conn := ts.connect(t, "")
			if _, err := conn.Exec(t.Context(), "begin"); err != nil {
				t.Fatal(err)
			}
			waitFor(t, func() bool { return ts.Callers() == 0 })
			if _, err := conn.Exec(t.Context(), "insert 1"); sqlState(err) != c.want {
				t.Errorf("error %v, want %s", err, c.want)
			}
		})
	}
}
