package member

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/provider/providertest"
)

// joinInterval is the JoinInterval of the process under test.
const joinInterval = 100 * time.Millisecond

// lateSeed refuses pings before the time up, like a VM that starts later.
type lateSeed struct {
	up    time.Time
	pings atomic.Int32
}

// Ping implements Pinger.
func (s *lateSeed) Ping(_ context.Context, address string, _ PingMessage) (PingMessage, error) {
	s.pings.Add(1)
	if time.Now().Before(s.up) {
		return PingMessage{}, errors.New("connection refused")
	}
	other := Member{ID: "p2", Role: RoleProxy, Address: address, Incarnation: 1}
	return PingMessage{From: Report{Member: other, State: StateAlive}}, nil
}

// TestJoiningProcessFindsOthersSoon starts a process 250 ms before its only seed.
// It must not take a whole pingInterval to discover the seed.
func TestJoiningProcessFindsOthersSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seed := &lateSeed{up: time.Now().Add(250 * time.Millisecond)}
		membership := New(Config{
			Self: Member{ID: "p1", Role: RoleProxy, Address: "a:1", Incarnation: 1}, Seeds: []string{"b:1"},
			Pinger: seed, JoinInterval: joinInterval, Table: providertest.NewTable(), Rand: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop(),
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = membership.Run(ctx)
		}()
		time.Sleep(250*time.Millisecond + 2*joinInterval)
		synctest.Wait()
		if got := len(membership.Snapshot().Usable(RoleProxy)); got != 2 {
			t.Errorf("%d members known, want 2", got)
		}
		before := seed.pings.Load()
		time.Sleep(10 * pingInterval)
		if n := seed.pings.Load() - before; n > 15 {
			t.Errorf("%d pings in 10 rounds after the other process was discovered", n)
		}
		cancel()
		<-done
	})
}
