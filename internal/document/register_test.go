package document

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/rattancove/rattancove/internal/provider"
)

const defaultSeeds = 20

// registerInput is a read, or a write that is conditional on a base revision.
type registerInput struct {
	read bool
	base uint64
	id   string
}

// registerOutput is the result that the client saw.
type registerOutput struct {
	revision uint64
	id       string
	conflict bool
	unknown  bool
}

// registerState is the pointer row: its revision and the id of the change that wrote
// it.
type registerState struct {
	revision uint64
	id       string
}

var registerModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(registerState), input.(registerInput), output.(registerOutput)
		written := registerState{revision: in.base + 1, id: in.id}
		switch {
		case in.read && out.unknown:
			return []any{s}
		case in.read:
			return states(s.revision == out.revision && s.id == out.id, s)
		case out.unknown && s.revision == in.base:
			return []any{s, written}
		case out.unknown:
			return []any{s}
		case out.conflict:
			return states(s.revision != in.base, s)
		default:
			return states(s.revision == in.base && out.revision == written.revision, written)
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func states(ok bool, s registerState) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// TestDocumentSeededRegister runs concurrent operators against a table service that
// fails calls and loses answers, and checks that the pointer row is linearizable.
func TestDocumentSeededRegister(t *testing.T) {
	seeds := defaultSeeds
	if n, err := strconv.Atoi(os.Getenv("RATTAN_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceOperators(t, uint64(seed)) })
		})
	}
}

func raceOperators(t *testing.T, seed uint64) {
	const operators, steps = 4, 6
	f := newFixture()
	f.table.SetDelay(20 * time.Millisecond)
	f.table.SetRandomFaults(rand.New(rand.NewPCG(seed, 1)), 0.1, 0.2)
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		history []porcupine.Operation
	)
	for operator := range operators {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)+2))
			for step := range steps {
				time.Sleep(time.Duration(random.Int64N(int64(50 * time.Millisecond))))
				op := f.step(t, random, operator, step)
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	f.table.SetRandomFaults(nil, 0, 0)
	if r, _ := f.History(t.Context(), env); len(r) == 0 {
		t.Errorf("seed %d: no change was accepted", seed)
	}
	if !porcupine.CheckOperations(registerModel.ToModel(), history) {
		t.Errorf("seed %d: the pointer row is not linearizable", seed)
	}
}

// step reads the pointer row and, in two of three cases, publishes a change that is
// conditional on the revision it read.
func (f fixture) step(t *testing.T, random *rand.Rand, operator, step int) porcupine.Operation {
	started := time.Now().UnixNano()
	current, err := f.Current(t.Context(), env)
	read := err == nil || errors.Is(err, provider.ErrNotFound)
	if !read || random.IntN(3) == 0 {
		return porcupine.Operation{
			ClientId: operator, Input: registerInput{read: true}, Call: started, Return: time.Now().UnixNano(),
			Output: registerOutput{revision: current.Revision, id: current.ChangeID, unknown: !read},
		}
	}
	c := change(fmt.Sprintf("o%d-%d", operator, step))
	c.IfRevision = &current.Revision
	started = time.Now().UnixNano()
	r, err := f.Publish(t.Context(), c, variant(t, operator*100+step))
	var conflict *ConflictError
	out := registerOutput{revision: r.Revision, id: r.ChangeID, conflict: errors.As(err, &conflict)}
	out.unknown = err != nil && !out.conflict
	var window *WindowError
	if errors.As(err, &window) {
		t.Errorf("unexpected error %v", err)
	}
	return porcupine.Operation{
		ClientId: operator, Input: registerInput{base: current.Revision, id: c.ID},
		Call: started, Output: out, Return: time.Now().UnixNano(),
	}
}
