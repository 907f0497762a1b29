package catalog

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// feedStore is a store whose complete reads may be behind its feed.
type feedStore struct {
	mu sync.Mutex
	// version is that of the configuration, loaded the one that complete reads return.
	version, loaded uint64
	// lost makes the next poll hang without an answer.
	lost  bool
	polls map[Topic]int
	// latency delays each response.
	latency time.Duration
}

func (s *feedStore) Load(_ context.Context, _ Topic) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Update{Configuration: keyedConfiguration(s.loaded, nil), Coverage: coverageUpTo(s.loaded)}, nil
}

func (s *feedStore) Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.polls[topic]++
	lost, latency, version := s.lost, s.latency, s.version
	s.lost = false
	s.mu.Unlock()
	switch {
	case lost:
		<-ctx.Done()
		return Update{}, ctx.Err()
	case version == after:
		select {
		case <-time.After(wait + latency):
		case <-ctx.Done():
			return Update{}, ctx.Err()
		}
		return Update{Coverage: coverageUpTo(after)}, nil
	}
	if topic == TopicConfiguration {
		time.Sleep(50 * time.Millisecond)
	}
	return Update{Configuration: keyedConfiguration(version, nil), Coverage: coverageUpTo(version)}, nil
}

func (s *feedStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func keyedConfiguration(version uint64, keys map[string]string) *Configuration {
	c := configuration(version, "db")
	c.KeysRequired = true
	for key, name := range keys {
		c.Organisations = append(c.Organisations, Organisation{Name: name, Keys: []KeyDigest{DigestKey([]byte(key))}})
	}
	return c
}

// runFeed follows both topics of a store with a fake clock, which starts at zero, and
// reports whether the store was ever taken for unreachable.
func runFeed(t *testing.T, s *feedStore, strict bool, test func(tracker *Tracker, clock func() time.Duration)) (unreachable bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log, start := zerolog.Nop(), time.Now()
		clock := func() time.Duration { return time.Since(start) }
		s.polls = map[Topic]int{}
		tracker := newTracker()
		follower := NewFollower(s, tracker, nil, &log)
		follower.ConfirmBy(clock, func() bool { return strict && tracker.KeysRequired() })
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		for _, topic := range []Topic{TopicConfiguration, TopicServers} {
			work.Go(func() { _ = follower.Run(ctx, topic) })
		}
		work.Go(func() {
			for ctx.Err() == nil {
				unreachable = unreachable || follower.StoreUnreachable()
				time.Sleep(10 * time.Millisecond)
			}
		})
		test(tracker, clock)
		cancel()
		work.Wait()
	})
	return unreachable
}

// A confirmation counts from before the request, not from its response: a version that
// was stored in between is not in the response. One lost response must not delay the next
// confirmation for long.
func TestPollConfirmsFromBeforeItsRequest(t *testing.T) {
	s := &feedStore{version: 1, loaded: 1}
	runFeed(t, s, true, func(tracker *Tracker, clock func() time.Duration) {
		time.Sleep(200 * time.Millisecond)
		if _, known := tracker.ConfirmedAge(clock()); !known {
			t.Error("the first confirmation is late")
		}
		time.Sleep(time.Second)
		for _, want := range []struct{ low, high time.Duration }{{1900 * time.Millisecond, 2 * time.Second}, {2600 * time.Millisecond, 2900 * time.Millisecond}} {
			var highest time.Duration
			for range 1000 {
				time.Sleep(10 * time.Millisecond)
				age, _ := tracker.ConfirmedAge(clock())
				highest = max(highest, age)
			}
			if highest < want.low || highest > want.high {
				t.Errorf("highest age %s, want %s to %s", highest, want.low, want.high)
			}
			s.set(func() { s.lost = true })
		}
	})
}

// A store that answers slowly still confirms the configuration, and must not be taken for
// unreachable, which would turn all processes to it.
func TestSlowStoreConfirms(t *testing.T) {
	for _, latency := range []time.Duration{400 * time.Millisecond, 900 * time.Millisecond} {
		s := &feedStore{version: 1, loaded: 1, latency: latency}
		unreachable := runFeed(t, s, true, func(tracker *Tracker, clock func() time.Duration) {
			time.Sleep(3 * time.Second)
			var highest time.Duration
			for range 2000 {
				time.Sleep(10 * time.Millisecond)
				age, _ := tracker.ConfirmedAge(clock())
				highest = max(highest, age)
			}
			if highest > 4*time.Second {
				t.Errorf("latency %s: highest age %s", latency, highest)
			}
		})
		if unreachable {
			t.Errorf("latency %s: the store was taken for unreachable", latency)
		}
	}
}

// A complete read that the store answers from an old copy must not confirm what it lacks.
func TestCompleteReadConfirmsNothing(t *testing.T) {
	s := &feedStore{version: 2, loaded: 1}
	runFeed(t, s, true, func(tracker *Tracker, clock func() time.Duration) {
		for range 100 {
			synctest.Wait()
			version, _ := tracker.Versions()
			if _, known := tracker.ConfirmedAge(clock()); known && version < 2 {
				t.Error("version 1 is confirmed although version 2 is stored")
			}
			time.Sleep(10 * time.Millisecond)
		}
		if _, known := tracker.ConfirmedAge(clock()); !known {
			t.Error("nothing is confirmed")
		}
	})
}

// Each poll costs a call. The configuration is polled more often only where withdrawn
// keys must stop working in time, and the servers never are.
func TestOnlyStrictRevocationShortensPolls(t *testing.T) {
	for _, tt := range []struct {
		strict bool
		want   int
	}{{false, 4}, {true, 60}} {
		s := &feedStore{version: 1, loaded: 1}
		runFeed(t, s, tt.strict, func(*Tracker, func() time.Duration) { time.Sleep(time.Minute) })
		if got := s.polls[TopicConfiguration]; got < tt.want || got > tt.want+2 {
			t.Errorf("strict %v: %d polls of the configuration in a minute, want %d", tt.strict, got, tt.want)
		}
		if got := s.polls[TopicServers]; got > 5 {
			t.Errorf("strict %v: %d polls of the servers in a minute, want 4", tt.strict, got)
		}
	}
}

// What another process confirms about a version that this one does not have says nothing
// about its own, and an older confirmation never replaces a newer one.
func TestConfirmationNeedsTheVersionAndNeverGoesBack(t *testing.T) {
	tracker := newTracker()
	tracker.SetConfiguration(keyedConfiguration(4, nil), OriginStore)
	for _, step := range []struct {
		version uint64
		at      time.Duration
		age     time.Duration
		known   bool
	}{{5, 8, 0, false}, {4, 3, 7, true}, {5, 9, 7, true}, {3, 5, 5, true}, {4, 2, 5, true}} {
		tracker.Confirm(step.version, step.at)
		if age, known := tracker.ConfirmedAge(10); age != step.age || known != step.known {
			t.Errorf("after version %d at %d: age %d, known %v, want %d, %v", step.version, step.at, age, known, step.age, step.known)
		}
	}
}

// A peer of an earlier version exports no organisations. Its configuration would let
// every caller in.
func TestConfigurationWithoutOrganisationsIsNotImported(t *testing.T) {
	tracker := newTracker()
	data := []byte(`{"Configuration":{"Version":9},"Servers":[{"ID":"s1"}],"Covered":{"Complete":3,"Latest":3}}`)
	if err := tracker.Import(data); err == nil {
		t.Error("no error, so the peer would go on to stand for the store")
	}
	if c, s := tracker.Versions(); c != 0 || s != 3 {
		t.Errorf("versions %d and %d, want 0 and 3", c, s)
	}
	peer := newTracker()
	peer.SetConfiguration(keyedConfiguration(9, map[string]string{"k": "red"}), OriginStore)
	data, err := peer.Export(Known{})
	if err != nil || tracker.Import(data) != nil {
		t.Fatal(err)
	}
	if name, known := tracker.Organisation(DigestKey([]byte("k"))); name != "red" || !known || !tracker.KeysRequired() {
		t.Errorf("organisation %q, %v", name, known)
	}
}

// An operator must find the version that withdrew a key, and no key in the log.
func TestChangesOfKeysAreLoggedWithoutKeys(t *testing.T) {
	var out bytes.Buffer
	log := zerolog.New(&out)
	tracker := NewTracker(&log)
	tracker.SetConfiguration(keyedConfiguration(1, map[string]string{"secret-a": "red", "secret-b": "blue"}), OriginStore)
	out.Reset()
	tracker.SetConfiguration(keyedConfiguration(2, map[string]string{"secret-b": "red"}), OriginStore)
	for _, want := range []string{
		`"version":2,"organisation":"red","added":1,"removed":1`, `"version":2,"organisation":"blue","added":0,"removed":1`,
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in the log:\n%s", want, out.String())
		}
	}
	key := DigestKey([]byte("secret-a"))
	if w, ok := tracker.Withdrawal(key); !ok || w != (Withdrawal{Organisation: "red", Version: 2}) {
		t.Errorf("withdrawal %+v, %v", w, ok)
	}
	tracker.SetConfiguration(keyedConfiguration(3, map[string]string{"secret-a": "blue"}), OriginStore)
	if w, ok := tracker.Withdrawal(key); ok {
		t.Errorf("a key that was given back is still withdrawn: %+v", w)
	}
	digest, _ := key.MarshalText()
	if strings.Contains(out.String(), "secret") || strings.Contains(out.String(), string(digest)) {
		t.Errorf("a key in the log:\n%s", out.String())
	}
}
