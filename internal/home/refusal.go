package home

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/rank"
	"github.com/rattancove/rattancove/internal/route"
)

// refusalLineInterval is the minimum time between two log lines of one cause.
const refusalLineInterval = time.Second

// refusalCause is why a request got no slot.
type refusalCause string

// Causes of refusals. They are labels of a metric.
const (
	causeQueueFull    refusalCause = "queue_full"
	causeWaitTooLong  refusalCause = "wait_too_long"
	causeDeadline     refusalCause = "deadline_before_queue"
	causeExpired      refusalCause = "expired_in_queue"
	causeTransactions refusalCause = "open_transactions"
)

// refusalCauseOf returns the cause of an error of Dispatcher.Acquire; empty if that is
// not a refusal.
func refusalCauseOf(err error) refusalCause {
	e := errcode.From(err)
	switch {
	case errors.Is(err, context.Canceled):
		return "" // the caller has left
	case e.Code.Name != errcode.Overloaded.Name && e.Code.Name != errcode.DeadlinePassed.Name:
		return ""
	case e.Step == rank.StepQueueFull:
		return causeQueueFull
	case e.Step == rank.StepWaitTooLong:
		return causeWaitTooLong
	case e.Step == rank.StepAdmit:
		return causeDeadline
	}
	return causeExpired
}

// refusalLog limits the lines of each cause.
type refusalLog struct {
	mu     sync.Mutex
	logged map[refusalCause]time.Time
	// omitted counts the refusals since the last line.
	omitted map[refusalCause]int
}

// due reports whether a line of a cause may be logged, and how many refusals had none
// since the last one.
func (l *refusalLog) due(c refusalCause, now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged == nil {
		l.logged, l.omitted = make(map[refusalCause]time.Time), make(map[refusalCause]int)
	}
	if last, logged := l.logged[c]; logged && now.Sub(last) < refusalLineInterval {
		l.omitted[c]++
		return 0, false
	}
	omitted = l.omitted[c]
	l.logged[c], l.omitted[c] = now, 0
	return omitted, true
}

// recordRefusal counts a request that got no slot, and logs the state that explains it.
func (o *owner) recordRefusal(r *request, lane rank.Lane, q *route.Query, cause refusalCause) {
	if cause == "" {
		return
	}
	metrics.GetOrCreateCounter(`rattan_home_refusals_total{rank="` + r.rank.String() + `",lane="` + lane.String() + `",cause="` + string(cause) + `"}`).Inc()
	state := o.dispatcher.QueueState(r.rank, lane, r.Organisation)
	refusalQueueLength.Update(float64(state.Queued))
	refusalWaitSeconds.Update(state.Wait.Seconds())
	now := time.Now()
	omitted, ok := o.refusals.due(cause, now)
	if !ok {
		return
	}
	eventRequestRefused.Log(o.home.log).Str("group", string(o.name)).Str("request", r.ID).Str("cause", string(cause)).
		Str("lane", lane.String()).Str("rank", r.rank.String()).Str("organisation", r.Organisation).
		Int("queued", state.Queued).Int("queued_own", state.Own).Dur("wait", state.Wait).
		Array("servers", o.explainServers(q, now)).Int("omitted", omitted).Send()
}

// explainServers describes, for each server, its busy slots, why it may not run the
// request and how far behind it is.
func (o *owner) explainServers(q *route.Query, now time.Time) *zerolog.Array {
	routing := o.routing.Load()
	servers := zerolog.Arr()
	for _, s := range o.dispatcher.Servers() {
		entry := zerolog.Dict().Str("server", string(s.Server)).Bool("primary", s.Server == routing.Primary).
			Int("busy", s.Busy).Int("slots", s.Slots).Dur("behind", routing.Behind(s.Server, now))
		if q != nil {
			entry = entry.Str("excluded", route.Exclusion(q, routing, s.Server, now))
		}
		servers = servers.Dict(entry)
	}
	return servers
}
