package front

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/statement"
)

const (
	// acceptRetry is the wait after a failed accept.
	acceptRetry = 50 * time.Millisecond
	// drainLinger is how long an idle caller's request that is already on its
	// way, or a connection that waits to be accepted, is waited for when a drain
	// begins.
	drainLinger = 100 * time.Millisecond
	// forceTime bounds the wait for callers that were cut off.
	forceTime = 5 * time.Second
)

var errForced = errors.New("the time for draining passed")

// Server accepts callers and runs their requests with a Runner. Create it with
// New.
type Server struct {
	config    Config
	runner    statement.Runner
	directory Directory
	logger    zerolog.Logger
	// requestPrefix and requestCount make request ids unique.
	requestPrefix string
	requestCount  atomic.Uint64
	// base ends when the callers are cut off.
	base       context.Context
	cutOff     context.CancelCauseFunc
	draining   atomic.Bool
	unverified atomic.Int64
	mockSecret [32]byte
	// definitions holds the prepared statements of all callers.
	definitions *definitions
	budget      budget

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// starting holds the connections before authentication.
	starting map[net.Conn]struct{}
	// connections counts listeners and accepted connections, also before
	// authentication.
	connections sync.WaitGroup
	callers     map[uint32]*caller
	customers   map[string]int
	lastKey     uint32
}

// New returns a Server that runs requests with runner for the accounts of
// directory.
func New(config Config, runner statement.Runner, directory Directory) *Server {
	base, cutOff := context.WithCancelCause(context.Background())
	config = config.withDefaults()
	s := &Server{
		config:        config,
		runner:        runner,
		directory:     directory,
		logger:        config.Logger,
		requestPrefix: fmt.Sprintf("%s-%.8s-", config.Proxy, uuid.NewString()),
		base:          base,
		cutOff:        cutOff,
		definitions:   newDefinitions(config.PreparedBytes),
		budget:        budget{limit: config.BufferBytes},
		listeners:     make(map[net.Listener]struct{}),
		starting:      make(map[net.Conn]struct{}),
		callers:       make(map[uint32]*caller),
		customers:     make(map[string]int),
	}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(s.mockSecret[:])
	var seed [4]byte
	_, _ = rand.Read(seed[:])
	s.lastKey = binary.BigEndian.Uint32(seed[:])
	return s
}

// Serve accepts callers until Drain is called or ctx ends. It returns nil
// after Drain. When ctx ends, callers are cut off. The Server owns the
// listener and every accepted connection.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		return errors.Join(errcode.New(errcode.Draining, "serve", ""), listener.Close())
	}
	defer s.connections.Done()
	defer s.removeListener(listener)
	stop := context.AfterFunc(ctx, func() { s.force(context.Cause(ctx)) })
	defer stop()
	eventListening.Log(&s.logger).Stringer("address", listener.Addr()).Send()
	emptying := false
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(conn)
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case s.draining.Load():
			if emptying || !acceptUntil(listener, time.Now().Add(drainLinger)) {
				return nil
			}
			emptying = true
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			eventAcceptFailed.Log(&s.logger).Err(err).Send()
			delay.Sleep(ctx, acceptRetry)
		}
	}
}

// Ready reports whether the server takes new callers.
func (s *Server) Ready() bool { return !s.draining.Load() && s.base.Err() == nil }

// Callers returns the number of authenticated callers.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Ready() {
		return false
	}
	s.listeners[l] = struct{}{}
	s.connections.Add(1)
	return true
}

func (s *Server) removeListener(l net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, l)
	_ = l.Close()
}

// acceptUntil bounds the wait for connections. It reports false when the
// listener has no deadline or is closed.
func acceptUntil(l net.Listener, deadline time.Time) bool {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(deadline) == nil
}

// accept serves a connection in its own goroutine. While the server drains,
// start refuses it.
func (s *Server) accept(conn net.Conn) {
	callersAccepted.Inc()
	s.connections.Add(1)
	go func() {
		defer s.connections.Done()
		defer s.recoverCaller(conn)
		s.serve(conn)
	}()
}

// recoverCaller keeps a programming error from ending the other callers.
func (s *Server) recoverCaller(conn net.Conn) {
	reason := recover()
	if reason == nil {
		return
	}
	eventCallerPanicked.Log(&s.logger).Interface("reason", reason).Bytes("stack", debug.Stack()).Send()
	_ = conn.Close()
}

// serve runs one connection from start-up to its end and closes it.
func (s *Server) serve(conn net.Conn) {
	c, err := s.start(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer s.remove(c)
	c.serve()
}

// nextRequestID returns an id that no other request has.
func (s *Server) nextRequestID() string {
	return s.requestPrefix + strconv.FormatUint(s.requestCount.Add(1), 16)
}
