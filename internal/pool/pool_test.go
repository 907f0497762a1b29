package pool

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/statement"
)

// fakeServer counts connections, and can refuse them or stop responding.
type fakeServer struct {
	mu      sync.Mutex
	open    int
	maxOpen int
	dialing int
	// maxDialing is the highest number of connections that were opened at once.
	maxDialing int
	// tagged records that a connection with a tag was requested. Only then may several be
	// opened at once.
	tagged bool
	dials  []time.Time
	refuse bool
	silent bool
	resets int
}

type fakeConn struct {
	server *fakeServer
	tag    string
	closed bool
}

// recordRequest records that a connection of tag is about to be requested.
func (s *fakeServer) recordRequest(tag string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tagged = s.tagged || tag != ""
}

func (s *fakeServer) dial(ctx context.Context, tag string) (backend.Conn, error) {
	s.mu.Lock()
	s.dialing++
	s.maxDialing = max(s.maxDialing, s.dialing)
	s.dials = append(s.dials, time.Now())
	s.tagged = s.tagged || tag != ""
	if !s.tagged && s.dialing > 1 {
		panic("two connections are opened at once")
	}
	s.mu.Unlock()
	time.Sleep(12 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing--
	if s.refuse || ctx.Err() != nil {
		return nil, errors.New("connection refused")
	}
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	return &fakeConn{server: s, tag: tag}, nil
}

func (c *fakeConn) Exchange(context.Context, *backend.Exchange, statement.Conversation) (backend.Result, error) {
	return backend.Result{}, nil
}
func (c *fakeConn) Cancel(context.Context) error { return nil }
func (c *fakeConn) Sent() bool                   { return false }

func (c *fakeConn) Reset(ctx context.Context) error {
	c.server.mu.Lock()
	c.server.resets++
	silent := c.server.silent
	c.server.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (c *fakeConn) Close() error {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	if c.closed {
		panic("closed twice")
	}
	c.closed = true
	c.server.open--
	return nil
}

func inBubble(t *testing.T, limit int, f func(t *testing.T, s *fakeServer, p *Pool)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{}
		p := New(Config{Limit: limit, Dial: s.dial})
		f(t, s, p)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		p.Close(ctx)
		if s.open != 0 {
			t.Errorf("%d connections left open", s.open)
		}
	})
}

func mustGet(t *testing.T, p *Pool) *Conn {
	t.Helper()
	return mustGetOf(t, p, "")
}

// mustGetOf returns a connection and checks that it was opened for tag.
func mustGetOf(t *testing.T, p *Pool, tag string) *Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	c, err := p.Get(ctx, tag)
	if err != nil {
		t.Fatal(err)
	}
	if got := c.Conn.(*fakeConn).tag; got != tag {
		t.Fatalf("got a connection of %q for %q", got, tag)
	}
	return c
}

func TestLimitAndReuse(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, s *fakeServer, p *Pool) {
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				c := mustGet(t, p)
				time.Sleep(5 * time.Millisecond)
				p.Return(c, false)
			})
		}
		wg.Wait()
		if s.maxOpen > 3 || len(s.dials) > 3 {
			t.Errorf("%d connections at once, %d opened", s.maxOpen, len(s.dials))
		}
		last := mustGet(t, p)
		p.Return(last, false)
		if c := mustGet(t, p); c != last {
			t.Error("the most recently returned connection was not reused first")
		} else {
			p.Return(c, false)
		}
	})
}

func TestDirtyAndBrokenConnections(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, s *fakeServer, p *Pool) {
		c := mustGet(t, p)
		p.Return(c, true)
		p.Return(c, false) // a second return has no effect
		again := mustGet(t, p)
		if again != c || s.resets != 1 {
			t.Errorf("reset %d times", s.resets)
		}
		p.Discard(again, nil)
		p.Discard(again, nil)
		if fresh := mustGet(t, p); fresh == c {
			t.Error("a discarded connection was reused")
		} else {
			p.Return(fresh, false)
		}
	})
}

func TestSilentConnectionsAreFound(t *testing.T) {
	for _, trigger := range []func(p *Pool){
		func(p *Pool) { p.ProbeAll(); time.Sleep(time.Second) },
		func(*Pool) { time.Sleep(time.Minute) },
	} {
		inBubble(t, 2, func(t *testing.T, s *fakeServer, p *Pool) {
			a, b := mustGet(t, p), mustGet(t, p)
			p.Return(a, false)
			p.Return(b, false)
			s.mu.Lock()
			s.silent = true
			s.mu.Unlock()
			trigger(p)
			if stats := p.Stats(); stats.Idle != 0 {
				t.Errorf("silent connections were not closed: %+v", stats)
			}
		})
	}
}

func TestOpeningBacksOff(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, s *fakeServer, p *Pool) {
		s.refuse = true
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		calls := 0
		for ; ctx.Err() == nil; calls++ {
			if _, err := p.Get(ctx, ""); err == nil {
				t.Fatal("Get returned a refused connection")
			}
		}
		if len(s.dials) > 40 || calls > len(s.dials)+1 {
			t.Errorf("%d attempts and %d calls in 10 s", len(s.dials), calls)
		}
		if stats := p.Stats(); stats.Waiting != 0 || stats.Failures == 0 {
			t.Errorf("%+v", stats)
		}
	})
}

func TestCloseWaitsForConnectionsInUse(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, _ *fakeServer, p *Pool) {
		c := mustGet(t, p)
		time.AfterFunc(100*time.Millisecond, func() { p.Return(c, false) })
		begun := time.Now()
		p.Close(t.Context())
		if waited := time.Since(begun); waited < 100*time.Millisecond || waited > 200*time.Millisecond {
			t.Errorf("closed after %v", waited)
		}
		if _, err := p.Get(t.Context(), ""); !errors.Is(err, ErrClosed) {
			t.Errorf("get after close: %v", err)
		}
	})
}

// TestMismatchesBoundHowOftenConnectionsAreOpened guards against a server that answers
// statements twice so often that nearly all of its time goes into connections. Nothing else
// is bounded: neither the first replacements nor those of connections that broke.
func TestMismatchesBoundHowOftenConnectionsAreOpened(t *testing.T) {
	const limit, period = 4, 4 * time.Second
	mismatch := fmt.Errorf("exchange: %w", backend.NewOutOfStepError("a row", "READY"))
	for _, tt := range []struct {
		name        string
		err         error
		least, most int
	}{
		{"out of step", mismatch, int(period/mismatchInterval) - 1, limit + int(period/mismatchInterval) + 1},
		{"broken", errors.New("connection reset"), 300, 400},
	} {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, limit, func(t *testing.T, s *fakeServer, p *Pool) {
				for end := time.Now().Add(period); time.Now().Before(end); {
					p.Discard(mustGet(t, p), tt.err)
				}
				if n := len(s.dials); n < tt.least || n > tt.most {
					t.Errorf("%d connections opened, want %d to %d", n, tt.least, tt.most)
				}
				if burst := s.dials[limit-1].Sub(s.dials[0]); burst > limit*12*time.Millisecond {
					t.Errorf("the first %d connections were opened in %v", limit, burst)
				}
			})
		})
	}
}

// TestMismatchesAreReplacedOneByOneWithTags guards against all waiting calls opening
// connections at the end of each pause, since with tags several may be opened at once.
func TestMismatchesAreReplacedOneByOneWithTags(t *testing.T) {
	const limit, period = 4, 4 * time.Second
	mismatch := fmt.Errorf("exchange: %w", backend.NewOutOfStepError("a row", "READY"))
	inBubble(t, limit, func(t *testing.T, s *fakeServer, p *Pool) {
		end := time.Now().Add(period)
		var users sync.WaitGroup
		for user := range limit {
			users.Go(func() {
				for time.Now().Before(end) {
					p.Discard(mustGetOf(t, p, fmt.Sprint(user)), mismatch)
				}
			})
		}
		users.Wait()
		if s.maxDialing < 2 {
			t.Error("the first connections were not opened at once")
		}
		// The limit counts for the burst, for the connections whose answers are still
		// awaited, and for the calls that wait at the end.
		if n, least := len(s.dials), int(period/mismatchInterval); n < least || n > least+3*limit {
			t.Errorf("%d connections opened, want %d to %d", n, least, least+3*limit)
		}
		for i := 2*limit + 1; i < len(s.dials); i++ {
			if s.dials[i].Sub(s.dials[i-1]) < 12*time.Millisecond {
				t.Errorf("connections %d and %d of %d were opened at once", i, i+1, len(s.dials))
			}
		}
	})
}
