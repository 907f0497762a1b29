package providertest

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rattancove/rattancove/internal/delay"
)

// ErrUnavailable is returned by calls while the service is down.
var ErrUnavailable = errors.New("platform unavailable")

// ErrResponseLost is returned by a call that took effect but whose response was lost.
var ErrResponseLost = errors.New("response lost")

// Faults injects faults into a service. The zero value injects none. All methods
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

// SetDown makes every call fail without effect until SetDown(false) is called.
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

// LoseResponses makes the next n write calls take effect and return ErrResponseLost.
func (f *Faults) LoseResponses(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseResponses = n
}

// BeforeNextWrite runs action once, just before the next write call takes effect,
// to simulate another client that wins a race.
func (f *Faults) BeforeNextWrite(action func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforeWrite = append(f.beforeWrite, action)
}

// SetRandomFaults makes calls fail without effect with probability errorRate, and
// write calls lose their response with probability responseLossRate, drawn from r.
func (f *Faults) SetRandomFaults(r *rand.Rand, errorRate, responseLossRate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random, f.errorRate, f.responseLossRate = r, errorRate, responseLossRate
}

// CallCount returns the number of calls of a method: "get", "list", "commit", "put" or "vms".
func (f *Faults) CallCount(method string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[method]
}

// beginCall counts the call, waits for the first half of the delay and returns the
// injected error, if any.
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

// endCall waits for the second half of the delay. If the service has gone down in
// the meantime, or the response to a write is lost, it returns an error although the
// call took effect.
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
