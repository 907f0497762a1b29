package catalog

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// silentSource is a store whose first poll of each topic never gets an answer, because
// the connection has gone silent. Later polls work.
type silentSource struct {
	mu    sync.Mutex
	polls map[Topic]int
	// version is that of the newest configuration.
	version uint64
}

func (s *silentSource) Load(context.Context, Topic) (Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Update{Configuration: configuration(s.version), Coverage: coverageUpTo(10 + s.version)}, nil
}

func (s *silentSource) Changes(ctx context.Context, topic Topic, _ uint64, wait time.Duration) (Update, error) {
	s.mu.Lock()
	s.polls[topic]++
	first := s.polls[topic] == 1
	s.mu.Unlock()
	if !first {
		time.Sleep(min(wait, 50*time.Millisecond))
		return s.Load(ctx, topic)
	}
	<-ctx.Done()
	return Update{}, ctx.Err()
}

func (s *silentSource) publish(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
}

// A process whose connection to the store has gone silent hears of a new configuration
// from a peer. It must not wait for the end of its poll, 17 s later.
func TestSilentFeedIsGivenUpWhenAPeerKnowsMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		tracker, source := newTracker(), &silentSource{polls: map[Topic]int{}, version: 1}
		follower := NewFollower(source, tracker, nil, &log)
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { _ = follower.Run(ctx, TopicConfiguration) })
		time.Sleep(time.Second)
		source.publish(2)
		time.Sleep(time.Second)
		if follower.Expect(ctx, 2, 0) {
			t.Error("the silent connection was not detected")
		}
		time.Sleep(maxRetryDelay + recoveryPollTime)
		if version, _ := tracker.Versions(); version != 2 {
			t.Errorf("version %d is active, want 2", version)
		}
		cancel()
		work.Wait()
	})
}

// A change that the store delivers a little later than a peer does not disturb the feed.
func TestFeedThatDeliversInTimeIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := zerolog.Nop()
		tracker := newTracker()
		follower := NewFollower(&idleSource{}, tracker, nil, &log)
		tracker.SetConfiguration(configuration(1), OriginStore)
		go func() {
			time.Sleep(maxFeedLag / 2)
			tracker.SetConfiguration(configuration(2), OriginStore)
		}()
		if !follower.Expect(t.Context(), 2, 0) {
			t.Error("the feed was given up although it delivered in time")
		}
		if follower.Expect(t.Context(), 3, 0) {
			t.Error("a change that does not come was not missed")
		}
	})
}
