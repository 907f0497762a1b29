package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// endingWait bounds the wait for connections to be no longer served.
	endingWait = 100 * time.Millisecond
	// acceptRetryDelay is the pause after a failed accept, which is usually due to a lack of
	// file descriptors.
	acceptRetryDelay = 500 * time.Millisecond
)

// serving counts the connections that are served, including those that are closed but whose
// goroutines have not ended. A process that accepts faster than these end, as a small VM does
// that all other processes of a large fleet dial at once, would hold ever more memory.
type serving struct {
	limit func() int
	mu    sync.Mutex
	count int
	// ended receives a token when a connection is no longer served.
	ended chan struct{}
}

func newServing(limit func() int) *serving {
	return &serving{limit: limit, ended: make(chan struct{}, 1)}
}

// serve accepts connections until ctx ends or the listener fails, and serves each with
// serveConn. It returns once none is served.
func (s *serving) serve(ctx context.Context, l net.Listener, serveConn func(context.Context, net.Conn)) error {
	ctx, cancel := context.WithCancel(ctx)
	var conns sync.WaitGroup
	defer conns.Wait()
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = l.Close() })()
	for {
		s.awaitEnded(ctx)
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = conn.Close()
			}
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			delay.Sleep(ctx, acceptRetryDelay)
			continue
		}
		s.add(1)
		conns.Go(func() {
			defer s.add(-1)
			serveConn(ctx, conn)
		})
	}
}

// awaitEnded waits while a quarter more connections are served than may be open.
func (s *serving) awaitEnded(ctx context.Context) {
	if !s.exceeded() {
		return
	}
	timeout := time.NewTimer(endingWait)
	defer timeout.Stop()
	for s.exceeded() {
		select {
		case <-s.ended:
		case <-timeout.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (s *serving) exceeded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.limit()
	return s.count >= limit+limit/4
}

func (s *serving) add(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count += n
	if n > 0 {
		return
	}
	select {
	case s.ended <- struct{}{}:
	default:
	}
}
