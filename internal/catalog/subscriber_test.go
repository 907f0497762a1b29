package catalog

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// upstreamPeers are other processes, by address; a process that is silent never answers.
type upstreamPeers struct {
	mu      sync.Mutex
	own     *Tracker
	order   []string
	holds   map[string]*Tracker
	silent  map[string]bool
	refuses map[string]bool
}

func (p *upstreamPeers) Upstreams() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.order)
}

func (p *upstreamPeers) Await(ctx context.Context, address string, wait time.Duration) ([]byte, error) {
	p.mu.Lock()
	silent, refuses, peer := p.silent[address], p.refuses[address], p.holds[address]
	p.mu.Unlock()
	switch {
	case silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case refuses:
		return nil, ErrNotFollowing
	}
	configuration, servers := p.own.Versions()
	return peer.AwaitNews(ctx, configuration, servers, wait)
}

func (p *upstreamPeers) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// delegated runs a subscriber and a follower of the configuration in a bubble.
func delegated(t *testing.T, test func(p *upstreamPeers, f *feed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		p := &upstreamPeers{
			own: newTracker(), order: []string{"a", "b"}, silent: map[string]bool{}, refuses: map[string]bool{},
			holds: map[string]*Tracker{"a": newTracker(), "b": newTracker()},
		}
		f := &feed{}
		subscriber := NewSubscriber(p.own, p, &log)
		follower := NewFollower(f, p.own, subscriber, &log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = subscriber.Run(ctx) })
		time.Sleep(2 * time.Second)
		work.Go(func() { _ = follower.Run(ctx, TopicConfiguration) })
		test(p, f)
		cancel()
		work.Wait()
	})
}

func (f *feed) loaded() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

// TestDelegatedProcessCallsNoStore hears of changes at once while another
// process follows the store for it.
func TestDelegatedProcessCallsNoStore(t *testing.T) {
	delegated(t, func(p *upstreamPeers, f *feed) {
		p.holds["a"].SetConfiguration(configuration(5, "x"), OriginStore)
		p.holds["a"].SetServers([]Server{{ID: "s1", Group: "g"}}, upTo(20), OriginStore)
		time.Sleep(50 * time.Millisecond)
		if c, s := p.own.Versions(); c != 5 || s != 20 {
			t.Errorf("versions %d and %d, want 5 and 20", c, s)
		}
		time.Sleep(time.Minute)
		if n := f.loaded(); n != 0 {
			t.Errorf("the store was read %d times", n)
		}
	})
}

// TestChangeOutlivesAFrozenDelegate changes the configuration while the first
// delegate is frozen.
func TestChangeOutlivesAFrozenDelegate(t *testing.T) {
	delegated(t, func(p *upstreamPeers, f *feed) {
		p.set(func() { p.silent["a"] = true })
		time.Sleep(time.Second)
		p.holds["b"].SetConfiguration(configuration(6, "x"), OriginStore)
		time.Sleep(subscribeWait + subscribeSlack + 100*time.Millisecond)
		if c, _ := p.own.Versions(); c != 6 {
			t.Errorf("version %d, want 6", c)
		}
		if n := f.loaded(); n != 0 {
			t.Errorf("the store was read %d times while a delegate answered", n)
		}
	})
}

// TestProcessFollowsTheStoreWithoutDelegates reads the store itself while no
// delegate hears from it, and stops when one does again.
func TestProcessFollowsTheStoreWithoutDelegates(t *testing.T) {
	delegated(t, func(p *upstreamPeers, f *feed) {
		p.set(func() { p.refuses["a"], p.refuses["b"] = true, true })
		time.Sleep(subscribeWait + subscribeSlack)
		if c, _ := p.own.Versions(); c != 1 || f.loaded() != 1 {
			t.Fatalf("version %d after %d reads of the store, want 1 after 1", c, f.loaded())
		}
		p.set(func() { p.refuses["b"] = false })
		p.holds["b"].SetConfiguration(configuration(7, "x"), OriginStore)
		time.Sleep(2 * time.Minute)
		if c, _ := p.own.Versions(); c != 7 || f.loaded() != 1 {
			t.Errorf("version %d after %d reads of the store, want 7 after 1", c, f.loaded())
		}
		p.set(func() { p.order = nil })
		time.Sleep(subscribeWait + upstreamCheck)
		if n := f.loaded(); n != 2 {
			t.Errorf("%d reads of the store, want 2: a process that follows by itself starts anew", n)
		}
	})
}

// TestRemovalIsKnownAfterAnOlderList offers a list that another process has
// loaded later, and that shows no trace of an entry that was removed.
func TestRemovalIsKnownAfterAnOlderList(t *testing.T) {
	tracker := newTracker()
	tracker.SetServers([]Server{{ID: "s1", Group: "g"}}, Coverage{Complete: 120, Latest: 90}, OriginStore)
	peer := newTracker()
	peer.SetConfiguration(configuration(1, "x"), OriginStore)
	peer.SetServers([]Server{{ID: "s0", Group: "g"}, {ID: "s1", Group: "g"}}, Coverage{Complete: 101, Latest: 100}, OriginStore)
	data, err := peer.Export()
	if err != nil {
		t.Fatal(err)
	}
	if err := tracker.Import(data); err != nil {
		t.Fatal(err)
	}
	if _, ok := tracker.State().Servers["s0"]; ok {
		t.Error("a server that was removed since is back")
	}
	if _, latest := tracker.Versions(); latest != 100 {
		t.Errorf("newest known change %d, want 100: the peer's list would be fetched again and again", latest)
	}
}

// TestDelegationEndsOnce closes the channel when nobody answers.
func TestDelegationEndsOnce(t *testing.T) {
	log := zerolog.Nop()
	s := NewSubscriber(newTracker(), &upstreamPeers{}, &log)
	if s.Active() != nil {
		t.Fatal("a new subscriber is delegated")
	}
	s.set("a")
	ended := s.Active()
	s.set("b")
	select {
	case <-ended:
		t.Fatal("another delegate ended the delegation")
	default:
	}
	s.set("")
	select {
	case <-ended:
	default:
		t.Error("the end was not told")
	}
	if s.Active() != nil {
		t.Error("delegated after the end")
	}
}
