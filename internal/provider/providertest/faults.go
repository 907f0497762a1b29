package providertest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// ErrUnavailable is what a call returns while the service is down.
var ErrUnavailable = errors.New("platform unavailable")

// ErrResponseLost is what a call returns that took effect but whose answer was lost.
var ErrResponseLost = errors.New("answer lost")

// Faults makes a service fail. The zero value makes nothing fail. All methods
// may be called while the service is in use.
type Faults struct {
	mu               sync.Mutex
	down             bool
	delay            time.Duration
	loseResponses    int
	beforeWrite      []func()
	random           *rand.Rand
	responseLossRate float64
	errorRate        float64
	calls            map[string]int
}

// SetDown makes every call fail without effect until it is reset.
func (f *Faults) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// SetDelay makes every call take d, half of it before it takes effect.
func (f *Faults) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// LoseResponses makes the next n writing calls take effect and return ErrAnswerLost.
func (f *Faults) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponses = n
}

// BeforeNextWrite runs action once, just before the next writing call takes
// effect, as another client would that wins a race.
func (f *Faults) BeforeNextWrite(action func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeWrite = append(f.beforeWrite, action)
}

// SetRandomFaults makes calls fail without effect at rate down and writing calls lose
// their answer at rate loss, drawn from r.
func (f *Faults) SetRandomFaults(r *rand.Rand, errorRate, responseLossRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random, f.errorRate, f.responseLossRate = r, errorRate, responseLossRate
}

// CallCount returns the number of calls of a kind: "get", "list", "commit", "put" or "vms".
func (f *Faults) CallCount(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[method]
}

// beginCall counts the call and waits the first half of the delay.
func (f *Faults) beginCall(ctx context.Context, method string) error {
	f.mu.Lock()
	if f.calls == nil {
		f.calls = map[string]int{}
	}
	f.calls[method]++
	half := f.delay / 2
	f.mu.Unlock()
	if !delay.Sleep(ctx, half) {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.occurs(f.errorRate) {
		return ErrUnavailable
	}
	return nil
}

// endCall waits the second half of the delay. A service that went down meanwhile,
// or a lost answer of a write, hides what happened.
func (f *Faults) endCall(ctx context.Context, write bool) error {
	f.mu.Lock()
	half := f.delay / 2
	f.mu.Unlock()
	if !delay.Sleep(ctx, half) {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return ErrUnavailable
	}
	if write && f.loseResponses > 0 {
		f.loseResponses--
		return ErrResponseLost
	}
	if write && f.occurs(f.responseLossRate) {
		return ErrResponseLost
	}
	return nil
}

func (f *Faults) runBeforeWrite() {
	f.mu.Lock()
	var action func()
	if len(f.beforeWrite) > 0 {
		action, f.beforeWrite = f.beforeWrite[0], f.beforeWrite[1:]
	}
	f.mu.Unlock()
	if action != nil {
		action()
	}
}

func (f *Faults) occurs(rate float64) bool {
	return f.random != nil && rate > 0 && f.random.Float64() < rate
}
