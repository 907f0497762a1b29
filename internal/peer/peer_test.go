package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

type runnerFunc func(context.Context, *statement.Request, statement.Conversation) (statement.Result, error)

func (f runnerFunc) Run(ctx context.Context, r *statement.Request, c statement.Conversation) (statement.Result, error) {
	return f(ctx, r, c)
}

type fakeCaller struct {
	batches []statement.Batch
	answers []string
}

func (c *fakeCaller) Next(context.Context) (*statement.Batch, error) {
	if len(c.batches) == 0 {
		return nil, io.EOF
	}
	b := c.batches[0]
	c.batches = c.batches[1:]
	return &b, nil
}

func (c *fakeCaller) SendResponse(_ context.Context, data []byte) error {
	c.answers = append(c.answers, string(data))
	return nil
}

// newTestClient returns a client that is connected over net.Pipe to a server with a
// runner. dials counts the connections; the server's end of the last one is stored
// in lastConn.
func newTestClient(t *testing.T, runner statement.Runner, dials *atomic.Int32, lastConn *net.Conn) (*Client, func()) {
	t.Helper()
	log := zerolog.Nop()
	server, err := NewServer(Handlers{Runner: runner}, &log)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	client := NewClient("peer", func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		dials.Add(1)
		if lastConn != nil {
			*lastConn = serverConn
		}
		go func() { _ = server.ServeConn(ctx, serverConn) }()
		return clientConn, nil
	})
	return client, func() {
		client.Close()
		cancel()
	}
}

func fullRequest() *statement.Request {
	return &statement.Request{
		ID: "r1", Group: "orders_a", Customer: "cotopaxi", Organisation: "red", Session: "s", Rank: cluster.RankNormal,
		Freshness: statement.Freshness{Mode: statement.FreshnessBounded, MaxAge: time.Second},
		Floor:     cluster.Position{Term: 2, Offset: 9}, FloorExact: true, OrderID: "o1",
		Settings: []statement.Setting{{Name: "TimeZone", Value: "UTC"}}, Timeout: time.Second, Hops: 1,
		First: statement.Batch{Messages: []byte("Q"), Class: statement.ClassBegin, Prepared: []statement.Prepared{{Name: "n", Parse: []byte("P")}}},
	}
}

func TestRunCarriesRequestBatchesAndResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		want := fullRequest()
		result := statement.Result{Position: cluster.Position{Term: 2, Offset: 10}, Server: "s1", Home: "p1", Primary: true, Reason: "write"}
		var got *statement.Request
		var next *statement.Batch
		var dials atomic.Int32
		client, stop := newTestClient(t, runnerFunc(func(ctx context.Context, r *statement.Request, c statement.Conversation) (statement.Result, error) {
			got = r
			var err error
			if next, err = c.Next(ctx); err != nil {
				return statement.Result{}, err
			}
			return result, c.SendResponse(ctx, []byte("done"))
		}), &dials, nil)
		defer stop()
		for range 3 {
			caller := &fakeCaller{batches: []statement.Batch{{Messages: []byte("COMMIT")}}}
			res, err := client.Run(t.Context(), want, caller)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(want, got) + cmp.Diff(result, res) + cmp.Diff("COMMIT", string(next.Messages)) + cmp.Diff([]string{"done"}, caller.answers); diff != "" {
				t.Fatal(diff)
			}
		}
		if dials.Load() != 1 {
			t.Fatalf("%d connections for three consecutive requests, want 1", dials.Load())
		}
	})
}

func TestRunCarriesFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		client, stop := newTestClient(t, runnerFunc(func(context.Context, *statement.Request, statement.Conversation) (statement.Result, error) {
			e := errcode.Wrap(errors.New("queue full"), errcode.Overloaded, "queue", "g")
			e.RetryAfter = 7 * time.Millisecond
			return statement.Result{}, e
		}), &dials, nil)
		defer stop()
		_, err := client.Run(t.Context(), fullRequest(), &fakeCaller{})
		e := errcode.From(err)
		if !errcode.Is(err, errcode.Overloaded) || e.RetryAfter != 7*time.Millisecond || e.Step != "queue" {
			t.Fatalf("got %+v", e)
		}
	})
}

func TestConcurrentRunsDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		client, stop := newTestClient(t, runnerFunc(func(context.Context, *statement.Request, statement.Conversation) (statement.Result, error) {
			time.Sleep(5 * time.Second)
			return statement.Result{}, nil
		}), &dials, nil)
		defer stop()
		start := time.Now()
		done := make(chan error)
		for range 3 {
			go func() {
				_, err := client.Run(t.Context(), fullRequest(), &fakeCaller{})
				done <- err
			}()
		}
		for range 3 {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if took := time.Since(start); took != 5*time.Second {
			t.Fatalf("three runs of 5 s took %v of virtual time", took)
		}
	})
}

func TestCancelReachesHomeAndKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		client, stop := newTestClient(t, runnerFunc(func(ctx context.Context, _ *statement.Request, _ statement.Conversation) (statement.Result, error) {
			select {
			case <-ctx.Done():
				return statement.Result{}, errcode.New(errcode.DeadlinePassed, "cancelled", "")
			case <-time.After(time.Minute):
				return statement.Result{}, nil
			}
		}), &dials, nil)
		defer stop()
		for range 2 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := client.Run(ctx, fullRequest(), &fakeCaller{})
			cancel()
			if !errcode.Is(err, errcode.DeadlinePassed) {
				t.Fatalf("got %v", err)
			}
		}
		if dials.Load() != 1 {
			t.Fatalf("%d connections, want 1: the cancel closed the connection", dials.Load())
		}
	})
}

func TestLostStreamIsUnknownOnlyWhileAWriteIsPending(t *testing.T) {
	tests := []struct {
		name  string
		class statement.Class
		want  errcode.Code
	}{
		{"write", statement.ClassWrite, errcode.Unknown},
		{"read", statement.ClassRead, errcode.ConnectionLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var dials atomic.Int32
				var serverConn net.Conn
				client, stop := newTestClient(t, runnerFunc(func(ctx context.Context, _ *statement.Request, _ statement.Conversation) (statement.Result, error) {
					_ = serverConn.Close()
					<-ctx.Done()
					return statement.Result{}, ctx.Err()
				}), &dials, &serverConn)
				defer stop()
				req := fullRequest()
				req.First.Class = test.class
				if _, err := client.Run(t.Context(), req, &fakeCaller{}); !errcode.Is(err, test.want) {
					t.Fatalf("got %v, want %s", err, test.want.Name)
				}
			})
		})
	}
}

type slowCaller struct{ fakeCaller }

func (c *slowCaller) Next(ctx context.Context) (*statement.Batch, error) {
	time.Sleep(time.Minute)
	return &statement.Batch{Messages: []byte("COMMIT")}, nil
}

func TestHomeEndsAnIdleTransactionAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		client, stop := newTestClient(t, runnerFunc(func(ctx context.Context, _ *statement.Request, c statement.Conversation) (statement.Result, error) {
			limited, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, _ = c.Next(limited)
			return statement.Result{}, errcode.New(errcode.IdleTransaction, "transaction", "")
		}), &dials, nil)
		defer stop()
		_, err := client.Run(t.Context(), fullRequest(), &slowCaller{})
		if outcome := errcode.From(err).Code.Outcome; outcome != errcode.OutcomeNotRun {
			t.Fatalf("outcome %s: %v", outcome, err)
		}
	})
}

func TestCallerLeavingEndsTheTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int32
		var nextErr error
		client, stop := newTestClient(t, runnerFunc(func(ctx context.Context, _ *statement.Request, c statement.Conversation) (statement.Result, error) {
			_, nextErr = c.Next(ctx)
			return statement.Result{}, nil
		}), &dials, nil)
		defer stop()
		if _, err := client.Run(t.Context(), fullRequest(), &fakeCaller{}); err != nil {
			t.Fatal(err)
		}
		if !errors.Is(nextErr, io.EOF) {
			t.Fatalf("error of Next at the home: %v, want io.EOF", nextErr)
		}
	})
}
