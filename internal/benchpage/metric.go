package benchpage

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/load"
)

// Targets of the standard benchmark set.
const (
	targetReplicaShare          = 0.95
	targetReplicaShareAtHighLag = 0.80
	targetUrgentP99Ratio        = 1.25
	targetUtilization           = 0.95
	targetGoodput               = 0.95
	// targetFloorShare is the fraction of its floor that a rank must reach.
	targetFloorShare      = 0.9
	targetConnectionOpens = 1.0
	targetPrimaryGap      = 12 * time.Second
	statementsPerOpenRate = 1000
	microsPerSecond       = 1e6
)

// Names of scenario phases, kinds and metrics that the page refers to.
const (
	phaseReads          = "reads"
	phaseReadsLagging   = "reads_lagging"
	phaseEven           = "even"
	phaseUneven         = "uneven"
	phaseUrgentAlone    = "urgent_alone"
	phaseBackground     = "flood_background"
	phaseBackground3x   = "flood_background_3x"
	phaseLongStatements = "flood_background_long"
	phaseUrgent         = "flood_urgent"
	phaseUrgent3x       = "flood_urgent_3x"
	phasePrimaryLost    = "primary_lost"
	phaseHomeLost       = "home_lost"
	kindFloodPrefix     = "flood_"
	metricCPU           = "process_cpu_seconds_total"
)

// measurement is a measured value with its formatted text.
type measurement struct {
	value float64
	text  string
}

// metric is a row of a deployment's table of targets.
type metric struct {
	name string
	// target is the formatted bound; empty for a metric without a target.
	target      string
	meetsTarget func(value float64) bool
	// compute returns the measurement, or false if the report lacks the data.
	compute func(*load.Report) (measurement, bool)
}

func atLeast(bound float64) func(float64) bool { return func(v float64) bool { return v >= bound } }
func atMost(bound float64) func(float64) bool  { return func(v float64) bool { return v <= bound } }
func below(bound float64) func(float64) bool   { return func(v float64) bool { return v < bound } }

// metrics returns the rows of a deployment's table of targets.
func metrics(d *Deployment) []metric {
	var rows []metric
	if d.Home.Phase(phaseReads) != nil {
		rows = append(rows,
			replicaShare("reads up to 1 s old or of own writes, by replicas, 50 ms lag", phaseReads, targetReplicaShare),
			replicaShare("reads up to 1 s old or of own writes, by replicas, 500 ms lag", phaseReadsLagging, targetReplicaShareAtHighLag))
	}
	rows = append(rows, staleReads(),
		urgentP99Ratio("urgent p99, 10x flood of the least urgent against alone", phaseBackground, targetUrgentP99Ratio),
		slotUtilization("slots busy in the 10x flood of the least urgent", phaseBackground, targetUtilization))
	if d.Home.Phase(phaseBackground3x) != nil {
		rows = append(rows,
			urgentP99Ratio("urgent p99, 3x flood of the least urgent against alone", phaseBackground3x, targetUrgentP99Ratio),
			slotUtilization("slots busy in the 3x flood of the least urgent", phaseBackground3x, targetUtilization))
	}
	rows = append(rows,
		urgentP99Ratio("urgent p99, flood of ten times longer statements against alone", phaseLongStatements, 0),
		slotUtilization("slots busy in the flood of ten times longer statements", phaseLongStatements, 0))
	rows = append(rows, urgentFlood(d, "10x", phaseUrgent)...)
	if d.Home.Phase(phaseUrgent3x) != nil {
		rows = append(rows, urgentFlood(d, "3x", phaseUrgent3x)...)
	}
	return append(rows,
		skewedP99Ratio(),
		connectionOpens("connections opened per 1,000 statements done, steady work", []string{phaseEven}),
		connectionOpens("connections opened per 1,000 statements done, all phases without faults", nil),
		cpuTime(),
		longestGap("longest time without an answer to a write after the primary was lost", phasePrimaryLost, targetPrimaryGap),
		longestGap("longest time without an answer to a write after the home proxy was lost", phaseHomeLost, 0),
		orderViolations(), unresolvedOrders())
}

func urgentFlood(d *Deployment, size, phase string) []metric {
	var rows []metric
	for _, rank := range []cluster.Rank{cluster.RankNormal, cluster.RankBackground} {
		floor := d.Floors[rank]
		bound := targetFloorShare * floor * primaryCapacity(d.Home)
		kind := kindFloodPrefix + rank.String()
		rows = append(rows, metric{
			name:   fmt.Sprintf("%s in a %s flood of the most urgent, floor %.0f%% of %.0f/s", rank, size, 100*floor, primaryCapacity(d.Home)),
			target: fmt.Sprintf(">= %.1f/s", bound), meetsTarget: atLeast(bound),
			compute: forPhase(phase, func(p *load.PhaseResult) measurement {
				rate := p.Rate(kind)
				return measurement{rate, fmt.Sprintf("%.1f/s", rate)}
			}),
		})
	}
	return append(rows, metric{
		name:   fmt.Sprintf("goodput of the primaries in the %s flood", size),
		target: percentAtLeast(targetGoodput), meetsTarget: atLeast(targetGoodput),
		compute: func(r *load.Report) (measurement, bool) {
			p := r.Phase(phase)
			if p == nil {
				return measurement{}, false
			}
			rate := 0.0
			for kind := range p.Kinds {
				rate += p.Rate(kind)
			}
			share := rate / primaryCapacity(r)
			return measurement{share, fmt.Sprintf("%.1f%% (%.0f/s of %.0f/s)", 100*share, rate, primaryCapacity(r))}, true
		},
	})
}

func forPhase(name string, compute func(*load.PhaseResult) measurement) func(*load.Report) (measurement, bool) {
	return func(r *load.Report) (measurement, bool) {
		p := r.Phase(name)
		if p == nil {
			return measurement{}, false
		}
		return compute(p), true
	}
}

func percentAtLeast(bound float64) string { return fmt.Sprintf(">= %.0f%%", 100*bound) }

func percentMeasurement(v float64) measurement { return measurement{v, fmt.Sprintf("%.1f%%", 100*v)} }

func replicaShare(name, phase string, bound float64) metric {
	return metric{
		name: name, target: percentAtLeast(bound), meetsTarget: atLeast(bound),
		compute: forPhase(phase, func(p *load.PhaseResult) measurement { return percentMeasurement(p.ReplicaShare()) }),
	}
}

func staleReads() metric {
	return metric{
		name: "stale answers to reads of own writes", target: "0", meetsTarget: atMost(0),
		compute: func(r *load.Report) (measurement, bool) {
			return measurement{float64(r.Verdict.Stale), fmt.Sprintf("%d of %d", r.Verdict.Stale, r.Verdict.Reads)}, true
		},
	}
}

// slotUtilization has no target when bound is 0.
func slotUtilization(name, phase string, bound float64) metric {
	m := metric{name: name, compute: forPhase(phase, func(p *load.PhaseResult) measurement { return percentMeasurement(p.Utilization) })}
	if bound > 0 {
		m.target, m.meetsTarget = percentAtLeast(bound), atLeast(bound)
	}
	return m
}

// urgentP99Ratio compares the p99 of the base rate's urgent requests in a phase
// with that in the phase without other load. It has no target when bound is 0.
func urgentP99Ratio(name, phase string, bound float64) metric {
	m := metric{name: name, compute: func(r *load.Report) (measurement, bool) { return p99Ratio(r, phaseUrgentAlone, phase) }}
	if bound > 0 {
		m.target, m.meetsTarget = fmt.Sprintf("<= %.2fx", bound), atMost(bound)
	}
	return m
}

func skewedP99Ratio() metric {
	return metric{
		name: "urgent p99, most callers at one proxy against spread evenly",
		compute: func(r *load.Report) (measurement, bool) {
			return p99Ratio(r, phaseEven, phaseUneven)
		},
	}
}

// p99Ratio returns the p99 of urgent requests in a phase relative to that in the
// base phase.
func p99Ratio(r *load.Report, base, phase string) (measurement, bool) {
	a, b := urgentP99(r.Phase(base)), urgentP99(r.Phase(phase))
	if a == 0 || b == 0 {
		return measurement{}, false
	}
	value := float64(b) / float64(a)
	return measurement{value, fmt.Sprintf("%.2fx (%s / %s)", value, formatLatency(b), formatLatency(a))}, true
}

// urgentP99 returns the p99 of the base rate's urgent requests in µs, or 0 if
// there were none.
func urgentP99(p *load.PhaseResult) int64 {
	if p == nil || p.Ranks[cluster.RankUrgent.String()] == nil {
		return 0
	}
	return p.Ranks[cluster.RankUrgent.String()].P99
}

// formatLatency formats a latency given in µs; 0 means that there is none.
func formatLatency(us int64) string {
	if us == 0 {
		return "none"
	}
	return formatDuration(time.Duration(us) * time.Microsecond)
}

func formatDuration(d time.Duration) string {
	if d < time.Second {
		return d.Round(100 * time.Microsecond).String()
	}
	return fmt.Sprintf("%.2f s", d.Seconds())
}

// connectionOpens covers the named phases, or with nil all phases without faults.
func connectionOpens(name string, phases []string) metric {
	return metric{
		name: name, target: fmt.Sprintf("< %.0f", targetConnectionOpens), meetsTarget: below(targetConnectionOpens),
		compute: func(r *load.Report) (measurement, bool) {
			opened, done := 0.0, 0
			for _, p := range r.Phases {
				if phases == nil && len(p.Phase.Faults) == 0 || slices.Contains(phases, p.Phase.Name) {
					opened += p.OpenedConnections()
					done += p.DoneCount()
				}
			}
			if done == 0 {
				return measurement{}, false
			}
			rate := opened * statementsPerOpenRate / float64(done)
			return measurement{rate, fmt.Sprintf("%.2f (%.0f for %d)", rate, opened, done)}, true
		},
	}
}

func cpuTime() metric {
	return metric{
		name: "processor time of all proxies per request in the 10x flood of the least urgent",
		compute: forPhase(phaseBackground, func(p *load.PhaseResult) measurement {
			sent := 0
			for _, s := range p.Kinds {
				for outcome, n := range s.Outcomes {
					if outcome != load.OutcomeNotSent {
						sent += n
					}
				}
			}
			us := p.Metrics[metricCPU] * microsPerSecond / float64(max(sent, 1))
			return measurement{us, fmt.Sprintf("%.0f µs", us)}
		}),
	}
}

// longestGap returns the longest gap among the kinds of request of the affected
// group. It has no target when bound is 0.
func longestGap(name, phase string, bound time.Duration) metric {
	m := metric{name: name, compute: func(r *load.Report) (measurement, bool) {
		p := r.Phase(phase)
		if p == nil || len(p.Recoveries) == 0 {
			return measurement{}, false
		}
		worst := slices.MaxFunc(p.Recoveries, func(a, b load.Recovery) int { return cmp.Compare(a.Gap, b.Gap) })
		seconds := worst.Gap.Seconds()
		if worst.Ongoing && bound > 0 {
			// A gap that had not ended by the end of the phase must miss the target.
			seconds = max(seconds, 2*bound.Seconds())
		}
		return measurement{seconds, formatGap(worst)}, true
	}}
	if bound > 0 {
		m.target, m.meetsTarget = fmt.Sprintf("<= %.0f s", bound.Seconds()), atMost(bound.Seconds())
	}
	return m
}

func formatGap(r load.Recovery) string {
	if r.Ongoing {
		return "over " + formatDuration(r.Gap) + ", not ended with the phase"
	}
	return formatDuration(r.Gap)
}

func orderViolations() metric {
	return metric{
		name: "orders lost, doubled, run though \"not run\"", target: "0", meetsTarget: atMost(0),
		compute: func(r *load.Report) (measurement, bool) {
			v := r.Verdict
			return measurement{
				float64(v.Lost + v.Duplicated + v.Unexpected),
				fmt.Sprintf("%d, %d, %d of %d", v.Lost, v.Duplicated, v.Unexpected, v.Orders),
			}, true
		},
	}
}

func unresolvedOrders() metric {
	return metric{
		name: "orders whose callers were left without an outcome, faults included",
		compute: func(r *load.Report) (measurement, bool) {
			return measurement{float64(r.Verdict.Unresolved), fmt.Sprintf("%d of %d", r.Verdict.Unresolved, r.Verdict.Orders)}, true
		},
	}
}
