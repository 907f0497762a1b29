package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/statement"
)

// TestDrainWaitsForRunningRequests checks that a server which is stopped after Drain
// interrupts no request before its result is written.
func TestDrainWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		server, err := NewServer(Handlers{Runner: runnerFunc(func(context.Context, *statement.Request, statement.Conversation) (statement.Result, error) {
			time.Sleep(2 * time.Second)
			return statement.Result{Reason: "late"}, nil
		})}, &log)
		if err != nil {
			t.Fatal(err)
		}
		if err := server.Drain(t.Context()); err != nil {
			t.Fatalf("drain without a running request: %v", err)
		}
		ctx, stop := context.WithCancel(t.Context())
		client := NewClient("peer", func(context.Context, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			go func() { _ = server.ServeConn(ctx, serverConn) }()
			return clientConn, nil
		})
		defer client.Close()
		results := make(chan error)
		go func() {
			r := fullRequest()
			r.Timeout = 10 * time.Second
			_, err := client.Run(t.Context(), r, &fakeCaller{})
			results <- err
		}()
		time.Sleep(time.Second)
		shortCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		if err := server.Drain(shortCtx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("drain while a request runs: %v, want the end of the context", err)
		}
		go func() {
			_ = server.Drain(t.Context())
			stop()
		}()
		if err := <-results; err != nil {
			t.Errorf("the request was interrupted: %v", err)
		}
	})
}
