package dbserver

import (
	"context"
	"errors"
	"net"
	"os"
	"sort"
	"sync"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"

	"github.com/rattancove/rattancove/internal/cluster"
)

// Server is a simulated backend server. Close stops it.
type Server struct {
	cfg       Config
	engine    *engine
	locks     lockTable
	slots     *semaphore.Weighted
	execTimer executionTimer
	faults    faults

	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	tempDir string
	// journal is nil if the state is not persisted.
	journal *journal

	mu       sync.Mutex
	closed   bool
	status   cluster.ServerStatus
	leader   cluster.Server
	log      []logRecord
	replayed int
	// changed is closed and replaced whenever the log, the status or the faults
	// change.
	changed       chan struct{}
	stopFollow    context.CancelFunc
	sessions      map[uint32]*session
	lastProcessID uint32
	listeners     []net.Listener
}

// New starts a server. It accepts no connections until Serve or ServeConn is
// called.
func New(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg.withDefaults(), changed: make(chan struct{}), sessions: map[uint32]*session{}}
	s.slots = semaphore.NewWeighted(int64(s.cfg.Slots))
	s.faults.replayLag = s.cfg.ReplayLag
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if s.cfg.Dir == "" {
		dir, err := os.MkdirTemp("", "rattan-standin-")
		if err != nil {
			return nil, eris.Wrap(err, "create temporary directory")
		}
		s.cfg.Dir, s.tempDir = dir, dir
	}
	engine, err := newEngine(s.cfg.Dir)
	if err != nil {
		return nil, err
	}
	s.engine = engine
	if err := s.initializeRole(); err != nil {
		s.Close()
		return nil, err
	}
	s.wg.Go(s.replayLoop)
	return s, nil
}

// initializeRole restores the persisted state of an earlier run or, if there is
// none, takes the configured role.
func (s *Server) initializeRole() error {
	s.status = cluster.ServerStatus{Server: s.cfg.ID, Role: cluster.RoleSealed, Term: 1}
	if s.tempDir == "" {
		entries, journal, err := openJournal(s.cfg.Dir)
		if err != nil {
			return err
		}
		s.journal = journal
		if restored, err := s.restore(entries); restored || err != nil {
			return err
		}
	}
	if !s.cfg.Primary {
		if s.cfg.Leader.Address != "" {
			_, err := s.follow(1, s.cfg.Leader)
			return err
		}
		return nil
	}
	s.mu.Lock()
	s.beginTerm()
	s.mu.Unlock()
	return s.runSchema()
}

func (s *Server) runSchema() error {
	commands := []command{}
	for _, p := range parse(s.cfg.Schema) {
		commands = append(commands, command{SQL: p.text})
	}
	if len(commands) == 0 {
		return nil
	}
	t := &transaction{}
	for _, c := range commands {
		if _, err := s.engine.run(s.ctx, t, c, true); err != nil {
			return eris.Wrapf(err, "execute schema statement %q", c.SQL)
		}
	}
	return s.engine.commit(s.ctx, t, func() error { return nil }, s.appendCommitted)
}

// Serve accepts connections until l or the server is closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "accept")
		}
		s.ServeConn(conn)
	}
}

// ServeConn serves conn in a new goroutine, which closes it when done.
func (s *Server) ServeConn(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return
	}
	s.wg.Go(func() { s.serveConn(conn) })
}

// Close closes all connections and deletes the database. The journal remains if
// Config.Dir was set.
func (s *Server) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	s.cancel()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	s.engine.close()
	s.journal.close()
	if s.tempDir != "" {
		_ = os.RemoveAll(s.tempDir)
	}
}

// Status returns the server's role, term, home and log positions.
func (s *Server) Status() cluster.ServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked()
}

func (s *Server) statusLocked() cluster.ServerStatus {
	status := s.status
	status.Received = s.positionAt(len(s.log))
	status.Replayed = s.positionAt(s.replayed)
	status.TermStart = s.termStart(status.Term)
	return status
}

// termStart returns the last position before term; it is the zero Position if
// the log has no record of the term.
func (s *Server) termStart(term cluster.Term) cluster.Position {
	first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Term >= term })
	if first == len(s.log) || s.log[first].Term != term {
		return cluster.Position{}
	}
	return s.positionAt(first)
}

// positionAt returns the position after the first offset records of the log; it
// is the zero Position for an offset of 0.
func (s *Server) positionAt(offset int) cluster.Position {
	if offset == 0 {
		return cluster.Position{}
	}
	return cluster.Position{Term: s.log[offset-1].Term, Offset: uint64(offset)}
}

// notify wakes all goroutines that wait for a change. The caller holds mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
