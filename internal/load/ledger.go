package load

import "sync"

// ledger remembers what was promised to callers, to be held against the data
// after the run.
type ledger struct {
	mu      sync.Mutex
	orders  map[string]Outcome
	stale   int
	checked int
}

func newLedger() *ledger { return &ledger{orders: map[string]Outcome{}} }

func (l *ledger) order(id string, o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders[id] = o
}

func (l *ledger) read(stale bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checked++
	if stale {
		l.stale++
	}
}

// Verdict counts broken promises. Every field but the totals must be zero.
type Verdict struct {
	Orders int `json:"orders"`
	// Lost counts orders that were acknowledged and are not there.
	Lost int `json:"lost"`
	// Doubled counts orders that are there more than once.
	Doubled int `json:"doubled"`
	// Ghosts counts orders that were reported not run and are there.
	Ghosts int `json:"ghosts"`
	// Unresolved counts orders whose callers were left with an unknown outcome.
	Unresolved int `json:"unresolved"`
	Reads      int `json:"reads_of_own_writes"`
	Stale      int `json:"stale"`
}

// judge compares the promises with the number of rows found for each order id.
func (l *ledger) judge(found map[string]int) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := Verdict{Orders: len(l.orders), Reads: l.checked, Stale: l.stale}
	for id, outcome := range l.orders {
		n := found[id]
		switch {
		case n > 1:
			v.Doubled++
		case n == 0 && outcome == OutcomeDone:
			v.Lost++
		case n == 1 && outcome == OutcomeNotRun:
			v.Ghosts++
		}
		if outcome == OutcomeUnknown || outcome == OutcomeFailed {
			v.Unresolved++
		}
	}
	return v
}
