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
	// maxLatencyMicros is the highest latency that a histogram tells apart.
	maxLatencyMicros   = int64(60 * time.Second / time.Microsecond)
	significantFigures = 3
)

// Report is the result of a run.
type Report struct {
	Command string `json:"command"`
	Seed    uint64 `json:"seed"`
	// Machine, Go and Commit tell where and with which build the run was made.
	Machine string    `json:"machine"`
	Go      string    `json:"go"`
	Commit  string    `json:"commit"`
	Started time.Time `json:"started"`
	// Took is the time of the run from the first phase to the verdict.
	Took    time.Duration  `json:"took"`
	Proxies int            `json:"proxies"`
	Slots   int            `json:"slots"`
	Profile string         `json:"profile"`
	Work    Work           `json:"work"`
	Phases  []*PhaseResult `json:"phases"`
	Verdict Verdict        `json:"verdict"`
}

func newReport(config Config) *Report {
	return &Report{
		Command: strings.Join(os.Args, " "), Seed: config.Seed, Profile: config.Profile.Name, Work: config.Work,
		Machine: machine(), Go: runtime.Version(), Commit: cmp.Or(config.Commit, commit()),
		Started: time.Now().UTC().Truncate(time.Second), Proxies: len(config.Proxies), Slots: config.Slots,
	}
}

// PhaseResult is what happened in one phase.
type PhaseResult struct {
	Phase Phase              `json:"phase"`
	Took  time.Duration      `json:"took"`
	Kinds map[string]*Series `json:"kinds"`
	// Ranks is the same for all kinds of a rank together, floods left out.
	Ranks   map[string]*Series `json:"ranks"`
	Metrics map[string]float64 `json:"metrics,omitempty"`
	// Busy is the share of all slot time after the warm-up that was used by
	// requests that were done before the end of the phase.
	Busy float64 `json:"busy"`
	// Moved counts caller connections that another proxy got because the one
	// that they were meant for refused them.
	Moved      int64      `json:"moved"`
	Recoveries []Recovery `json:"recoveries,omitempty"`

	mu     sync.Mutex
	start  time.Time
	work   time.Duration
	events []event
}

// Series is the outcome of one kind of work. Latencies are of requests that
// were done, in microseconds.
type Series struct {
	Rank     string          `json:"rank"`
	Outcomes map[Outcome]int `json:"outcomes"`
	// Errors counts errors by their cause: the SQLSTATE that the proxy gave, or
	// what happened to the connection.
	Errors map[string]int `json:"errors,omitempty"`
	// InTime counts requests that were done between the end of the warm-up and
	// that of the phase.
	InTime int   `json:"in_time"`
	P50    int64 `json:"p50_us"`
	P95    int64 `json:"p95_us"`
	P99    int64 `json:"p99_us"`
	Max    int64 `json:"max_us"`

	histogram *hdrhistogram.Histogram
}

func newPhaseResult(phase Phase, start time.Time) *PhaseResult {
	return &PhaseResult{Phase: phase, start: start, Kinds: map[string]*Series{}, Ranks: map[string]*Series{}}
}

// record notes the end of a request: its latency and outcome if it arrived
// after the warm-up, its work if it was done between warm-up and end.
func (p *PhaseResult) record(a Arrival, outcome Outcome, latency time.Duration, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end := time.Since(p.start)
	if len(p.Phase.Faults) > 0 {
		p.events = append(p.events, event{a.Kind, a.Group, a.At, end, outcome})
	}
	inTime := outcome == OutcomeDone && end >= p.Phase.WarmUp && end <= p.Phase.Duration
	if inTime {
		p.work += a.statements() * a.Work
	}
	measured := a.At >= p.Phase.WarmUp
	series(p.Kinds, a.Kind.Name, a.Kind).record(outcome, latency, cause, inTime, measured)
	if !a.Flood {
		series(p.Ranks, a.Kind.Rank.String(), a.Kind).record(outcome, latency, cause, inTime, measured)
	}
}

// series returns the series of the given name and makes it when it is new.
func series(all map[string]*Series, name string, kind Kind) *Series {
	s := all[name]
	if s == nil {
		s = &Series{
			Rank: kind.Rank.String(), Outcomes: map[Outcome]int{}, Errors: map[string]int{},
			histogram: hdrhistogram.New(1, maxLatencyMicros, significantFigures),
		}
		all[name] = s
	}
	return s
}

func (s *Series) record(outcome Outcome, latency time.Duration, cause error, inTime, measured bool) {
	if inTime {
		s.InTime++
	}
	if !measured {
		return
	}
	s.Outcomes[outcome]++
	if cause != nil {
		s.Errors[causeOf(cause)]++
	}
	if outcome == OutcomeDone {
		_ = s.histogram.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	}
}

func (s *Series) finish() {
	s.P50 = s.histogram.ValueAtQuantile(50)
	s.P95 = s.histogram.ValueAtQuantile(95)
	s.P99 = s.histogram.ValueAtQuantile(99)
	s.Max = s.histogram.Max()
}

func (p *PhaseResult) finish(slots int, metrics map[string]float64) {
	p.Took = time.Since(p.start)
	p.Metrics = metrics
	p.Recoveries = recoveries(p.Phase, p.events)
	if slots > 0 {
		p.Busy = p.work.Seconds() / (p.Phase.Measured().Seconds() * float64(slots))
	}
	for _, s := range p.Kinds {
		s.finish()
	}
	for _, s := range p.Ranks {
		s.finish()
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
