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

// ErrAnswerLost is what a call returns that took effect but whose answer was lost.
var ErrAnswerLost = errors.New("answer lost")

// Faults makes a service fail. The zero value makes nothing fail. All methods
// may be called while the service is in use.
type Faults struct {
	mu          sync.Mutex
	down        bool
	delay       time.Duration
	loseAnswers int
	before      []func()
	random      *rand.Rand
	lossRate    float64
	downRate    float64
	calls       map[string]int
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

// LoseAnswers makes the next n writing calls take effect and return ErrAnswerLost.
func (f *Faults) LoseAnswers(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseAnswers = n
}

// BeforeNextWrite runs action once, just before the next writing call takes
// effect, as another client would that wins a race.
func (f *Faults) BeforeNextWrite(action func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.before = append(f.before, action)
}

// SetRandom makes calls fail without effect at rate down and writing calls lose
// their answer at rate loss, drawn from r.
func (f *Faults) SetRandom(r *rand.Rand, down, loss float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.random, f.downRate, f.lossRate = r, down, loss
}

// Calls returns the number of calls of a kind: "get", "list", "commit", "put" or "vms".
func (f *Faults) Calls(kind string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[kind]
}

// enter counts the call and waits the first half of the delay.
func (f *Faults) enter(ctx context.Context, kind string) error {
	f.mu.Lock()
	if f.calls == nil {
		f.calls = map[string]int{}
	}
	f.calls[kind]++
	half := f.delay / 2
	f.mu.Unlock()
	if !delay.Sleep(ctx, half) {
		return ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down || f.draw(f.downRate) {
		return ErrUnavailable
	}
	return nil
}

// leave waits the second half of the delay. A service that went down meanwhile,
// or a lost answer of a write, hides what happened.
func (f *Faults) leave(ctx context.Context, write bool) error {
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
	if write && f.loseAnswers > 0 {
		f.loseAnswers--
		return ErrAnswerLost
	}
	if write && f.draw(f.lossRate) {
		return ErrAnswerLost
	}
	return nil
}

func (f *Faults) runBefore() {
	f.mu.Lock()
	var action func()
	if len(f.before) > 0 {
		action, f.before = f.before[0], f.before[1:]
	}
	f.mu.Unlock()
	if action != nil {
		action()
	}
}

func (f *Faults) draw(rate float64) bool {
	return f.random != nil && rate > 0 && f.random.Float64() < rate
}
