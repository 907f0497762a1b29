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
	// feedWait is how long the store may hold a call of the feed open: less than
	// the 20 s for which it keeps its history. Each process makes two such calls,
	// which are 13 a second for a fleet of 100.
	feedWait = 15 * time.Second
	// serversSpacing is the least time between the beginnings of two calls for
	// changes of servers: those of a restart or a release come in groups, and
	// nothing that they tell is urgent below a second.
	serversSpacing = 300 * time.Millisecond
	// returnWait replaces feedWait after a call that failed: whether the store
	// answers again must not be known only at the next change.
	returnWait = 100 * time.Millisecond
	// feedSlack is the time beyond feedWait after which a call has failed.
	feedSlack = 2 * time.Second
	// loadTimeout bounds one complete read; the slowest store answers in about
	// half a second.
	loadTimeout = 2 * time.Second
	// retryFirst and retryMost bound the wait after a failed call: well below the
	// 3 s in which a change has to be in force, and 2 calls a second at most.
	retryFirst = 100 * time.Millisecond
	retryMost  = 500 * time.Millisecond
)

// ErrHistoryGone reports that the store does not keep the changes asked for.
var ErrHistoryGone = errors.New("the history asked for is gone")

// Topic selects one of the two kinds of news.
type Topic uint8

// Topics of the store.
const (
	TopicConfiguration Topic = iota
	TopicServers
)

// News is what a call to the source returns.
type News struct {
	Configuration *Configuration
	// Servers holds the entries by id; nil for one that has vanished.
	Servers map[cluster.ServerID]*Server
	// Covered is how much of the store's history the news reflect.
	Covered Coverage
}

// Source reads the store.
type Source interface {
	// Load returns everything of a topic.
	Load(ctx context.Context, topic Topic) (News, error)
	// Changes waits up to wait for changes after a version. It returns
	// ErrHistoryGone when they are not known any more.
	Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (News, error)
}

// Delegation tells whether other processes follow the store for this one.
type Delegation interface {
	// Active returns a channel that is closed when this process has to follow the
	// store itself; nil while it has to.
	Active() <-chan struct{}
}

// Follower keeps a Tracker up to date from the store.
type Follower struct {
	source     Source
	tracker    *Tracker
	delegation Delegation
	log        *zerolog.Logger
	// failing counts the topics whose last call failed.
	failing [2]atomic.Bool
}

// NewFollower returns a Follower. delegation is nil where each process follows
// the store itself.
func NewFollower(source Source, tracker *Tracker, delegation Delegation, log *zerolog.Logger) *Follower {
	return &Follower{source: source, tracker: tracker, delegation: delegation, log: log}
}

// Failing reports whether the store does not answer this process.
func (f *Follower) Failing() bool {
	return f.failing[TopicConfiguration].Load() || f.failing[TopicServers].Load()
}

// Run follows a topic until ctx ends.
func (f *Follower) Run(ctx context.Context, topic Topic) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = retryFirst, retryMost
	var version uint64
	for ctx.Err() == nil {
		if f.awaitTurn(ctx) {
			version = 0 // other processes have told more meanwhile
			continue
		}
		begun := time.Now()
		news, complete, err := f.read(ctx, topic, version)
		if err != nil {
			if errors.Is(err, ErrHistoryGone) {
				eventHistoryGone.Log(f.log).Uint64("after", version).Send()
				version = 0
				continue
			}
			f.note(ctx, topic, err)
			delay.Sleep(ctx, retry.NextBackOff())
			continue
		}
		f.note(ctx, topic, nil)
		retry.Reset()
		version = news.Covered.Complete
		f.apply(topic, news, complete)
		if topic == TopicServers && !complete {
			delay.Sleep(ctx, serversSpacing-time.Since(begun))
		}
	}
	return nil
}

// awaitTurn waits while other processes follow the store for this one, and
// reports whether there was anything to wait for.
func (f *Follower) awaitTurn(ctx context.Context) bool {
	if f.delegation == nil {
		return false
	}
	ended := f.delegation.Active()
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
func (f *Follower) read(ctx context.Context, topic Topic, version uint64) (news News, complete bool, err error) {
	if version == 0 {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		news, err = f.source.Load(ctx, topic)
		return news, true, err
	}
	wait := feedWait
	if f.failing[topic].Load() {
		wait = returnWait
	}
	ctx, cancel := context.WithTimeout(ctx, wait+feedSlack)
	defer cancel()
	news, err = f.source.Changes(ctx, topic, version, wait)
	return news, false, err
}

func (f *Follower) apply(topic Topic, news News, complete bool) {
	switch {
	case topic == TopicConfiguration:
		f.tracker.SetConfiguration(news.Configuration, OriginStore)
	case complete:
		servers := make([]Server, 0, len(news.Servers))
		for _, s := range news.Servers {
			if s != nil {
				servers = append(servers, *s)
			}
		}
		f.tracker.SetServers(servers, news.Covered, OriginStore)
	default:
		f.tracker.Change(news.Servers, news.Covered)
	}
}

// note logs when the store is lost and when it is back.
func (f *Follower) note(ctx context.Context, topic Topic, err error) {
	failed := err != nil
	if ctx.Err() != nil || f.failing[topic].Swap(failed) == failed {
		return
	}
	if failed {
		eventStoreLost.Log(f.log).Uint8("topic", uint8(topic)).Err(err).Send()
		return
	}
	eventStoreBack.Log(f.log).Uint8("topic", uint8(topic)).Send()
}
