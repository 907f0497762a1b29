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
	// leaseTTL is how long a lease holds after its renewal. A primary that
	// fails together with the holder is replaced by the next one that much later.
	leaseTTL = 2 * time.Second
	// renewInterval leaves room for two renewals that fail.
	renewInterval = 600 * time.Millisecond
	// clockMargin covers the differences between the clocks of two machines.
	clockMargin = 100 * time.Millisecond
	// pollInterval is the time between two looks of the process that is next in
	// line; each further one waits as much longer. Those beyond watchers look
	// every watchMost only, so that a large fleet asks no more than a small one.
	pollInterval    = 700 * time.Millisecond
	maxPollInterval = 30 * time.Second
	frequentPollers = 4
	// minCheckInterval is the least time between two looks that Check causes.
	minCheckInterval = time.Second
	// callTimeout bounds one call of the table service.
	callTimeout = time.Second
	// releaseTimeout bounds giving the lease up at a planned stop.
	releaseTimeout = 300 * time.Millisecond
)

// Token is a fencing token. It rises from one holder to the next.
type Token uint64

// Config describes a Lease.
type Config struct {
	// Holder names this process.
	Holder string
	// Key is the row of the lease.
	Key   string
	Table provider.Table
	// CandidateIndex returns this process's place among those that may hold the lease.
	CandidateIndex func() int
	// Clock is a steady clock that counts the time of a suspension as well; nil
	// takes the system's.
	Clock func() time.Duration
	Log   *zerolog.Logger
}

// row is the value of the lease's row.
type row struct {
	Holder string `json:"holder"`
	// Incarnation tells two lives of one holder apart.
	Incarnation int64 `json:"life"`
	// Token is zero in the write that takes the lease.
	Token Token `json:"token"`
}

// Lease is this process's side of the lease. It is safe for concurrent use.
type Lease struct {
	config      Config
	incarnation int64

	mu sync.Mutex
	// token is not zero while this process holds the lease, up to expiry.
	token   Token
	version uint64
	expiry  time.Duration
	changed chan struct{}
	// checkNow asks for a look at the row at once.
	checkNow chan struct{}
	// otherHolder is another process that was seen to hold the lease.
	otherHolder string

	// seen is the row of another holder and the time of its first sight. It is
	// used by Run alone.
	seenVersion uint64
	seenSince   time.Duration
	released    bool
}

// New returns a Lease that is not held.
func New(config Config) *Lease {
	if config.Clock == nil {
		config.Clock = BootTime
	}
	return &Lease{config: config, incarnation: time.Now().UnixNano(), changed: make(chan struct{}), checkNow: make(chan struct{}, 1)}
}

// BootTime is a steady clock that counts the time of a suspension, which the
// runtime's clock leaves out.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // the clock id is a constant that every kernel knows
	}
	return time.Duration(t.Nano())
}

// Holder returns the name under which the lease is held.
func (l *Lease) Holder() string { return l.config.Holder }

// Held returns the fencing token. The second result is false when this process
// does not hold the lease at this moment.
func (l *Lease) Held() (Token, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.token != 0 && l.config.Clock() < l.expiry
}

// Remaining returns the time for which this process holds the lease for sure.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token == 0 {
		return 0
	}
	return max(l.expiry-l.config.Clock(), 0)
}

// KnownHolder returns the holder that was seen last; empty while none is known.
func (l *Lease) KnownHolder() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != 0 {
		return l.config.Holder
	}
	return l.otherHolder
}

// Changed returns a channel that is closed when the lease is taken or lost.
func (l *Lease) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Run keeps or watches the lease until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		l.waitForNextStep(ctx, delay.Jitter(l.step(ctx)))
	}
	return nil
}

// waitForNextStep waits for d, or until Check asks for a look, but for checkSpacing at least.
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

// CheckSoon makes a process that looks at the row seldom look at it soon. It is
// called when the holder that was seen last does not answer as such.
func (l *Lease) CheckSoon() {
	select {
	case l.checkNow <- struct{}{}:
	default:
	}
}

// step renews the lease or looks at it, and returns the time until the next step.
func (l *Lease) step(ctx context.Context) time.Duration {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.mu.Lock()
	token, version, released := l.token, l.version, l.released
	l.mu.Unlock()
	if released {
		return maxPollInterval // a process that stops does not watch either
	}
	if token != 0 {
		err := l.write(ctx, row{Holder: l.config.Holder, Incarnation: l.incarnation, Token: token}, version)
		if err == nil {
			return renewInterval
		}
		eventRenewFailed.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(token)).Err(err).Send()
	}
	if err := l.checkRow(ctx); err != nil && ctx.Err() == nil {
		eventWatchFailed.Log(l.config.Log).Str("key", l.config.Key).Err(err).Send()
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

// write renews or takes the lease.
func (l *Lease) write(ctx context.Context, value row, version uint64) error {
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode lease")
	}
	sentAt := l.config.Clock()
	versions, err := l.config.Table.Commit(ctx, provider.Write{Key: l.config.Key, IfVersion: version, Value: data})
	if err != nil {
		return err
	}
	token := value.Token
	if token == 0 {
		token = Token(versions[0])
	}
	l.recordHeld(token, versions[0], sentAt+leaseTTL-clockMargin)
	return nil
}

// recordHeld records that this process holds the lease.
func (l *Lease) recordHeld(token Token, version uint64, expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.token != token {
		eventTaken.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(token)).Send()
		l.notifyChanged()
	}
	l.token, l.version, l.expiry = token, version, expiry
}

// recordNotHeld records that another process holds the lease, or none.
func (l *Lease) recordNotHeld(holder string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.otherHolder = holder
	if l.token == 0 {
		return
	}
	eventLost.Log(l.config.Log).Str("key", l.config.Key).Uint64("token", uint64(l.token)).Str("holder", holder).Send()
	l.token = 0
	l.notifyChanged()
}

// notifyChanged tells of a change. The caller holds the lock.
func (l *Lease) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// checkRow reads the row and takes the lease when it is free.
func (l *Lease) checkRow(ctx context.Context) error {
	current, err := l.config.Table.Get(ctx, l.config.Key)
	if errors.Is(err, provider.ErrNotFound) {
		l.recordNotHeld("")
		return l.acquire(ctx, 0)
	}
	if err != nil {
		return err
	}
	var value row
	if err := json.Unmarshal(current.Value, &value); err != nil {
		return eris.Wrap(err, "decode lease")
	}
	if value.Holder == l.config.Holder && value.Incarnation == l.incarnation {
		return l.renewOwn(ctx, value, current.Version)
	}
	l.recordNotHeld(value.Holder)
	if current.Version != l.seenVersion {
		l.seenVersion, l.seenSince = current.Version, l.config.Clock()
		return nil
	}
	if l.config.Clock()-l.seenSince < leaseTTL+clockMargin {
		return nil
	}
	return l.acquire(ctx, current.Version)
}

// renewOwn takes up a write of this process whose answer was lost, and renews it:
// only a write that was sent now tells until when the lease holds.
func (l *Lease) renewOwn(ctx context.Context, value row, version uint64) error {
	if value.Token == 0 {
		value.Token = Token(version)
	}
	return l.write(ctx, value, version)
}

// acquire tries to take the lease. That another was faster is no error.
func (l *Lease) acquire(ctx context.Context, version uint64) error {
	err := l.write(ctx, row{Holder: l.config.Holder, Incarnation: l.incarnation}, version)
	if errors.Is(err, provider.ErrConflict) {
		return nil
	}
	return err
}

// Release gives the lease up for good at a planned stop.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	held, version := l.token != 0, l.version
	l.released = true
	l.mu.Unlock()
	l.recordNotHeld("")
	if !held {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := l.config.Table.Commit(ctx, provider.Write{Key: l.config.Key, IfVersion: version, Delete: true})
	if err != nil {
		eventReleaseFailed.Log(l.config.Log).Str("key", l.config.Key).Err(err).Send()
	}
}
