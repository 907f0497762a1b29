package load

import "sync"

// history records the outcomes that callers observed, to be checked against the
// stored data after the run.
type history struct {
	mu         sync.Mutex
	orders     map[string]Outcome
	staleReads int
	reads      int
}

func newHistory() *history { return &history{orders: map[string]Outcome{}} }

func (l *history) recordOrder(id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[id] = o
}

func (l *history) recordRead(stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if stale {
		l.staleReads++
	}
}

// Verdict is the result of the consistency check. Lost, Duplicated, Unexpected
// and Stale must be zero.
type Verdict struct {
	Orders int `json:"orders"`
	// Lost counts orders that were acknowledged and are not stored.
	Lost int `json:"lost"`
	// Duplicated counts orders that are stored more than once.
	Duplicated int `json:"doubled"`
	// Unexpected counts orders that were reported as not run and are stored.
	Unexpected int `json:"ghosts"`
	// Unresolved counts orders whose callers did not learn the outcome.
	Unresolved int `json:"unresolved"`
	Reads      int `json:"reads_of_own_writes"`
	Stale      int `json:"stale"`
}

// check compares the recorded outcomes with the number of rows stored for each
// order id.
func (l *history) check(counts map[string]int) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Orders: len(l.orders), Reads: l.reads, Stale: l.staleReads}
	for id, outcome := range l.orders {
		n := counts[id]
		switch {
		case n > 1:
			v.Duplicated++
		case n == 0 && outcome == OutcomeDone:
			v.Lost++
		case n == 1 && outcome == OutcomeNotRun:
			v.Unexpected++
		}
		if outcome == OutcomeUnknown || outcome == OutcomeFailed {
			v.Unresolved++
		}
	}
	return v
}
