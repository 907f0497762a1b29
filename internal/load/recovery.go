package load

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Recovery describes how a fault affected one kind of request in a database
// group. A gap is a period without a successful response.
type Recovery struct {
	Fault Fault  `json:"fault"`
	Kind  string `json:"kind"`
	Rank  string `json:"rank"`
	// GapBefore is the longest gap before the fault.
	GapBefore time.Duration `json:"usual"`
	// Gap is the longest gap from the fault on.
	Gap time.Duration `json:"gap"`
	// Ongoing is true if the gap had not ended by the end of the phase.
	Ongoing bool `json:"open"`
	// Outcomes counts the requests that were due after the fault.
	Outcomes map[Outcome]int `json:"outcomes"`
}

// completion records one finished request. Times are relative to the start of
// the phase.
type completion struct {
	kind    Kind
	group   string
	arrival time.Duration
	end     time.Duration
	outcome Outcome
}

// recoveries evaluates every fault that names a database group.
func recoveries(phase Phase, completions []completion) []Recovery {
	slices.SortStableFunc(completions, func(a, b completion) int { return cmp.Compare(a.end, b.end) })
	var out []Recovery
	for _, f := range phase.Faults {
		if f.Group == "" {
			continue
		}
		for _, kind := range kindsOf(completions, f.Group) {
			out = append(out, recovery(f, kind, phase.Duration, completions))
		}
	}
	return out
}

// kindsOf returns the kinds of request sent to a group, most urgent first.
func kindsOf(completions []completion, group string) []Kind {
	var kinds []Kind
	for _, c := range completions {
		if c.group == group && !slices.Contains(kinds, c.kind) {
			kinds = append(kinds, c.kind)
		}
	}
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Name, b.Name))
	})
	return kinds
}

// recovery expects completions in the order of their end times.
func recovery(f Fault, kind Kind, duration time.Duration, completions []completion) Recovery {
	r := Recovery{Fault: f, Kind: kind.Name, Rank: kind.Rank.String(), Outcomes: map[Outcome]int{}}
	lastBefore, lastAfter := time.Duration(0), f.At
	for _, c := range completions {
		if c.group != f.Group || c.kind != kind {
			continue
		}
		if c.arrival >= f.At {
			r.Outcomes[c.outcome]++
		}
		switch {
		case c.outcome != OutcomeDone || c.end > duration:
		case c.end < f.At:
			r.GapBefore, lastBefore = max(r.GapBefore, c.end-lastBefore), c.end
		default:
			r.Gap, lastAfter = max(r.Gap, c.end-lastAfter), c.end
		}
	}
	r.GapBefore = max(r.GapBefore, f.At-lastBefore)
	if rest := duration - lastAfter; rest > r.Gap {
		r.Gap, r.Ongoing = rest, true
	}
	return r
}

// injectFaults injects the faults of a phase at their times and clears those
// with an end time. It returns the first error.
func injectFaults(ctx context.Context, targets FaultTargets, start time.Time, faults []Fault) error {
	type step struct {
		at    time.Duration
		apply func(context.Context, Fault) error
		fault Fault
	}
	var steps []step
	for _, f := range faults {
		steps = append(steps, step{f.At, targets.inject, f})
		if f.Until > 0 {
			steps = append(steps, step{f.Until, targets.undo, f})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	for _, s := range steps {
		if err := sleepUntil(ctx, start.Add(s.at)); err != nil {
			return err
		}
		if err := s.apply(ctx, s.fault); err != nil {
			return eris.Wrapf(err, "fault %s", s.fault)
		}
	}
	return nil
}
