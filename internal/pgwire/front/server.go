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
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 50 * time.Millisecond
	// drainGracePeriod is the time after the start of a drain in which requests of
	// idle callers that are in transit, and connections in the listen queue, are
	// still received. A busy caller that is forcibly disconnected has the same time
	// to receive its error.
	drainGracePeriod = 100 * time.Millisecond
	// forcedCloseTimeout bounds the wait for callers that were forcibly
	// disconnected.
	forcedCloseTimeout = 5 * time.Second
)

var errDrainTimeout = errors.New("the time for draining passed")

// Server accepts callers and runs their requests with a Runner. Create it with New.
type Server struct {
	config    Config
	runner    statement.Runner
	directory Directory
	logger    zerolog.Logger
	// requestPrefix and requestCount make request ids unique.
	requestPrefix string
	requestCount  atomic.Uint64
	// baseCtx is the parent of all requests. It is canceled when the callers are
	// forcibly disconnected.
	baseCtx              context.Context
	cancelBase           context.CancelCauseFunc
	draining             atomic.Bool
	unauthenticatedCount atomic.Int64
	mockSecret           [32]byte
	// statements holds the prepared statements of all callers.
	statements *statementInterner
	memory     memoryBudget

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	// startingConns holds the connections that have not authenticated yet.
	startingConns map[net.Conn]struct{}
	// openConns counts listeners and accepted connections, including those that
	// have not authenticated yet.
	openConns         sync.WaitGroup
	callers           map[uint32]*caller
	callersByCustomer map[string]int
	lastProcessID     uint32
}

// New returns a Server that runs requests with runner for the accounts in
// directory.
func New(config Config, runner statement.Runner, directory Directory) *Server {
	baseCtx, cancelBase := context.WithCancelCause(context.Background())
	config = config.withDefaults()
	s := &Server{
		config:            config,
		runner:            runner,
		directory:         directory,
		logger:            config.Logger,
		requestPrefix:     fmt.Sprintf("%s-%.8s-", config.Proxy, uuid.NewString()),
		baseCtx:           baseCtx,
		cancelBase:        cancelBase,
		statements:        newStatementInterner(config.MaxPreparedBytes),
		memory:            memoryBudget{limitBytes: config.MaxBufferBytes},
		listeners:         make(map[net.Listener]struct{}),
		startingConns:     make(map[net.Conn]struct{}),
		callers:           make(map[uint32]*caller),
		callersByCustomer: make(map[string]int),
	}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(s.mockSecret[:])
	var seed [4]byte
	_, _ = rand.Read(seed[:])
	s.lastProcessID = binary.BigEndian.Uint32(seed[:])
	return s
}

// Serve accepts callers until Drain is called or ctx ends. It returns nil after
// Drain. When ctx ends, all callers are disconnected. The Server owns the listener
// and all accepted connections.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.addListener(listener) {
		return errors.Join(errcode.New(errcode.Draining, "serve", ""), listener.Close())
	}
	defer s.openConns.Done()
	defer s.removeListener(listener)
	stop := context.AfterFunc(ctx, func() { s.disconnectAll(context.Cause(ctx)) })
	defer stop()
	eventListening.Log(&s.logger).Stringer("address", listener.Addr()).Send()
	acceptingQueued := false
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.accept(conn)
		case ctx.Err() != nil:
			return context.Cause(ctx)
		case s.draining.Load():
			if acceptingQueued || !setAcceptDeadline(listener, time.Now().Add(drainGracePeriod)) {
				return nil
			}
			acceptingQueued = true
		case errors.Is(err, net.ErrClosed):
			return err
		default:
			eventAcceptFailed.Log(&s.logger).Err(err).Send()
			delay.Sleep(ctx, acceptRetryDelay)
		}
	}
}

// Ready reports whether the server accepts new callers.
func (s *Server) Ready() bool { return !s.draining.Load() && s.baseCtx.Err() == nil }

// Callers returns the number of authenticated callers.
func (s *Server) Callers() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.callers)
}

func (s *Server) addListener(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.Ready() {
		return false
	}
	s.listeners[listener] = struct{}{}
	s.openConns.Add(1)
	return true
}

func (s *Server) removeListener(listener net.Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.listeners, listener)
	_ = listener.Close()
}

// setAcceptDeadline sets the deadline of Accept. It returns false if the listener
// has no deadline or is closed.
func setAcceptDeadline(listener net.Listener, deadline time.Time) bool {
	d, ok := listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(deadline) == nil
}

// accept serves a connection in its own goroutine. While the server is draining,
// handshake refuses it.
func (s *Server) accept(conn net.Conn) {
	callersAccepted.Inc()
	s.openConns.Add(1)
	go func() {
		defer s.openConns.Done()
		defer s.recoverFromPanic(conn)
		s.serveConn(conn)
	}()
}

// recoverFromPanic limits the effect of a panic to the connection's own caller.
func (s *Server) recoverFromPanic(conn net.Conn) {
	reason := recover()
	if reason == nil {
		return
	}
	eventCallerPanicked.Log(&s.logger).Interface("reason", reason).Bytes("stack", debug.Stack()).Send()
	_ = conn.Close()
}

// serveConn serves one connection from the handshake on and closes it.
func (s *Server) serveConn(conn net.Conn) {
	c, err := s.handshake(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	defer s.unregister(c)
	c.serve()
}

// nextRequestID returns a unique request id.
func (s *Server) nextRequestID() string {
	return s.requestPrefix + strconv.FormatUint(s.requestCount.Add(1), 16)
}
