package load

import (
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
	// maxLatencyMicros is the highest latency that a histogram tells apart.
	maxLatencyMicros   = int64(60 * time.Second / time.Microsecond)
	significantFigures = 3
)

// Report is the result of a run.
type Report struct {
	Command string         `json:"command"`
	Seed    uint64         `json:"seed"`
	Machine string         `json:"machine"`
	Profile string         `json:"profile"`
	Work    Work           `json:"work"`
	Phases  []*PhaseResult `json:"phases"`
	Verdict Verdict        `json:"verdict"`
}

func newReport(config Config) *Report {
	return &Report{
		Command: strings.Join(os.Args, " "), Seed: config.Seed, Profile: config.Profile.Name, Work: config.Work,
		Machine: runtime.GOOS + "/" + runtime.GOARCH + ", " + strings.TrimSpace(cores()),
	}
}

// PhaseResult is what happened in one phase.
type PhaseResult struct {
	Phase   Phase              `json:"phase"`
	Took    time.Duration      `json:"took"`
	Kinds   map[string]*Series `json:"kinds"`
	Metrics map[string]float64 `json:"metrics,omitempty"`
	// Busy is the share of all slot time that was used by requests that were
	// done before the end of the phase.
	Busy float64 `json:"busy"`

	mu    sync.Mutex
	start time.Time
	work  time.Duration
}

// Series is the outcome of one kind of work. Latencies are of requests that
// were done, in microseconds.
type Series struct {
	Rank     string          `json:"rank"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// InTime counts requests that were done before the end of the phase.
	InTime int   `json:"in_time"`
	P50    int64 `json:"p50_us"`
	P95    int64 `json:"p95_us"`
	P99    int64 `json:"p99_us"`
	Max    int64 `json:"max_us"`

	histogram *hdrhistogram.Histogram
}

func newPhaseResult(phase Phase, start time.Time) *PhaseResult {
	return &PhaseResult{Phase: phase, start: start, Kinds: map[string]*Series{}}
}

func (p *PhaseResult) record(kind Kind, outcome Outcome, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.Kinds[kind.Name]
	if s == nil {
		s = &Series{
			Rank: kind.Rank.String(), Outcomes: map[Outcome]int{},
			histogram: hdrhistogram.New(1, maxLatencyMicros, significantFigures),
		}
		p.Kinds[kind.Name] = s
	}
	s.Outcomes[outcome]++
	if outcome == OutcomeDone {
		_ = s.histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	}
}

// addDone counts a request that was done before the end of the phase.
func (p *PhaseResult) addDone(a Arrival) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Since(p.start) > p.Phase.Duration {
		return
	}
	p.work += a.statements() * a.Work
	p.Kinds[a.Kind.Name].InTime++
}

func (p *PhaseResult) finish(slots int, metrics map[string]float64) {
	p.Took = time.Since(p.start)
	p.Metrics = metrics
	if slots > 0 {
		p.Busy = p.work.Seconds() / (p.Phase.Duration.Seconds() * float64(slots))
	}
	for _, s := range p.Kinds {
		s.P50 = s.histogram.ValueAtQuantile(50)
		s.P95 = s.histogram.ValueAtQuantile(95)
		s.P99 = s.histogram.ValueAtQuantile(99)
		s.Max = s.histogram.Max()
	}
}

// Write stores the report as JSON.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "encode report")
	}
	return eris.Wrapf(os.WriteFile(path, append(data, '\n'), 0o644), "write report %s", path)
}

// ReadReport reads a report that Write stored.
func ReadReport(path string) (*Report, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(err, "read report %s", path)
	}
	r := &Report{}
	return r, eris.Wrapf(json.Unmarshal(data, r), "decode report %s", path)
}
