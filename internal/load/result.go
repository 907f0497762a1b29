package load

import (
	"cmp"
	"encoding/json"
	"os"
	"runtime"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"
)

const (
	// maxLatencyMicros is the highest latency that a histogram records; higher
	// ones are counted as this value.
	maxLatencyMicros   = int64(60 * time.Second / time.Microsecond)
	significantFigures = 3
)

// Report is the result of a run.
type Report struct {
	Command string `json:"command"`
	Seed    uint64 `json:"seed"`
	// Machine, GoVersion and Commit identify the machine and the build of the run.
	Machine   string    `json:"machine"`
	GoVersion string    `json:"go"`
	Commit    string    `json:"commit"`
	Started   time.Time `json:"started"`
	// Elapsed is the time from the start of the first phase to the verdict.
	Elapsed     time.Duration  `json:"took"`
	Proxies     int            `json:"proxies"`
	Slots       int            `json:"slots"`
	Profile     string         `json:"profile"`
	ServiceTime ServiceTime    `json:"work"`
	Phases      []*PhaseResult `json:"phases"`
	Verdict     Verdict        `json:"verdict"`
}

func newReport(config Config) *Report {
	return &Report{
		Command: strings.Join(os.Args, " "), Seed: config.Seed, Profile: config.Profile.Name, ServiceTime: config.ServiceTime,
		Machine: describeMachine(), GoVersion: runtime.Version(), Commit: cmp.Or(config.Commit, buildCommit()),
		Started: time.Now().UTC().Truncate(time.Second), Proxies: len(config.Proxies), Slots: config.Slots,
	}
}

// PhaseResult is the result of one phase.
type PhaseResult struct {
	Phase   Phase             `json:"phase"`
	Elapsed time.Duration     `json:"took"`
	Kinds   map[string]*Stats `json:"kinds"`
	// Ranks aggregates the kinds by rank; floods are excluded.
	Ranks   map[string]*Stats  `json:"ranks"`
	Metrics map[string]float64 `json:"metrics,omitempty"`
	// Utilization is the fraction of all slot time after the warm-up that was
	// used by requests that succeeded before the end of the phase.
	Utilization float64 `json:"busy"`
	// Rerouted counts caller connections that were opened at another proxy
	// because the intended one refused them.
	Rerouted   int64      `json:"moved"`
	Recoveries []Recovery `json:"recoveries,omitempty"`

	mu          sync.Mutex
	start       time.Time
	busyTime    time.Duration
	completions []completion
}

// Stats summarizes the requests of one kind or rank. Latencies are those of
// successful requests, in microseconds.
type Stats struct {
	Rank     string          `json:"rank"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Errors counts errors by cause: the SQLSTATE that the proxy returned, or the
	// connection error.
	Errors map[string]int `json:"errors,omitempty"`
	// DoneInWindow counts requests that succeeded between the end of the warm-up
	// and the end of the phase.
	DoneInWindow int   `json:"in_time"`
	P50          int64 `json:"p50_us"`
	P95          int64 `json:"p95_us"`
	P99          int64 `json:"p99_us"`
	Max          int64 `json:"max_us"`

	histogram *hdrhistogram.Histogram
}

func newPhaseResult(phase Phase, start time.Time) *PhaseResult {
	return &PhaseResult{Phase: phase, start: start, Kinds: map[string]*Stats{}, Ranks: map[string]*Stats{}}
}

// record adds a finished request: its latency and outcome if it was due after
// the warm-up, its service time if it succeeded between the end of the warm-up
// and the end of the phase.
func (p *PhaseResult) record(a Arrival, outcome Outcome, latency time.Duration, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := time.Since(p.start)
	if len(p.Phase.Faults) > 0 {
		p.completions = append(p.completions, completion{a.Kind, a.Group, a.Offset, end, outcome})
	}
	inWindow := outcome == OutcomeDone && end >= p.Phase.WarmUp && end <= p.Phase.Duration
	if inWindow {
		p.busyTime += a.statements() * a.ServiceTime
	}
	measured := a.Offset >= p.Phase.WarmUp
	statsOf(p.Kinds, a.Kind.Name, a.Kind).record(outcome, latency, cause, inWindow, measured)
	if !a.Flood {
		statsOf(p.Ranks, a.Kind.Rank.String(), a.Kind).record(outcome, latency, cause, inWindow, measured)
	}
}

// statsOf returns the entry of the given name and creates it if it is missing.
func statsOf(byName map[string]*Stats, name string, kind Kind) *Stats {
	s := byName[name]
	if s == nil {
		s = &Stats{
			Rank: kind.Rank.String(), Outcomes: map[Outcome]int{}, Errors: map[string]int{},
			histogram: hdrhistogram.New(1, maxLatencyMicros, significantFigures),
		}
		byName[name] = s
	}
	return s
}

func (s *Stats) record(outcome Outcome, latency time.Duration, cause error, inWindow, measured bool) {
	if inWindow {
		s.DoneInWindow++
	}
	if !measured {
		return
	}
	s.Outcomes[outcome]++
	if cause != nil {
		s.Errors[errorLabel(cause)]++
	}
	if outcome == OutcomeDone {
		_ = s.histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	}
}

func (s *Stats) finish() {
	s.P50 = s.histogram.ValueAtQuantile(50)
	s.P95 = s.histogram.ValueAtQuantile(95)
	s.P99 = s.histogram.ValueAtQuantile(99)
	s.Max = s.histogram.Max()
}

func (p *PhaseResult) finish(slots int, metrics map[string]float64) {
	p.Elapsed = time.Since(p.start)
	p.Metrics = metrics
	p.Recoveries = recoveries(p.Phase, p.completions)
	if slots > 0 {
		p.Utilization = p.busyTime.Seconds() / (p.Phase.Measured().Seconds() * float64(slots))
	}
	for _, s := range p.Kinds {
		s.finish()
	}
	for _, s := range p.Ranks {
		s.finish()
	}
}

// Write writes the report as JSON to a file.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrapf(os.WriteFile(path, append(data, '\n'), 0o644), "write report %s", path)
}

// ReadReport reads a report from a file written by Write.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read report %s", path)
	}
	r := &Report{}
	return r, eris.Wrapf(json.Unmarshal(data, r), "decode report %s", path)
}
