package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/catalog"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/quota"
)

const (
	// quotaWait is how long an operation waits for a credit of an organisation that is
	// below its limit. It covers a call to the holder of the promotion lease.
	quotaWait = 150 * time.Millisecond
	// quotaLogInterval is the time between two log lines about one organisation.
	quotaLogInterval = time.Second
)

var (
	quotaAdmitted        = metrics.NewCounter("rattan_quota_admitted_total")
	quotaWaited          = metrics.NewCounter("rattan_quota_waited_total")
	quotaRefunded        = metrics.NewCounter("rattan_quota_refunded_total")
	quotaRefusedLimit    = metrics.NewCounter(`rattan_quota_refused_total{cause="limit"}`)
	quotaRefusedNoCredit = metrics.NewCounter(`rattan_quota_refused_total{cause="no_credit"}`)
)

// quotas keeps the credits of this process as a home. It implements home.Quotas.
type quotas struct {
	stock *quota.Stock
	clock func() time.Duration
	// ask requests credits before the next regular call.
	ask func()
	log *zerolog.Logger
	// active is set while the configuration limits an organisation.
	active atomic.Bool

	mu sync.Mutex
	// answered is closed at each reply of the dealer.
	answered chan struct{}
	refusals map[string]*quotaRefusals
}

// quotaRefusals counts the refusals of one organisation since the last log line.
type quotaRefusals struct {
	loggedAt time.Duration
	logged   bool
	count    int
}

// newQuotas returns nil if quotas are not kept.
func newQuotas(bounds quota.Bounds, incarnation uint64, clock func() time.Duration, ask func(), log *zerolog.Logger) *quotas {
	if bounds.Window <= 0 {
		return nil
	}
	return &quotas{
		stock: quota.NewStock(bounds, incarnation, rand.Float64), clock: clock, ask: ask, log: log,
		answered: make(chan struct{}), refusals: map[string]*quotaRefusals{},
	}
}

// quotaLimits returns the limits of the organisations that have one.
func quotaLimits(c *catalog.Configuration) map[string]quota.Limit {
	limits := map[string]quota.Limit{}
	if c == nil {
		return limits
	}
	for _, o := range c.Organisations {
		if o.Rate > 0 {
			limits[o.Name] = quota.Limit{Rate: o.Rate, Burst: o.Burst}
		}
	}
	return limits
}

// setLimits applies the limits of a configuration.
func (q *quotas) setLimits(limits map[string]quota.Limit) {
	q.stock.SetLimits(limits, q.clock())
	q.active.Store(len(limits) > 0)
	q.mu.Lock()
	defer q.mu.Unlock()
	for organisation := range q.refusals {
		if _, ok := limits[organisation]; !ok {
			delete(q.refusals, organisation)
		}
	}
}

// Admit implements home.Quotas.
func (q *quotas) Admit(ctx context.Context, organisation string) (func(), error) {
	if !q.active.Load() {
		return nil, nil
	}
	d := q.stock.Take(organisation, q.clock())
	if d.Ask {
		q.ask()
	}
	if !d.OK && !d.Exhausted {
		d = q.await(ctx, organisation, d)
	}
	if !d.OK {
		return nil, q.refuse(organisation, d)
	}
	if d.Ticket == (quota.Ticket{}) {
		return nil, nil // no credit is needed
	}
	quotaAdmitted.Inc()
	return func() {
		quotaRefunded.Inc()
		q.stock.Refund(organisation, d.Ticket, q.clock())
	}, nil
}

// await waits for a credit until the dealer has answered that there is none, at most for
// quotaWait.
func (q *quotas) await(ctx context.Context, organisation string, d quota.Decision) quota.Decision {
	if !q.stock.Wait(organisation) {
		return d
	}
	defer q.stock.EndWait(organisation)
	quotaWaited.Inc()
	ctx, cancel := context.WithTimeout(ctx, quotaWait)
	defer cancel()
	for {
		answered := q.nextAnswer()
		d = q.stock.TakeAgain(organisation, q.clock())
		if d.OK || d.Exhausted {
			return d
		}
		q.ask()
		select {
		case <-answered:
		case <-ctx.Done():
			return d
		}
	}
}

// nextAnswer returns a channel that is closed at the next reply of the dealer.
func (q *quotas) nextAnswer() <-chan struct{} {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.answered
}

func (q *quotas) refuse(organisation string, d quota.Decision) error {
	q.stock.Refused(organisation)
	cause, counter := "no credits in time", quotaRefusedNoCredit
	if d.Exhausted {
		cause, counter = "limit reached", quotaRefusedLimit
	}
	counter.Inc()
	q.logRefusal(organisation, cause, d)
	err := errcode.New(errcode.QuotaExceeded, "quota, "+cause, organisation)
	err.RetryAfter = d.RetryAfter
	return err
}

// logRefusal logs the first refusal of an organisation, and then at most once each
// quotaLogInterval.
func (q *quotas) logRefusal(organisation, cause string, d quota.Decision) {
	now := q.clock()
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.refusals[organisation]
	if r == nil {
		r = &quotaRefusals{}
		q.refusals[organisation] = r
	}
	r.count++
	if r.logged && now-r.loggedAt < quotaLogInterval {
		return
	}
	share := q.stock.Share(organisation, now)
	eventQuotaRefused.Log(q.log).Str("organisation", organisation).Str("cause", cause).Int("refused", r.count).
		Uint64("held", share.Held).Uint64("wanted", share.Wanted).Uint64("used_in_window", share.UsedInWindow).
		Dur("last_answer_age", share.AnswerAge).Dur("retry_after", d.RetryAfter).Send()
	r.loggedAt, r.logged, r.count = now, true, 0
}

// report returns the report for the next call, or nil if there is none.
func (q *quotas) report(idle bool) *quota.Report {
	if q == nil || !q.active.Load() || (idle && q.stock.Empty()) {
		return nil
	}
	report := q.stock.Report(q.clock())
	return &report
}

// accept takes the credits of a reply to a report that was sent at sentAt.
func (q *quotas) accept(report *quota.Report, reply *peerpb.QuotaReply, sentAt time.Duration) {
	if report == nil {
		return
	}
	decoded := peer.QuotaReplyFromProto(reply)
	q.stock.Accept(*report, decoded, sentAt, q.clock())
	if decoded.Resend {
		q.ask()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.answered)
	q.answered = make(chan struct{})
}
