package pool

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/backend"
	"github.com/rattancove/rattancove/internal/errcode"
)

// giveBack returns connections of the tags, in this order, 1 ms apart.
func giveBack(t *testing.T, p *Pool, tags ...string) {
	t.Helper()
	conns := make([]*Conn, len(tags))
	for i, tag := range tags {
		conns[i] = mustGetOf(t, p, tag)
	}
	for _, c := range conns {
		time.Sleep(time.Millisecond)
		p.Return(c, false)
	}
}

// TestEvictionOrder guards against closing connections that are used more than others, or
// more of them than the limit requires.
func TestEvictionOrder(t *testing.T) {
	for name, c := range map[string]struct {
		used       []string
		probe      bool
		want, gone string
		opens      uint64
	}{
		"idle connection of the tag":  {used: []string{"a", "b", "c"}, want: "b", opens: 3},
		"below the limit":             {used: []string{"a", "b"}, want: "c", opens: 3},
		"least recently used":         {used: []string{"a", "b", "c"}, want: "d", gone: "a", opens: 4},
		"a probe is no use":           {used: []string{"a", "b", "c"}, probe: true, want: "d", gone: "a", opens: 4},
		"without a tag":               {used: []string{"a", "b", "c"}, want: "", gone: "a", opens: 4},
		"for one without a tag first": {used: []string{"", "b", "c"}, want: "d", gone: "", opens: 4},
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, 3, func(t *testing.T, s *fakeServer, p *Pool) {
				giveBack(t, p, c.used...)
				if c.probe {
					for _, conn := range slices.Backward(p.takeForProbe(0)) {
						p.probe(conn)
						time.Sleep(time.Millisecond)
					}
				}
				p.Return(mustGetOf(t, p, c.want), false)
				if s.maxOpen > 3 || p.Stats().Opens != c.opens {
					t.Errorf("%d connections at once, %d opened, want %d", s.maxOpen, p.Stats().Opens, c.opens)
				}
				if c.opens == 4 && p.HasIdle(c.gone) {
					t.Errorf("the connection of %q was kept", c.gone)
				}
			})
		})
	}
}

// TestWaiterIsServedByReplacement guards against a waiter that starves while connections
// of other tags are returned and taken again at the limit.
func TestWaiterIsServedByReplacement(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, s *fakeServer, p *Pool) {
		ctx, stop := context.WithCancel(t.Context())
		var users sync.WaitGroup
		for range 6 {
			users.Go(func() {
				for ctx.Err() == nil {
					c := mustGetOf(t, p, "a")
					time.Sleep(5 * time.Millisecond)
					p.Return(c, false)
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		p.Return(mustGetOf(t, p, "b"), false)
		if waited := time.Since(begun); waited > 2*maxBypass {
			t.Errorf("waited %v", waited)
		}
		stop()
		users.Wait()
		if s.maxOpen > 2 {
			t.Errorf("%d connections at once", s.maxOpen)
		}
	})
}

// TestWaiterAtTheLimit guards against a waiter that is not served although a connection of
// another tag, which nobody waits for, is returned.
func TestWaiterAtTheLimit(t *testing.T) {
	inBubble(t, 2, func(t *testing.T, s *fakeServer, p *Pool) {
		first, second := mustGetOf(t, p, "a"), mustGetOf(t, p, "a")
		time.AfterFunc(10*time.Millisecond, func() { p.Return(first, true) })
		begun := time.Now()
		p.Return(mustGetOf(t, p, "b"), false)
		if waited := time.Since(begun); waited > 30*time.Millisecond || s.maxOpen > 2 {
			t.Errorf("waited %v, %d connections at once", waited, s.maxOpen)
		}
		p.Return(second, false)
	})
}

// TestOpeningsOfWaitersThatLeft guards against more openings than waiting calls after
// others gave up.
func TestOpeningsOfWaitersThatLeft(t *testing.T) {
	inBubble(t, 20, func(t *testing.T, s *fakeServer, p *Pool) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		var users sync.WaitGroup
		for i := range 4 {
			users.Go(func() { _, _ = p.Get(ctx, fmt.Sprint("gone ", i)) })
			users.Go(func() {
				time.Sleep(8 * time.Millisecond)
				p.Return(mustGetOf(t, p, fmt.Sprint("tag ", i)), false)
			})
		}
		users.Wait()
		if s.maxDialing > 4 {
			t.Errorf("%d opened at once", s.maxDialing)
		}
	})
}

// TestOpeningsAtOnce guards against more openings than waiting calls, each of which
// occupies a slot of the server, and against waiters that are served one after another.
func TestOpeningsAtOnce(t *testing.T) {
	inBubble(t, 20, func(t *testing.T, s *fakeServer, p *Pool) {
		begun := time.Now()
		var users sync.WaitGroup
		for i := range 4 {
			users.Go(func() { p.Return(mustGetOf(t, p, fmt.Sprint("tag ", i/2)), false) })
		}
		users.Wait()
		if took := time.Since(begun); took > 20*time.Millisecond || s.maxDialing > 4 {
			t.Errorf("%d opened at once in %v", s.maxDialing, took)
		}
	})
}

// TestOpenedConnectionIsKept guards against an opening that is lost because its waiter
// has left, or that serves a waiter for another tag.
func TestOpenedConnectionIsKept(t *testing.T) {
	inBubble(t, 1, func(t *testing.T, _ *fakeServer, p *Pool) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if _, err := p.Get(ctx, "a"); err == nil {
			t.Fatal("a connection was opened at once")
		}
		time.Sleep(time.Second)
		if !p.HasIdle("a") {
			t.Error("the connection was not kept")
		}
		p.Return(mustGetOf(t, p, "b"), false)
	})
}

// TestTaggedConnectionsStayOpen guards against closing unused connections where they are
// costly to open again, and against keeping them once no tags are requested any more.
func TestTaggedConnectionsStayOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{}
		p := New(Config{Limit: 4, Dial: s.dial, IdleTime: time.Second, KeepIdle: 1})
		giveBack(t, p, "a", "b", "c")
		time.Sleep(tagRetention / 2)
		if idle := p.Stats().Idle; idle != 3 {
			t.Errorf("%d idle connections", idle)
		}
		time.Sleep(tagRetention)
		if idle := p.Stats().Idle; idle != 1 {
			t.Errorf("%d idle connections after the tags were given up", idle)
		}
		p.Close(t.Context())
	})
}

// TestFullServer guards against a failure while an idle connection of another tag takes
// the place of the new one at the server.
func TestFullServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{}
		p := New(Config{Limit: 4, Dial: func(ctx context.Context, tag string) (backend.Conn, error) {
			s.mu.Lock()
			full := s.open == 2
			s.mu.Unlock()
			if full {
				return nil, errcode.New(errcode.Overloaded, "dial", "s")
			}
			return s.dial(ctx, tag)
		}})
		giveBack(t, p, "a", "b")
		c := mustGetOf(t, p, "c")
		if p.HasIdle("a") || !p.HasIdle("b") {
			t.Error("the least recently used connection was not the one replaced")
		}
		p.Return(c, false)
		p.Close(t.Context())
	})
}

// TestRandomUse checks with random tags, faults, resets, probes and deadlines that no
// connection ever serves another tag, that the limit is kept and that no caller without a
// deadline waits long.
func TestRandomUse(t *testing.T) {
	for seed := range uint64(20) {
		inBubble(t, 6, func(t *testing.T, s *fakeServer, p *Pool) {
			var users sync.WaitGroup
			for i := range 10 {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				users.Go(func() {
					for range 300 {
						useOnce(t, s, p, random)
					}
				})
			}
			users.Wait()
			time.Sleep(100 * time.Millisecond) // for resets, probes and openings
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.maxOpen > 6 || s.maxDialing > 10 {
				t.Errorf("seed %d: %d connections, %d opened at once", seed, s.maxOpen, s.maxDialing)
			}
			if s := p.Stats(); s.InUse != 0 || s.Waiting != 0 || p.pending != 0 || len(p.pendingOf) != 0 {
				t.Errorf("seed %d: left over: %+v, %d pending", seed, s, p.pending)
			}
		})
	}
}

// useOnce gets, checks and gives back one connection. A seventh of the uses fail.
func useOnce(t *testing.T, s *fakeServer, p *Pool, random *rand.Rand) {
	tag := [...]string{"", "a", "a", "a", "b", "c", "d", "e"}[random.IntN(8)]
	limit := 2 * time.Second
	if random.IntN(5) == 0 {
		limit = time.Duration(random.IntN(20)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	s.recordRequest(tag)
	c, err := p.Get(ctx, tag)
	if err != nil {
		if limit == 2*time.Second && errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("%q was not served: %v", tag, err)
		}
		return
	}
	if got := c.Conn.(*fakeConn).tag; got != tag {
		t.Errorf("a connection of %q serves %q", got, tag)
	}
	time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
	switch random.IntN(14) {
	case 0, 1:
		p.Discard(c, nil)
	case 2:
		p.ProbeAll()
		p.Return(c, false)
	default:
		p.Return(c, random.IntN(3) == 0)
	}
}
