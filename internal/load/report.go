package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// WriteTable prints one line per phase and kind of request, followed by the
// recoveries and the verdict.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "phase\tkind\trank\tdone/s\tdone\tnot run\tunknown\tfailed\tcut\tnot sent\tp50\tp95\tp99\tmax\n")
	for _, p := range r.Phases {
		for _, name := range slices.Sorted(maps.Keys(p.Kinds)) {
			s := p.Kinds[name]
			fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\n", p.Phase.Name, name, s.Rank,
				float64(s.DoneInWindow)/p.Phase.Measured().Seconds(),
				s.Outcomes[OutcomeDone], s.Outcomes[OutcomeNotRun], s.Outcomes[OutcomeUnknown], s.Outcomes[OutcomeFailed],
				s.Outcomes[OutcomeAbandoned], s.Outcomes[OutcomeNotSent],
				formatMicros(s.P50), formatMicros(s.P95), formatMicros(s.P99), formatMicros(s.Max))
		}
	}
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s: slots %.1f%% busy, reads by replicas %.1f%%, connections opened %.0f, unknown outcomes %.0f\n", p.Phase.Name, 100*p.Utilization,
			100*p.ReplicaShare(), p.OpenedConnections(), p.Metrics["rattan_home_unknown_outcomes_total"])
	}
	for _, p := range r.Phases {
		for _, x := range p.Recoveries {
			fmt.Fprintf(w, "%s: %s in %s, %s (%s): longest gap %s, before the fault %s, ongoing at the end %t, outcomes %v\n", p.Phase.Name,
				x.Fault, x.Fault.Group, x.Kind, x.Rank, x.Gap.Round(time.Millisecond), x.GapBefore.Round(time.Millisecond), x.Ongoing, x.Outcomes)
		}
	}
	v := r.Verdict
	fmt.Fprintf(w, "\norders %d: lost %d, duplicated %d, unexpected %d, unresolved %d; reads of own writes %d: stale %d\n",
		v.Orders, v.Lost, v.Duplicated, v.Unexpected, v.Unresolved, v.Reads, v.Stale)
	return w.Flush()
}

// ReplicaShare returns the fraction of reads that replicas served.
func (p *PhaseResult) ReplicaShare() float64 {
	replica := p.Metrics[`rattan_home_reads_total{server="replica"}`]
	primary := p.Metrics[`rattan_home_reads_total{server="primary"}`]
	if replica+primary == 0 {
		return 0
	}
	return replica / (replica + primary)
}

// Phase returns the result of the named phase, or nil.
func (r *Report) Phase(name string) *PhaseResult {
	for _, p := range r.Phases {
		if p.Phase.Name == name {
			return p
		}
	}
	return nil
}

// Rate returns the number of requests of a kind completed per second.
func (p *PhaseResult) Rate(kind string) float64 {
	s := p.Kinds[kind]
	if s == nil {
		return 0
	}
	return float64(s.DoneInWindow) / p.Phase.Measured().Seconds()
}

// DoneCount returns the number of successful requests of all kinds.
func (p *PhaseResult) DoneCount() int {
	n := 0
	for _, s := range p.Kinds {
		n += s.Outcomes[OutcomeDone]
	}
	return n
}

// OpenedConnections returns the number of connections to backend servers that
// were opened after the warm-up.
func (p *PhaseResult) OpenedConnections() float64 { return p.Metrics["rattan_pool_opens_total"] }

// Compare prints the latencies and rates of two reports side by side.
func Compare(out io.Writer, a, b *Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "phase\tkind\tdone A\tdone B\tp50 A\tp50 B\tp99 A\tp99 B\tp99 B/A\n")
	for i, pa := range a.Phases {
		if i >= len(b.Phases) {
			break
		}
		pb := b.Phases[i]
		for _, name := range slices.Sorted(maps.Keys(pa.Kinds)) {
			sa, sb := pa.Kinds[name], pb.Kinds[name]
			if sb == nil {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\t%s\t%s\t%.2f\n", pa.Phase.Name, name,
				sa.Outcomes[OutcomeDone], sb.Outcomes[OutcomeDone], formatMicros(sa.P50), formatMicros(sb.P50),
				formatMicros(sa.P99), formatMicros(sb.P99), float64(sb.P99)/float64(max(sa.P99, 1)))
		}
	}
	return w.Flush()
}

func formatMicros(us int64) string {
	return (time.Duration(us) * time.Microsecond).Round(10 * time.Microsecond).String()
}
