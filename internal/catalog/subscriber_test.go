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

// fakePeers implements Peers with the trackers of other processes, by address. An
// unresponsive process never answers.
type fakePeers struct {
	mu           sync.Mutex
	local        *Tracker
	upstreams    []string
	trackers     map[string]*Tracker
	unresponsive map[string]bool
	notFollowing map[string]bool
}

func (p *fakePeers) Upstreams() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.upstreams)
}

// confirmedAt and a nanosecond for each version is the time that replies of fakePeers confirm.
const confirmedAt = time.Hour

func (p *fakePeers) AwaitUpdate(ctx context.Context, address string, wait time.Duration) (PeerCatalog, error) {
	p.mu.Lock()
	unresponsive, notFollowing, peer := p.unresponsive[address], p.notFollowing[address], p.trackers[address]
	p.mu.Unlock()
	switch {
	case unresponsive:
		<-ctx.Done()
		return PeerCatalog{}, ctx.Err()
	case notFollowing:
		return PeerCatalog{}, ErrNotFollowing
	}
	configuration, servers := p.local.Versions()
	data, err := peer.AwaitUpdate(ctx, Known{Configuration: configuration, Servers: servers}, wait)
	version, _ := peer.Versions()
	return PeerCatalog{Data: data, Confirmation: Confirmation{Version: version, At: confirmedAt + time.Duration(version)}}, err
}

func (p *fakePeers) set(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
}

// runDelegated runs a subscriber and a follower of the configuration with a fake
// clock.
func runDelegated(t *testing.T, test func(p *fakePeers, source *scriptedSource)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		p := &fakePeers{
			local: newTracker(), upstreams: []string{"a", "b"}, unresponsive: map[string]bool{}, notFollowing: map[string]bool{},
			trackers: map[string]*Tracker{"a": newTracker(), "b": newTracker()},
		}
		source := &scriptedSource{}
		subscriber := NewSubscriber(p.local, p, &log)
		follower := NewFollower(source, p.local, subscriber, &log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = subscriber.Run(ctx) })
		time.Sleep(2 * time.Second)
		work.Go(func() { _ = follower.Run(ctx, TopicConfiguration) })
		test(p, source)
		cancel()
		work.Wait()
	})
}

func (s *scriptedSource) loadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads
}

// TestDelegatedProcessDoesNotReadStore checks that changes arrive within 50 ms
// from the process that follows the store for this one.
func TestDelegatedProcessDoesNotReadStore(t *testing.T) {
	runDelegated(t, func(p *fakePeers, source *scriptedSource) {
		p.trackers["a"].SetConfiguration(configuration(5, "x"), OriginStore)
		p.trackers["a"].SetServers([]Server{{ID: "s1", Group: "g"}}, coverageUpTo(20), OriginStore)
		time.Sleep(50 * time.Millisecond)
		if c, s := p.local.Versions(); c != 5 || s != 20 {
			t.Errorf("versions %d and %d, want 5 and 20", c, s)
		}
		if age, known := p.local.ConfirmedAge(confirmedAt + 5); age != 0 || !known {
			t.Errorf("the reply with version 5 does not confirm it: %d, %v", age, known)
		}
		time.Sleep(time.Minute)
		if n := source.loadCount(); n != 0 {
			t.Errorf("the store was read %d times", n)
		}
	})
}

// TestChangeArrivesDespiteFrozenDelegate checks that a change arrives from the
// second delegate while the first one is frozen.
func TestChangeArrivesDespiteFrozenDelegate(t *testing.T) {
	runDelegated(t, func(p *fakePeers, source *scriptedSource) {
		p.set(func() { p.unresponsive["a"] = true })
		time.Sleep(time.Second)
		p.trackers["b"].SetConfiguration(configuration(6, "x"), OriginStore)
		time.Sleep(upstreamPollTime + upstreamGrace + 100*time.Millisecond)
		if c, _ := p.local.Versions(); c != 6 {
			t.Errorf("version %d, want 6", c)
		}
		if n := source.loadCount(); n != 0 {
			t.Errorf("the store was read %d times while a delegate answered", n)
		}
	})
}

// TestProcessFollowsStoreWithoutDelegates checks that a process reads the store
// itself while no delegate can reach it, and stops when one can again.
func TestProcessFollowsStoreWithoutDelegates(t *testing.T) {
	runDelegated(t, func(p *fakePeers, source *scriptedSource) {
		p.set(func() { p.notFollowing["a"], p.notFollowing["b"] = true, true })
		time.Sleep(upstreamPollTime + upstreamGrace)
		if c, _ := p.local.Versions(); c != 1 || source.loadCount() != 1 {
			t.Fatalf("version %d after %d reads of the store, want 1 after 1", c, source.loadCount())
		}
		p.set(func() { p.notFollowing["b"] = false })
		p.trackers["b"].SetConfiguration(configuration(7, "x"), OriginStore)
		time.Sleep(2 * time.Minute)
		if c, _ := p.local.Versions(); c != 7 || source.loadCount() != 1 {
			t.Errorf("version %d after %d reads of the store, want 7 after 1", c, source.loadCount())
		}
		p.set(func() { p.upstreams = nil })
		time.Sleep(upstreamPollTime + upstreamRetryDelay)
		if n := source.loadCount(); n != 2 {
			t.Errorf("%d reads of the store, want 2: a process without upstreams loads the store again", n)
		}
	})
}

// TestOlderListDoesNotRestoreRemovedServer imports a list of a lower Complete but
// a higher Latest: its newest change is one of an entry whose removal the local
// list already reflects. The list must not restore the entry, and its Latest must
// be recorded.
func TestOlderListDoesNotRestoreRemovedServer(t *testing.T) {
	tracker := newTracker()
	tracker.SetServers([]Server{{ID: "s1", Group: "g"}}, Coverage{Complete: 120, Latest: 90}, OriginStore)
	peer := newTracker()
	peer.SetConfiguration(configuration(1, "x"), OriginStore)
	peer.SetServers([]Server{{ID: "s0", Group: "g"}, {ID: "s1", Group: "g"}}, Coverage{Complete: 101, Latest: 100}, OriginStore)
	data, err := peer.Export(Known{})
	if err != nil {
		t.Fatal(err)
	}
	if err := tracker.Import(data); err != nil {
		t.Fatal(err)
	}
	if _, ok := tracker.State().Servers["s0"]; ok {
		t.Error("a removed server was restored")
	}
	if _, latest := tracker.Versions(); latest != 100 {
		t.Errorf("newest known change %d, want 100: the peer's list would be fetched again and again", latest)
	}
}

// TestDelegationEndsWithoutUpstream checks that the channel is closed only when no
// upstream process answers.
func TestDelegationEndsWithoutUpstream(t *testing.T) {
	log := zerolog.Nop()
	s := NewSubscriber(newTracker(), &fakePeers{}, &log)
	if s.Ended() != nil {
		t.Fatal("a new subscriber has a delegation")
	}
	s.setUpstream("a")
	ended := s.Ended()
	s.setUpstream("b")
	select {
	case <-ended:
		t.Fatal("a change of the upstream process ended the delegation")
	default:
	}
	s.setUpstream("")
	select {
	case <-ended:
	default:
		t.Error("the channel was not closed at the end of the delegation")
	}
	if s.Ended() != nil {
		t.Error("the subscriber has a delegation after its end")
	}
}
