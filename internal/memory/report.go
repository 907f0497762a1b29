package memory

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/event"
)

var (
	eventRefused    = event.New(7200, zerolog.WarnLevel, "memory_refused", "A message, an answer or a text of a session was refused, since the process holds as many bytes for its clients as its share of the memory allows; at most one line a second and pool.")
	eventTimedOut   = event.New(7202, zerolog.InfoLevel, "client_timed_out", "The connection of a client was closed, since the rest of a message did not arrive or an answer was not read in time; at most one line a second and cause.")
	eventSlowClosed = event.New(7201, zerolog.WarnLevel, "slow_client_closed", "The connection of a client that sends or reads a long message slowly was closed, since others wait for memory; at most one line a second and pool.")
)

// Cause is a reason to close a connection for its slowness alone.
type Cause string

// Causes.
const (
	IncompleteMessage Cause = "incomplete_message"
	UnreadAnswer      Cause = "unread_answer"
	IncompleteFrame   Cause = "incomplete_frame"
)

// TimedOut counts and logs a connection that is closed for its slowness.
func (b *Budget) TimedOut(c Cause) {
	metrics.GetOrCreateCounter(`rattan_memory_timeouts_total{cause="` + string(c) + `"}`).Inc()
	if b.report.due(string(c)) {
		eventTimedOut.Log(b.report.log).Str("cause", string(c)).Send()
	}
}

// reportInterval is the least time between two lines of one cause.
const reportInterval = time.Second

// Reporter logs at most one line a cause in reportInterval. Without a log it does nothing.
type Reporter struct {
	log  *zerolog.Logger
	mu   sync.Mutex
	last map[string]time.Time
}

func (r *Reporter) refused(p *Pool) {
	if r.due(p.name) {
		eventRefused.Log(r.log).Str("pool", p.name).Int64("used", p.used.Load()).Int64("limit", p.limit.Load()).Send()
	}
}

func (r *Reporter) closedSlow(p *Pool) {
	if r.due("slow " + p.name) {
		eventSlowClosed.Log(r.log).Str("pool", p.name).Int64("used", p.used.Load()).Int64("limit", p.limit.Load()).Send()
	}
}

// due reports whether a line of a cause may be logged now.
func (r *Reporter) due(cause string) bool {
	if r.log == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.last[cause]) < reportInterval {
		return false
	}
	if r.last == nil {
		r.last = map[string]time.Time{}
	}
	r.last[cause] = now
	return true
}
