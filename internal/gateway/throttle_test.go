package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/statement"
)

// overloadedHome refuses requests and advises a wait of one second while refuse is
// set.
type overloadedHome struct {
	refuse bool
	calls  int
}

func (h *overloadedHome) Run(context.Context, *statement.Request, statement.Conversation) (statement.Result, error) {
	h.calls++
	if !h.refuse {
		return statement.Result{}, nil
	}
	err := errcode.New(errcode.Overloaded, "queue full", "")
	err.RetryAfter = time.Second
	return statement.Result{}, err
}

// fakeLocator is a HomeLocator without relays that returns the given home and
// runners.
type fakeLocator struct {
	home    cluster.ProxyID
	runners map[cluster.ProxyID]statement.Runner
}

func (d *fakeLocator) HomeOf(cluster.GroupName) cluster.ProxyID   { return d.home }
func (d *fakeLocator) Relay(...cluster.ProxyID) cluster.ProxyID   { return "" }
func (d *fakeLocator) Runner(id cluster.ProxyID) statement.Runner { return d.runners[id] }
func readRequest(r cluster.Rank, timeout time.Duration) statement.Request {
	return request(r, statement.ClassRead, timeout)
}

func request(r cluster.Rank, c statement.Class, timeout time.Duration) statement.Request {
	return statement.Request{Group: "g", Rank: r, Timeout: timeout, First: statement.Batch{Class: c}}
}

func TestThrottledRequestIsRefusedLocally(t *testing.T) {
	refused := readRequest(cluster.RankBackground, time.Second)
	tests := []struct {
		name string
		// wait is the time between the refusal and the next request.
		wait  time.Duration
		next  statement.Request
		moved bool
		hops  int
		asked bool
	}{
		{name: "alike", next: refused},
		{name: "shorter timeout", next: readRequest(cluster.RankBackground, time.Millisecond)},
		{name: "longer timeout", next: readRequest(cluster.RankBackground, time.Minute), asked: true},
		{name: "another rank", next: readRequest(cluster.RankNormal, time.Second), asked: true},
		{name: "another kind of slot", next: request(cluster.RankBackground, statement.ClassWrite, time.Second), asked: true},
		{name: "transaction", next: request(cluster.RankBackground, statement.ClassBegin, time.Second), asked: true},
		{name: "forwarded by another proxy", next: refused, hops: 1, asked: true},
		{name: "another home", next: refused, moved: true, asked: true},
		{name: "before the trial request", wait: trialInterval - time.Millisecond, next: refused},
		{name: "probe", wait: trialInterval, next: refused, asked: true},
		{name: "after the advised time", wait: time.Second, next: refused, asked: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				home := &overloadedHome{refuse: true}
				locator := &fakeLocator{home: "p2", runners: map[cluster.ProxyID]statement.Runner{"p2": home, "p3": home}}
				g := New(Config{Self: "p1", HomeLocator: locator})
				first := refused
				_, _ = g.Run(t.Context(), &first, noConversation{})
				time.Sleep(test.wait)
				if test.moved {
					locator.home = "p3"
				}
				test.next.Hops = test.hops
				_, err := g.Run(t.Context(), &test.next, noConversation{})
				if asked := home.calls == 2; asked != test.asked {
					t.Errorf("home asked: %v", asked)
				}
				e := errcode.From(err)
				if e.Code.Name != errcode.Overloaded.Name || e.Code.Outcome != errcode.OutcomeNotRun {
					t.Errorf("error %v", err)
				}
				if want := time.Second - test.wait; !test.asked && e.RetryAfter != want {
					t.Errorf("advised wait %v, want %v", e.RetryAfter, want)
				}
			})
		})
	}
}

func TestAdmittedTrialEndsThrottling(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home := &overloadedHome{refuse: true}
		g := New(Config{Self: "p1", HomeLocator: &fakeLocator{home: "p2", runners: map[cluster.ProxyID]statement.Runner{"p2": home}}})
		ask := func() bool {
			r := readRequest(cluster.RankUrgent, time.Second)
			_, err := g.Run(t.Context(), &r, noConversation{})
			return err == nil
		}
		ask()
		home.refuse = false
		time.Sleep(trialInterval)
		if !ask() {
			t.Error("the trial request was refused")
		}
		if ask() {
			t.Error("a request was sent before the trial request counts as admitted")
		}
		time.Sleep(admittedAfter)
		for range 2 {
			if !ask() {
				t.Error("refused after the trial request was admitted")
			}
		}
	})
}

// queueHome runs requests with the slots of one server and a queue.
type queueHome struct {
	dispatcher *rank.Dispatcher
	random     *rand.Rand
	mu         sync.Mutex
	calls      int
	busy       time.Duration
}

func (h *queueHome) Run(ctx context.Context, r *statement.Request, _ statement.Conversation) (statement.Result, error) {
	h.mu.Lock()
	h.calls++
	cost := time.Duration(h.random.ExpFloat64() * float64(20*time.Millisecond))
	h.mu.Unlock()
	time.Sleep(time.Millisecond)
	grant, err := h.dispatcher.Acquire(ctx, rank.Request{
		Rank: r.Rank, Lane: rank.LanePrimary, Deadline: time.Now().Add(r.Timeout),
		Eligible: func(cluster.ServerID, time.Time) rank.Eligibility { return rank.Eligibility{OK: true} },
	})
	if err != nil {
		return statement.Result{}, err
	}
	time.Sleep(cost)
	grant.Release()
	h.mu.Lock()
	h.busy += cost
	h.mu.Unlock()
	return statement.Result{}, nil
}

// TestThrottlingKeepsSlotsBusy sends, through eight entry proxies, ten times the load
// that a home with two slots can serve. Throttling must keep most requests away
// from the home, but must not let its slots become idle.
func TestThrottlingKeepsSlotsBusy(t *testing.T) {
	const (
		entries  = 8
		slots    = 2
		duration = 20 * time.Second
		rate     = 1000 // requests a second; 100 are served
	)
	for _, policy := range []environment.RankPolicy{
		{Queue: 500, MaxWait: 10 * time.Second},
		{Queue: 2000, MaxWait: 2 * time.Second},
		{Queue: 10, MaxWait: 2 * time.Second},
		{Queue: 100, MaxWait: 100 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			home := &queueHome{random: random, dispatcher: rank.New(rank.Config{Ranks: environment.Ranks{Background: policy}})}
			home.dispatcher.SetServers([]cluster.Server{{ID: "s", Slots: slots}})
			home.dispatcher.SetPrimary("s", slots)
			locator := &fakeLocator{home: "home", runners: map[cluster.ProxyID]statement.Runner{"home": home}}
			var gateways [entries]*Gateway
			for i := range gateways {
				gateways[i] = New(Config{Self: cluster.ProxyID(fmt.Sprint("p", i)), HomeLocator: locator})
			}
			var running sync.WaitGroup
			sent := 0
			for start := time.Now(); time.Since(start) < duration; sent++ {
				time.Sleep(time.Second / rate)
				g := gateways[sent%entries]
				running.Go(func() {
					r := request(cluster.RankBackground, statement.ClassWrite, 30*time.Second)
					_, _ = g.Run(context.Background(), &r, noConversation{})
				})
			}
			home.mu.Lock()
			utilization := home.busy.Seconds() / (slots * duration.Seconds())
			calls := home.calls
			home.mu.Unlock()
			running.Wait()
			t.Logf("%+v: slots busy %.3f, %d of %d requests reached the home", policy, utilization, calls, sent)
			if calls >= sent/2+sent/4 {
				t.Errorf("%+v: %d of %d requests reached the home", policy, calls, sent)
			}
			if utilization < 0.95 {
				t.Errorf("%+v: slots busy %.3f", policy, utilization)
			}
		})
	}
}
