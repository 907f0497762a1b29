package duty

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// leaseTTL is the time to live of the lease after a renewal. It delays the
	// replacement of a primary that fails together with the holder.
	leaseTTL = 2 * time.Second
	// renewInterval leaves time for two failed renewals before the lease expires.
	renewInterval = 600 * time.Millisecond
	// clockMargin allows for differences between the clocks of two machines.
	clockMargin = 100 * time.Millisecond
	// pollInterval is the time between two reads of the row by the first candidate;
	// the interval of each further candidate is longer by as much. Candidates after
	// the first frequentPollers read the row only every maxPollInterval, so that the
	// load of a large fleet on the table service is not greater than that of a small
	// one.
	pollInterval    = 700 * time.Millisecond
	maxPollInterval = 30 * time.Second
	frequentPollers = 4
	// minCheckInterval is the minimum time between two reads that CheckSoon causes.
	minCheckInterval = time.Second
	// callTimeout bounds one call to the table service.
	callTimeout = time.Second
	// releaseTimeout bounds the release of the lease at a planned stop.
	releaseTimeout = 300 * time.Millisecond
)

// Token is a fencing token. It increases from one holder to the next.
type Token uint64

// Config configures a Lease.
type Config struct {
	// Holder names this process.
	Holder string
	// Key is the key of the lease's row.
	Key   string
	Table provider.Table
	// CandidateIndex returns this process's index among the candidates for the lease.
	CandidateIndex func() int
	// Clock is a monotonic clock that also runs while the machine is suspended; nil
	// means BootTime.
	Clock func() time.Duration
	Log   *zerolog.Logger
}

// Lease is one process's view of the lease. It is safe for concurrent use.
type Lease struct {
	config      Config
	incarnation int64

	mu sync.Mutex
	// token is not zero while this process holds the lease, which is valid until
	// expiry.
	token   Token
	version uint64
	expiry  time.Duration
	changed chan struct{}
	// checkNow makes Run read the row at once.
	checkNow chan struct{}
	// otherHolder is the last known holder, if it is not this process, and otherToken the
	// highest known token of another holder.
	otherHolder string
	otherToken  Token
	// highestToken is the highest known token of any holder.
	highestToken Token

	// predecessor is the token of the earlier process of this name whose lease this one
	// took over; zero if there was none.
	predecessor Token

	// watch is used by Run only.
	watch    Watch
	released bool
}

// New returns a Lease that this process does not hold yet.
func New(config Config) *Lease {
	if config.Clock == nil {
		config.Clock = BootTime
	}
	return &Lease{config: config, incarnation: time.Now().UnixNano(), changed: make(chan struct{}), checkNow: make(chan struct{}, 1)}
}

// BootTime is a monotonic clock that also runs while the machine is suspended; the
// monotonic clock of the Go runtime does not.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock id is a constant that every kernel knows
	}
	return time.Duration(t.Nano())
}

// Holder returns the name under which this process holds the lease.
func (l *Lease) Holder() string { return l.config.Holder }

// Held returns the fencing token. The second result is false when this process
// does not hold the lease at this moment.
func (l *Lease) Held() (Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0 && l.config.Clock() < l.expiry
}

// Remaining returns the time until this process's lease expires; zero when it does
// not hold the lease.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 {
		return 0
	}
	return max(l.expiry-l.config.Clock(), 0)
}

// Predecessor returns the token of the earlier process of this name whose lease this one
// took over. That process has ended, so it makes no more calls. Zero if there was none.
func (l *Lease) Predecessor() Token {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.predecessor
}

// Era returns the era of the table service in which this process has last renewed or acquired
// the lease; zero if it has none.
func (l *Lease) Era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return provider.EraOf(l.version)
}

// KnownHolder returns the last known holder; empty when none is known.
func (l *Lease) KnownHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 {
		return l.config.Holder
	}
	return l.otherHolder
}

// Hint returns the last known holder and its token for other processes, some of which may
// not reach the table service; the holder is empty when none is known.
func (l *Lease) Hint() (holder string, token Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 && l.token > l.otherToken {
		return l.config.Holder, l.token
	}
	return l.otherHolder, l.otherToken
}

// Learn takes over the hint of another process if it is newer than what is known. A higher
// token is given out only after the lease of the lower one has expired.
func (l *Lease) Learn(holder string, token Token) {
	l.mu.Lock()
	newer := holder != "" && holder != l.config.Holder && token > max(l.token, l.otherToken)
	l.mu.Unlock()
	if newer {
		l.recordNotHeld(holder, token)
	}
}

// Changed returns a channel that is closed when this process acquires or loses the
// lease.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Run renews the lease, or polls the row to acquire it, until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.waitForNextStep(ctx, delay.Jitter(l.step(ctx)))
	}
	return nil
}

// waitForNextStep waits for d. CheckSoon ends the wait early, but not before
// minCheckInterval.
func (l *Lease) waitForNextStep(ctx context.Context, d time.Duration) {
	delay.Sleep(ctx, min(d, minCheckInterval))
	if d <= minCheckInterval {
		return
	}
	timer := time.NewTimer(d - minCheckInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-l.checkNow:
	case <-timer.C:
	}
}

// CheckSoon makes Run read the row soon even if the next poll is far off. It is
// called when the last known holder does not answer as the holder.
func (l *Lease) CheckSoon() {
	select {
	case l.checkNow <- struct{}{}:
	default:
	}
}

// step renews the lease or reads its row, and returns the time until the next step.
func (l *Lease) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.mu.Lock()
	token, version, released := l.token, l.version, l.released
	l.mu.Unlock()
	if released {
		return maxPollInterval // a process that is stopping does not poll either
	}
	if token != 0 {
		err := l.write(ctx, row{Holder: l.config.Holder, Incarnation: l.incarnation, Token: token}, version)
		if err == nil {
			return renewInterval
		}
		eventRenewFailed.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(token)).Err(err).Send()
	}
	if err := l.checkRow(ctx); err != nil && ctx.Err() == nil {
		eventCheckFailed.Log(l.config.Log).Str("key", l.config.Key).Err(err).Send()
	}
	if _, held := l.Held(); held {
		return renewInterval
	}
	index := l.config.CandidateIndex()
	if index > frequentPollers {
		return maxPollInterval
	}
	return pollInterval * time.Duration(max(index, 1))
}

// write renews or acquires the lease.
func (l *Lease) write(ctx context.Context, value row, version uint64) error {
	value.Era = provider.EraOf(version)
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	sentAt := l.config.Clock()
	versions, err := l.config.Table.Commit(ctx, provider.Write{Key: l.config.Key, IfVersion: version, Value: data})
	if err != nil {
		return err
	}
	l.recordHeld(tokenOf(value, versions[0]), versions[0], ExpiryOf(sentAt))
	return nil
}

// recordHeld records that this process holds the lease until expiry.
func (l *Lease) recordHeld(token Token, version uint64, expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token {
		eventAcquired.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(token)).Send()
		l.notifyChanged()
	}
	l.token, l.version, l.expiry = token, version, expiry
	l.highestToken = max(l.highestToken, token)
}

// recordNotHeld records that the given process holds the lease, or none if holder is
// empty. A lower token than a known one is out of date.
func (l *Lease) recordNotHeld(holder string, token Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if holder == "" || token >= l.otherToken {
		l.otherHolder, l.otherToken = holder, max(token, l.otherToken)
	}
	l.highestToken = max(l.highestToken, token)
	l.lose(holder)
}

// lose records that this process does not hold the lease. The caller holds the lock.
func (l *Lease) lose(holder string) {
	if l.token == 0 {
		return
	}
	eventLost.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(l.token)).Str("holder", holder).Send()
	l.token = 0
	l.notifyChanged()
}

// notifyChanged closes the channel that Changed has returned. The caller holds the
// lock.
func (l *Lease) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// checkRow reads the row, and renews or acquires the lease if it may.
func (l *Lease) checkRow(ctx context.Context) error {
	current, err := l.config.Table.Get(ctx, l.config.Key)
	missing := errors.Is(err, provider.ErrNotFound)
	if err != nil && !missing {
		return err
	}
	var value row
	if !missing {
		if err := json.Unmarshal(current.Value, &value); err != nil {
			return eris.Wrap(err, "decode lease")
		}
	}
	reading := l.reading(value, current.Version, missing)
	token, held := l.Held()
	decision := l.watch.Next(reading, held, l.config.Clock())
	if decision == Renew {
		return l.renewRow(ctx, reading, value, token)
	}
	l.recordRow(reading, value)
	if decision == Wait {
		return nil
	}
	if reading.Predecessor {
		l.mu.Lock()
		l.predecessor = tokenOf(value, current.Version)
		l.mu.Unlock()
	}
	return l.acquire(ctx, current.Version)
}

// renewRow renews the lease over a row that this process has written without an answer, whose
// time of sending and so the expiry are not known; or over one that is not current, while this
// process holds the lease with a token.
func (l *Lease) renewRow(ctx context.Context, reading Reading, value row, token Token) error {
	if reading.Own && reading.Current {
		token = tokenOf(value, reading.Version)
	}
	err := l.write(ctx, row{Holder: l.config.Holder, Incarnation: l.incarnation, Token: token}, reading.Version)
	if err == nil && !reading.Current {
		eventKept.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(token)).
			Str("row_holder", value.Holder).Uint64("row_token", uint64(tokenOf(value, reading.Version))).Send()
	}
	return err
}

// recordRow records what a row says of the holder, which is not this process. A row that is
// not current says nothing of who holds the lease now.
func (l *Lease) recordRow(reading Reading, value row) {
	if reading.Current {
		l.recordNotHeld(value.Holder, tokenOf(value, reading.Version))
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highestToken = max(l.highestToken, value.Token, value.Above)
	l.lose("")
}

// acquire tries to acquire the lease. It returns no error when another process was
// faster.
func (l *Lease) acquire(ctx context.Context, version uint64) error {
	l.mu.Lock()
	highest := l.highestToken
	l.mu.Unlock()
	err := l.write(ctx, row{Holder: l.config.Holder, Incarnation: l.incarnation, Above: highest}, version)
	if errors.Is(err, provider.ErrConflict) {
		return nil
	}
	return err
}

// Release gives up the lease at a planned stop. The process does not acquire it
// again.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	token, version := l.token, l.version
	l.released = true
	l.mu.Unlock()
	l.recordNotHeld("", 0)
	if token == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	data, err := json.Marshal(row{Token: token, Era: provider.EraOf(version)})
	if err == nil {
		_, err = l.config.Table.Commit(ctx, provider.Write{Key: l.config.Key, IfVersion: version, Value: data})
	}
	if err != nil {
		eventReleaseFailed.Log(l.config.Log).Str("key", l.config.Key).Err(err).Send()
	}
}
