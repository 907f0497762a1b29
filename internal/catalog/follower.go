package catalog

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/panics"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// feedPollTime is the time for which the store may hold a long poll of the feed
	// open: less than the 20 s for which it keeps its history. Each process has two
	// polls open, which makes 13 calls a second for a fleet of 100.
	feedPollTime = 15 * time.Second
	// minServersInterval is the minimum time between the starts of two polls for
	// changes of servers: the changes of a restart or a release arrive in bursts,
	// and none of them is urgent within a second.
	minServersInterval = 300 * time.Millisecond
	// recoveryPollTime replaces feedPollTime after a failed call, so that the
	// recovery of the store is detected before the next change. It also replaces
	// confirmPollTime while a confirmation is late.
	recoveryPollTime = 100 * time.Millisecond
	// feedGrace is the time after feedPollTime at which a poll times out.
	feedGrace = 2 * time.Second
	// confirmPollTime and confirmGrace replace feedPollTime and feedGrace for the
	// configuration where its age matters for withdrawn keys: keys are refused 4.5 s
	// after the last confirmation, and one response may be lost in that time.
	confirmPollTime = time.Second
	confirmGrace    = 500 * time.Millisecond
	// confirmRetryGrace replaces confirmGrace after a failed poll: a store that answers
	// within a second still confirms the configuration in time, by each second poll.
	confirmRetryGrace = time.Second
	// loadTimeout limits one complete read; the slowest store answers in about
	// half a second.
	loadTimeout = 2 * time.Second
	// minRetryDelay and maxRetryDelay limit the delay after a failed call: well
	// below the 3 s within which a change must be active, and at most 2 calls a
	// second.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// maxFeedLag is the time within which the feed has to deliver a change that another
	// process knows already; it is above minServersInterval. A change is active within
	// 3 s although the feed is silent: a second until the next ping of a process that
	// knows it, maxFeedLag, and a second at most for the transfer from that process.
	maxFeedLag = 500 * time.Millisecond
)

// ErrHistoryExpired reports that the store no longer keeps the requested changes.
var ErrHistoryExpired = errors.New("the store no longer keeps the requested changes")

// Topic selects a part of the store that is polled separately.
type Topic uint8

// Topics of the store.
const (
	TopicConfiguration Topic = iota
	TopicServers
)

// Update is the result of a read of a topic.
type Update struct {
	Configuration *Configuration
	// Servers holds the entries by id; nil for a removed entry.
	Servers map[cluster.ServerID]*Server
	// Coverage states how much of the store's history the update reflects.
	Coverage Coverage
}

// Source reads the store.
type Source interface {
	// Load returns the complete state of a topic.
	Load(ctx context.Context, topic Topic) (Update, error)
	// Changes waits up to wait for changes after a version. It returns
	// ErrHistoryExpired when the store no longer keeps them.
	Changes(ctx context.Context, topic Topic, after uint64, wait time.Duration) (Update, error)
}

// Delegation reports whether other processes follow the store for this one.
type Delegation interface {
	// Ended returns a channel that is closed when the delegation ends and this
	// process has to follow the store itself; nil while there is no delegation.
	Ended() <-chan struct{}
}

// Follower updates a Tracker from the store.
type Follower struct {
	source     Source
	tracker    *Tracker
	delegation Delegation
	log        *zerolog.Logger
	// clock gives the times of confirmations; nil if there are none. strict reports
	// whether the configuration has to be confirmed frequently.
	clock  func() time.Duration
	strict func() bool
	// unreachable is set for each topic whose last call failed, or its last two calls
	// where those are frequent polls. failures counts the failed calls since the last
	// successful one; each is used by one goroutine.
	unreachable [2]atomic.Bool
	failures    [2]int
	// expecting is set while a change that another process knows is expected.
	expecting atomic.Bool

	mu sync.Mutex
	// cancels ends the poll of a topic that is in progress.
	cancels [2]context.CancelFunc
}

// NewFollower returns a Follower. delegation is nil if each process follows the
// store itself.
func NewFollower(source Source, tracker *Tracker, delegation Delegation, log *zerolog.Logger) *Follower {
	return &Follower{source: source, tracker: tracker, delegation: delegation, log: log}
}

// ConfirmBy makes each response of the store confirm the active configuration. clock is a
// monotonic clock that also runs while the machine is suspended; strict reports whether
// keys that are withdrawn must stop working although the store is unreachable. ConfirmBy
// must be called before Run.
func (f *Follower) ConfirmBy(clock func() time.Duration, strict func() bool) {
	f.clock, f.strict = clock, strict
}

// StoreUnreachable reports whether the last call for any topic failed.
func (f *Follower) StoreUnreachable() bool {
	return f.unreachable[TopicConfiguration].Load() || f.unreachable[TopicServers].Load()
}

// ServersUnreachable reports whether the last call for the servers failed.
func (f *Follower) ServersUnreachable() bool { return f.unreachable[TopicServers].Load() }

// Expect waits up to maxFeedLag until the tracker has versions that another process
// knows already, and reports whether it does. If not, the connections to the store are
// taken for silent: the polls in progress end and are repeated on new ones. Expect
// returns true at once while another change is expected.
func (f *Follower) Expect(ctx context.Context, configuration, servers uint64) bool {
	if !f.expecting.CompareAndSwap(false, true) {
		return true
	}
	defer f.expecting.Store(false)
	timer := time.NewTimer(maxFeedLag)
	defer timer.Stop()
	for {
		changed := f.tracker.Changed()
		c, s := f.tracker.Versions()
		if c >= configuration && s >= servers {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		case <-timer.C:
			f.abandonPoll(TopicConfiguration, c, configuration)
			f.abandonPoll(TopicServers, s, servers)
			return false
		}
	}
}

// abandonPoll ends the poll of a topic in progress if its version is below that of another
// process.
func (f *Follower) abandonPoll(topic Topic, version, known uint64) {
	if version >= known {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel := f.cancels[topic]; cancel != nil {
		eventFeedSilent.Log(f.log).Uint8("topic", uint8(topic)).Uint64("version", version).Uint64("known_by_peer", known).Send()
		cancel()
	}
}

// Run follows a topic until ctx ends.
func (f *Follower) Run(ctx context.Context, topic Topic) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	var version uint64
	for ctx.Err() == nil {
		if f.awaitDelegationEnd(ctx) {
			version = 0 // the tracker was updated by other processes meanwhile
			continue
		}
		start := time.Now()
		update, complete, err := f.readAndApply(ctx, topic, version)
		if err != nil {
			if errors.Is(err, ErrHistoryExpired) {
				era, number := provider.SplitVersion(version)
				eventHistoryExpired.Log(f.log).Uint64("after", number).Uint64("era", era).Send()
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
		if topic == TopicServers && !complete {
			delay.Sleep(ctx, minServersInterval-time.Since(start))
		}
	}
	return nil
}

// readAndApply makes one read and applies its result. A panic on an odd entry counts as
// a failed read.
func (f *Follower) readAndApply(ctx context.Context, topic Topic, version uint64) (update Update, complete bool, err error) {
	err = panics.Recover(func() (err error) {
		var sent time.Duration
		if f.clock != nil {
			sent = f.clock()
		}
		if update, complete, err = f.read(ctx, topic, version); err == nil {
			f.apply(topic, update, complete)
			f.confirm(topic, complete, sent)
		}
		return err
	})
	logPanic(f.log, err)
	return update, complete, err
}

// confirm records that the store had no configuration above the active one when a poll
// was sent whose response has been applied. Complete reads confirm nothing, because the
// store may answer them from a copy that is behind; the poll after them shows what they
// lack.
func (f *Follower) confirm(topic Topic, complete bool, sent time.Duration) {
	if topic == TopicConfiguration && !complete && f.clock != nil {
		version, _ := f.tracker.Versions()
		f.tracker.Confirm(version, sent)
	}
}

// logPanic logs an error that was a panic with its stack.
func logPanic(log *zerolog.Logger, err error) {
	var panicked *panics.Error
	if errors.As(err, &panicked) {
		eventReadPanicked.Log(log).Interface("reason", panicked.Reason).Bytes("stack", panicked.Stack).Send()
	}
}

// awaitDelegationEnd waits while other processes follow the store for this one.
// It returns false if there was no delegation.
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

// read loads the complete topic for version zero, and otherwise polls for
// changes after version.
func (f *Follower) read(ctx context.Context, topic Topic, version uint64) (update Update, complete bool, err error) {
	if version == 0 {
		ctx, cancel := context.WithTimeout(ctx, loadTimeout)
		defer cancel()
		update, err = f.source.Load(ctx, topic)
		return update, true, err
	}
	wait, grace := f.pollTime(topic)
	ctx, cancel := context.WithTimeout(ctx, wait+grace)
	defer cancel()
	f.setCancel(topic, cancel)
	defer f.setCancel(topic, nil)
	update, err = f.source.Changes(ctx, topic, version, wait)
	return update, false, err
}

// setCancel records how to end the poll of a topic; nil if none is in progress.
func (f *Follower) setCancel(topic Topic, cancel context.CancelFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancels[topic] = cancel
}

// pollTime returns the time for which the store may hold a poll open, and the time after
// that at which the poll times out.
func (f *Follower) pollTime(topic Topic) (wait, grace time.Duration) {
	failed := f.failures[topic] > 0
	switch {
	case !f.confirmsOften(topic) && failed:
		return recoveryPollTime, feedGrace
	case !f.confirmsOften(topic):
		return feedPollTime, feedGrace
	case failed:
		return recoveryPollTime, confirmRetryGrace
	}
	if age, known := f.tracker.ConfirmedAge(f.clock()); !known || age > confirmPollTime+confirmGrace {
		return recoveryPollTime, confirmGrace
	}
	return confirmPollTime, confirmGrace
}

// confirmsOften reports whether a topic is polled frequently to confirm it.
func (f *Follower) confirmsOften(topic Topic) bool {
	return topic == TopicConfiguration && f.strict != nil && f.strict()
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

// recordResult records whether a call failed and logs when the store becomes
// unreachable and when it has recovered. One frequent poll that fails does not show that
// the store is unreachable: processes that this one follows it for would turn to the store.
func (f *Follower) recordResult(ctx context.Context, topic Topic, err error) {
	failed := err != nil
	f.failures[topic]++
	if !failed {
		f.failures[topic] = 0
	}
	if f.failures[topic] == 1 && f.confirmsOften(topic) {
		return
	}
	if ctx.Err() != nil || f.unreachable[topic].Swap(failed) == failed {
		return
	}
	if failed {
		eventStoreLost.Log(f.log).Uint8("topic", uint8(topic)).Err(err).Send()
		return
	}
	eventStoreRegained.Log(f.log).Uint8("topic", uint8(topic)).Send()
}
