package catalog

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
)

const (
	// feedPollTime is how long the store may hold a call of the feed open: less than
	// the 20 s for which it keeps its history. Each process makes two such calls,
	// which are 13 a second for a fleet of 100.
	feedPollTime = 15 * time.Second
	// minServersInterval is the least time between the beginnings of two calls for
	// changes of servers: those of a restart or a release come in groups, and
	// nothing that they tell is urgent below a second.
	minServersInterval = 300 * time.Millisecond
	// recoveryPollTime replaces feedWait after a call that failed: whether the store
	// answers again must not be known only at the next change.
	recoveryPollTime = 100 * time.Millisecond
	// feedGrace is the time beyond feedWait after which a call has failed.
	feedGrace = 2 * time.Second
	// loadTimeout bounds one complete read; the slowest store answers in about
	// half a second.
	loadTimeout = 2 * time.Second
	// minRetryDelay and retryMost bound the wait after a failed call: well below the
	// 3 s in which a change has to be in force, and 2 calls a second at most.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// ErrHistoryExpired reports that the store does not keep the changes asked for.
var ErrHistoryExpired = errors.New("the history asked for is gone")

// Topic selects one of the two kinds of news.
type Topic uint8

// Topics of the store.
const (
	TopicConfiguration Topic = iota
	TopicServers
)

// Update is what a call to the source returns.
type Update struct {
	Configuration *Configuration
	// Servers holds the entries by id; nil for one that has vanished.
	Servers map[cluster.ServerID]*Server
	// Coverage is how much of the store's history the news reflect.
	Coverage Coverage
}

// Source reads the store.
type Source interface {
	// Load returns everything of a topic.
	Load(ctx context.Context, topic Topic) (Update, error)
	// Changes waits up to wait for changes after a version. It returns
	// ErrHistoryGone when they are not known any more.
	Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Update, error)
}

// Delegation tells whether other processes follow the store for this one.
type Delegation interface {
	// Ended returns a channel that is closed when this process has to follow the
	// store itself; nil while it has to.
	Ended() <-chan struct{}
}

// Follower keeps a Tracker up to date from the store.
type Follower struct {
	source     Source
	tracker    *Tracker
	delegation Delegation
	log        *zerolog.Logger
	// unreachable counts the topics whose last call failed.
	unreachable [2]atomic.Bool
}

// NewFollower returns a Follower. delegation is nil where each process follows
// the store itself.
func NewFollower(source Source, tracker *Tracker, delegation Delegation, log *zerolog.Logger) *Follower {
	return &Follower{source: source, tracker: tracker, delegation: delegation, log: log}
}

// StoreUnreachable reports whether the store does not answer this process.
func (f *Follower) StoreUnreachable() bool {
	return f.unreachable[TopicConfiguration].Load() || f.unreachable[TopicServers].Load()
}

// Run follows a topic until ctx ends.
func (f *Follower) Run(ctx context.Context, topic Topic) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	var version uint64
	for ctx.Err() == nil {
		if f.awaitDelegationEnd(ctx) {
			version = 0 // other processes have told more meanwhile
			continue
		}
		start := time.Now()
		update, complete, err := f.read(ctx, topic, version)
		if err != nil {
			if errors.Is(err, ErrHistoryExpired) {
				eventHistoryExpired.Log(f.log).Uint64("after", version).Send()
				version = 0
				continue
			}
			f.recordResult(ctx, topic, err)
			delay.Sleep(ctx, retry.NextBackOff())
			continue
		}
		f.recordResult(ctx, topic, nil)
		retry.Reset()
		version = update.Coverage.Complete
		f.apply(topic, update, complete)
		if topic == TopicServers && !complete {
			delay.Sleep(ctx, minServersInterval-time.Since(start))
		}
	}
	return nil
}

// awaitDelegationEnd waits while other processes follow the store for this one, and
// reports whether there was anything to wait for.
func (f *Follower) awaitDelegationEnd(ctx context.Context) bool {
	if f.delegation == nil {
		return false
	}
	ended := f.delegation.Ended()
	if ended == nil {
		return false
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
	return true
}

// read loads a topic at first and waits for changes afterwards.
func (f *Follower) read(ctx context.Context, topic Topic, version uint64) (update Update, complete bool, err error) {
	if version == 0 {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		update, err = f.source.Load(ctx, topic)
		return update, true, err
	}
	wait := feedPollTime
	if f.unreachable[topic].Load() {
		wait = recoveryPollTime
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedGrace)
	defer cancel()
	update, err = f.source.Changes(ctx, topic, version, wait)
	return update, false, err
}

func (f *Follower) apply(topic Topic, update Update, complete bool) {
	switch {
	case topic == TopicConfiguration:
		f.tracker.SetConfiguration(update.Configuration, OriginStore)
	case complete:
		servers := make([]Server, 0, len(update.Servers))
		for _, s := range update.Servers {
			if s != nil {
				servers = append(servers, *s)
			}
		}
		f.tracker.SetServers(servers, update.Coverage, OriginStore)
	default:
		f.tracker.ApplyChanges(update.Servers, update.Coverage)
	}
}

// recordResult logs when the store is lost and when it is back.
func (f *Follower) recordResult(ctx context.Context, topic Topic, err error) {
	failed := err != nil
	if ctx.Err() != nil || f.unreachable[topic].Swap(failed) == failed {
		return
	}
	if failed {
		eventStoreLost.Log(f.log).Uint8("topic", uint8(topic)).Err(err).Send()
		return
	}
	eventStoreRegained.Log(f.log).Uint8("topic", uint8(topic)).Send()
}
