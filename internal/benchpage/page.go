package benchpage

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rattancove/rattancove/internal/load"
)

// Options configures a page.
type Options struct {
	// Command is the command that runs the standard set and writes the page.
	Command string
	// ReportsPath is the path from the page to the directory of reports and plots.
	ReportsPath string
	// Notes is Markdown that is appended to the page.
	Notes string
}

// Verdicts on a metric.
const (
	verdictMet      = "met"
	verdictMissed   = "**missed**"
	verdictNoTarget = "stated"
	verdictNotRun   = "not run"
)

// Write writes the page in Markdown.
func (s *Set) Write(out io.Writer, options Options) error {
	p := &page{options: options}
	p.writeHeader(s)
	for _, d := range s.Deployments {
		p.writeTargets(d)
	}
	p.writeReservedSlots(s.Deployments)
	p.writeFaults(s.Deployments)
	for _, d := range s.Deployments {
		p.writePhases(d)
	}
	if options.Notes != "" {
		p.writeLine("\n%s", strings.TrimSpace(options.Notes))
	}
	_, err := io.WriteString(out, p.text.String())
	return eris.Wrap(err, "write page")
}

type page struct {
	options Options
	text    strings.Builder
}

func (p *page) writeLine(format string, args ...any) { fmt.Fprintf(&p.text, format+"\n", args...) }

func (p *page) tableHeader(columns ...string) {
	p.writeLine("")
	p.row(columns...)
	p.row(slices.Repeat([]string{"---"}, len(columns))...)
}

func (p *page) row(cells ...string) { p.writeLine("| %s |", strings.Join(cells, " | ")) }

func (p *page) writeHeader(s *Set) {
	first := s.first()
	took := time.Duration(0)
	for _, r := range s.reports() {
		took += r.Elapsed
	}
	p.writeLine("# Measurements\n")
	p.writeLine("Written by `%s`; do not edit. Explanations are in [bench-notes.md](bench-notes.md), which follows the figures.", p.options.Command)
	p.tableHeader("", "")
	p.row("command", "`"+p.options.Command+"`")
	p.row("seed", fmt.Sprint(first.Seed))
	p.row("commit", cmp.Or(first.Commit, "unknown"))
	p.row("machine", first.Machine)
	p.row("Go", first.GoVersion)
	p.row("started", first.Started.Format(time.RFC3339))
	p.row("time of all runs", fmt.Sprintf("%.0f s, starts and stops of the processes not counted", took.Seconds()))
	p.row("processes", fmt.Sprintf("%d proxies; load generator, stand-ins, wardens and proxies share the machine", first.Proxies))
	p.writeSummary(s)
}

// writeSummary prints how many targets the home policy meets, and which it
// misses.
func (p *page) writeSummary(s *Set) {
	met, missed := 0, []string{}
	for _, d := range s.Deployments {
		for _, m := range metrics(d) {
			switch _, verdict := m.evaluate(d.Home); verdict {
			case verdictMet:
				met++
			case verdictMissed:
				missed = append(missed, fmt.Sprintf("%s: %s", d.Title, m.name))
			}
		}
	}
	p.writeLine("\nThe home meets %d of %d targets.", met, met+len(missed))
	if len(missed) > 0 {
		p.writeLine("Missed:\n\n- %s", strings.Join(missed, "\n- "))
	}
}

// evaluate returns the formatted measurement and the verdict on its target.
func (m metric) evaluate(r *load.Report) (text, verdict string) {
	value, ok := m.compute(r)
	switch {
	case !ok:
		return "", verdictNotRun
	case m.meetsTarget == nil:
		return value.text, verdictNoTarget
	case m.meetsTarget(value.value):
		return value.text, verdictMet
	default:
		return value.text, verdictMissed
	}
}

func (p *page) writeTargets(d *Deployment) {
	p.writeLine("\n## %s", d.Title)
	p.writeLine("\n%d slots, %s statements with a mean of %s: %.0f/s on all servers, %.0f/s on primaries.", d.Home.Slots,
		formatDistribution(d.Home.ServiceTime), d.Home.ServiceTime.Mean, serversPerGroup*primaryCapacity(d.Home), primaryCapacity(d.Home))
	p.writeLine("Static: the connections split evenly between the proxies, each with a FIFO queue.")
	p.tableHeader("measure", "target", "home", "", "static", "")
	for _, m := range metrics(d) {
		home, homeVerdict := m.evaluate(d.Home)
		static, staticVerdict := m.evaluate(d.Static)
		if homeVerdict == verdictNotRun && staticVerdict == verdictNotRun {
			continue
		}
		p.row(m.name, cmp.Or(m.target, "none"), home, homeVerdict, static, staticVerdict)
	}
	p.writeLine("\np99 by phase: [home](%s), [static](%s).", p.plotPath(d.Name+homeSuffix), p.plotPath(d.Name+staticSuffix))
}

func formatDistribution(w load.ServiceTime) string {
	if w.Exponential {
		return "exponential"
	}
	return "equal"
}

func (p *page) plotPath(name string) string { return p.options.ReportsPath + "/" + name + ".svg" }

// writeReservedSlots compares the flood of long statements with and without a
// slot kept free for urgent requests.
func (p *page) writeReservedSlots(deployments []*Deployment) {
	p.writeLine("\n## A flood of ten times longer statements")
	p.writeLine("\nThe document states how many slots of a server are kept free for urgent work (`keep_free_slots`). Policy: home.")
	p.tableHeader("deployment", "slots kept", "urgent p99 in the flood against alone", "slots busy", "plot")
	for _, d := range deployments {
		reports, plots := []*load.Report{d.Home, d.OtherKeepFree}, []string{homeSuffix, d.otherKeepFreeSuffix()}
		for i := range reports {
			reserved := (d.KeepFreeSlots + i) % len(reports)
			r := reports[i]
			f, ok := p99Ratio(r, phaseUrgentAlone, phaseLongStatements)
			if !ok {
				continue
			}
			p.row(d.Title, fmt.Sprint(reserved), f.text,
				percentMeasurement(r.Phase(phaseLongStatements).Utilization).text, fmt.Sprintf("[plot](%s)", p.plotPath(d.Name+plots[i])))
		}
	}
}

// writeFaults prints the recoveries of the affected groups by kind of request.
func (p *page) writeFaults(deployments []*Deployment) {
	p.writeLine("\n## Faults")
	p.writeLine("\nWrites of the affected group: the longest time without an answer from the fault on, the longest before it, and the")
	p.writeLine("outcomes of the requests that arrived after it.")
	p.tableHeader("deployment", "fault", "rank, kind", "policy", "longest gap", "before", "outcomes after the fault")
	for _, d := range deployments {
		for _, phase := range d.Home.Phases {
			p.writeRecoveries(d, phase.Phase.Name, "home", phase)
			if static := d.Static.Phase(phase.Phase.Name); static != nil {
				p.writeRecoveries(d, phase.Phase.Name, "static", static)
			}
		}
	}
}

func (p *page) writeRecoveries(d *Deployment, name, policy string, phase *load.PhaseResult) {
	for _, r := range phase.Recoveries {
		p.row(d.Title, fmt.Sprintf("%s: %s, %s", name, r.Fault, r.Fault.Group), r.Rank+", "+r.Kind, policy,
			formatGap(r), formatDuration(r.GapBefore), formatOutcomes(r.Outcomes))
	}
}

func formatOutcomes(counts map[load.Outcome]int) string {
	var parts []string
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", o, counts[o]))
	}
	return strings.Join(parts, ", ")
}

// writePhases prints a row per phase and kind of request.
func (p *page) writePhases(d *Deployment) {
	p.writeLine("\n## Phases of %s", d.Title)
	p.tableHeader("phase", "rank, kind", "done/s home", "static", "p50 home", "static", "p99 home", "static", "not done home", "static")
	for _, home := range d.Home.Phases {
		static := d.Static.Phase(home.Phase.Name)
		for _, kind := range slices.Sorted(maps.Keys(home.Kinds)) {
			h := home.Kinds[kind]
			s := &load.Stats{}
			rate := 0.0
			if static != nil && static.Kinds[kind] != nil {
				s, rate = static.Kinds[kind], static.Rate(kind)
			}
			p.row(home.Phase.Name, h.Rank+", "+kind, fmt.Sprintf("%.1f", home.Rate(kind)), fmt.Sprintf("%.1f", rate),
				formatLatency(h.P50), formatLatency(s.P50), formatLatency(h.P99), formatLatency(s.P99), formatNotDone(h), formatNotDone(s))
		}
	}
}

func formatNotDone(s *load.Stats) string {
	counts := maps.Clone(s.Outcomes)
	delete(counts, load.OutcomeDone)
	return cmp.Or(formatOutcomes(counts), "0")
}
