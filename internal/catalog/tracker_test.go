package catalog

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
)

func newTracker() *Tracker {
	log := zerolog.Nop()
	return NewTracker(&log)
}

func configuration(version uint64, databases ...string) *Configuration {
	c := &Configuration{Version: version, Groups: []Group{{Name: "g", Connections: 16, SyncReplicas: 1}}}
	for _, d := range databases {
		c.Routes = append(c.Routes, Route{Database: d, Group: "g"})
	}
	return c
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	tracker := newTracker()
	for _, step := range []struct {
		version uint64
		origin  Origin
		want    uint64
	}{{3, OriginStore, 3}, {7, OriginPeer, 7}, {5, OriginStore, 7}, {7, OriginStore, 7}, {9, OriginStore, 9}, {8, OriginPeer, 9}} {
		tracker.SetConfiguration(configuration(step.version), step.origin)
		if got, _ := tracker.Versions(); got != step.want {
			t.Errorf("after version %d from %s, version %d is active, want %d", step.version, step.origin, got, step.want)
		}
	}
}

func TestDroppedRouteIsRemoved(t *testing.T) {
	tracker := newTracker()
	tracker.SetConfiguration(configuration(1, "a", "b"), OriginStore)
	tracker.SetConfiguration(configuration(2, "b"), OriginStore)
	if _, ok := tracker.Route("a"); ok {
		t.Error("a dropped route is still known")
	}
	if _, ok := tracker.Route("b"); !ok {
		t.Error("a kept route was removed")
	}
}

// TestExpiredEntriesAreKeptForAGracePeriod removes two entries, as in a disruption
// of the store: one returns within the two seconds that the platform specifies,
// the other does not.
func TestExpiredEntriesAreKeptForAGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTracker()
		s1, s2 := Server{ID: "s1", Group: "g"}, Server{ID: "s2", Group: "g"}
		tracker.SetServers([]Server{s1, s2}, coverageUpTo(10), OriginStore)
		tracker.ApplyChanges(map[cluster.ServerID]*Server{"s1": nil, "s2": nil}, coverageUpTo(11))
		time.Sleep(2 * time.Second)
		tracker.Expire(time.Now())
		if n := len(tracker.State().Servers); n != 2 {
			t.Fatalf("%d servers during the grace period, want 2", n)
		}
		tracker.ApplyChanges(map[cluster.ServerID]*Server{"s1": &s1}, coverageUpTo(12))
		time.Sleep(2 * time.Second)
		tracker.Expire(time.Now())
		servers := tracker.State().Servers
		if _, ok := servers["s1"]; !ok || len(servers) != 1 {
			t.Errorf("servers %v, want only s1", servers)
		}
	})
}

func TestPeerStateDoesNotReplaceNewer(t *testing.T) {
	older, newer := newTracker(), newTracker()
	older.SetConfiguration(configuration(3, "a"), OriginStore)
	older.SetServers([]Server{{ID: "s1", Group: "g", Draining: true}}, coverageUpTo(10), OriginStore)
	newer.SetConfiguration(configuration(4, "b"), OriginStore)
	newer.SetServers([]Server{{ID: "s2", Group: "g"}}, coverageUpTo(20), OriginStore)
	exchange := func(from, to *Tracker) {
		data, err := from.Export(Known{})
		if err != nil {
			t.Fatal(err)
		}
		if err := to.Import(data); err != nil {
			t.Fatal(err)
		}
	}
	exchange(older, newer)
	if _, ok := newer.State().Servers["s1"]; ok || newer.State().Configuration.Version != 4 {
		t.Error("the older state of a peer was imported")
	}
	exchange(newer, older)
	if _, ok := older.State().Servers["s2"]; !ok || older.State().Configuration.Version != 4 {
		t.Error("the newer state of a peer was not imported")
	}
	if err := newer.Import([]byte("{")); err == nil {
		t.Error("Import accepted a malformed state")
	}
}

// coverageUpTo returns the coverage of all changes up to a version, which is that
// of the newest change.
func coverageUpTo(version uint64) Coverage { return Coverage{Complete: version, Latest: version} }

// scriptedSource is a Source whose calls of Changes return the results of script
// in order, and then block.
type scriptedSource struct {
	mu     sync.Mutex
	loads  int
	script []func() (Update, error)
}

func (s *scriptedSource) Load(context.Context, Topic) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loads++
	return Update{Configuration: configuration(uint64(s.loads)), Coverage: coverageUpTo(uint64(10 * s.loads))}, nil
}

func (s *scriptedSource) Changes(ctx context.Context, _ Topic, after uint64, _ time.Duration) (Update, error) {
	s.mu.Lock()
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	next := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	update, err := next()
	if update.Coverage == (Coverage{}) {
		update.Coverage = coverageUpTo(after)
	}
	return update, err
}

// TestFollowerRecoversFromStoreFailures covers an outage, an expired history and
// a connection that no longer responds.
func TestFollowerRecoversFromStoreFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		down := func() (Update, error) { return Update{}, errors.New("store call: 503") }
		source := &scriptedSource{script: []func() (Update, error){
			down, down,
			func() (Update, error) {
				return Update{Configuration: configuration(7), Coverage: coverageUpTo(30)}, nil
			},
			func() (Update, error) { return Update{}, ErrHistoryExpired },
		}}
		tracker := newTracker()
		follower := NewFollower(source, tracker, nil, &log)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = follower.Run(ctx, TopicConfiguration)
		}()
		time.Sleep(50 * time.Millisecond)
		if !follower.StoreUnreachable() {
			t.Error("an outage was not detected")
		}
		time.Sleep(2 * time.Second)
		source.mu.Lock()
		loads := source.loads
		source.mu.Unlock()
		if version, _ := tracker.Versions(); version != 7 || loads != 2 {
			t.Errorf("version %d after %d complete reads, want 7 after 2", version, loads)
		}
		time.Sleep(feedPollTime + feedGrace + time.Second) // the feed does not respond
		if !follower.StoreUnreachable() {
			t.Error("a feed that does not respond was not detected")
		}
		cancel()
		<-done
	})
}

// TestServerChangesAreReadInBatches changes entries every ten milliseconds for
// two seconds and checks the number of polls.
func TestServerChangesAreReadInBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		source := &scriptedSource{}
		calls := 0
		for i := range 200 {
			source.script = append(source.script, func() (Update, error) {
				time.Sleep(10 * time.Millisecond)
				calls++
				id := cluster.ServerID("s1")
				return Update{Servers: map[cluster.ServerID]*Server{id: {ID: id, Started: int64(i)}}, Coverage: coverageUpTo(uint64(20 + i))}, nil
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = NewFollower(source, newTracker(), nil, &log).Run(ctx, TopicServers) })
		time.Sleep(2 * time.Second)
		cancel()
		work.Wait()
		if most := int(2*time.Second/minServersInterval) + 1; calls > most {
			t.Errorf("%d calls in two seconds, want %d at most", calls, most)
		}
	})
}

// idleSource is a Source without changes. Its calls fail while down is set.
type idleSource struct {
	mu   sync.Mutex
	down bool
}

func (s *idleSource) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *idleSource) Load(ctx context.Context, topic Topic) (Update, error) {
	return s.Changes(ctx, topic, 0, 0)
}

func (s *idleSource) Changes(ctx context.Context, _ Topic, _ uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		return Update{}, errors.New("store call: 503")
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return Update{Coverage: coverageUpTo(10)}, ctx.Err()
}

// TestFollowerDetectsStoreRecovery ends an outage without a subsequent change: the
// recovery must be detected nevertheless.
func TestFollowerDetectsStoreRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		source := &idleSource{}
		follower := NewFollower(source, newTracker(), nil, &log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = follower.Run(ctx, TopicConfiguration) })
		time.Sleep(time.Second)
		source.setDown(true)
		time.Sleep(feedPollTime + time.Second)
		if !follower.StoreUnreachable() {
			t.Error("the outage was not detected")
		}
		source.setDown(false)
		time.Sleep(maxRetryDelay + maxRetryDelay/2 + recoveryPollTime + time.Millisecond)
		if follower.StoreUnreachable() {
			t.Error("the end of the outage was not detected")
		}
		cancel()
		work.Wait()
	})
}

// TestExportHoldsWhatThePeerLacks guards against a peer that loses or reverts what it has
// because the reply to it leaves out the unchanged part, plain or compressed.
func TestExportHoldsWhatThePeerLacks(t *testing.T) {
	for _, gzip := range []bool{false, true} {
		from, to := newTracker(), newTracker()
		exchange := func(known Known) {
			known.Gzip = gzip
			data, err := from.Export(known)
			if err != nil {
				t.Fatal(err)
			}
			if len(data) == 0 {
				return
			}
			if err := to.Import(data); err != nil {
				t.Fatal(err)
			}
		}
		from.SetConfiguration(configuration(1, "a"), OriginStore)
		from.SetServers([]Server{{ID: "s1", Group: "g"}}, coverageUpTo(10), OriginStore)
		exchange(Known{})
		from.SetConfiguration(configuration(2, "a", "b"), OriginStore)
		exchange(Known{Configuration: 1, Servers: 10})
		from.ApplyChanges(map[cluster.ServerID]*Server{"s2": {ID: "s2", Group: "g"}}, coverageUpTo(11))
		exchange(Known{Configuration: 2, Servers: 10})
		exchange(Known{Configuration: 2, Servers: 11})
		state := to.State()
		if len(state.Servers) != 2 || state.Configuration.Version != 2 || to.Expire(time.Now().Add(missingGrace)) != 0 || len(to.State().Servers) != 2 {
			t.Errorf("compressed %v: the peer has %+v, configuration %+v", gzip, to.State().Servers, state.Configuration)
		}
	}
}
