package edge

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/quota"
)

const (
	// quotaRowKey is the key of the row in which each dealer records that it allocates,
	// and whether it has settled. The row is never deleted.
	quotaRowKey = "quota/dealer"
	// quotaRowInterval is the time between two attempts to read or write the row.
	quotaRowInterval = 300 * time.Millisecond
	// quotaRowTimeout bounds one access to the row.
	quotaRowTimeout = time.Second
)

// quotaRow is the value of the row.
type quotaRow struct {
	// Holder and Token name the dealer.
	Holder string     `json:"holder"`
	Token  duty.Token `json:"token"`
	// Settled is set once the dealer has no more credits outstanding than allowed.
	Settled bool `json:"settled"`
}

// promotionLease is the part of duty.Lease that a quotaDealer uses.
type promotionLease interface {
	Held() (duty.Token, bool)
	Remaining() time.Duration
}

// quotaDealer allocates credits while this process holds the promotion lease. A new
// dealer starts with each token, since another process may have allocated in between.
type quotaDealer struct {
	bounds quota.Bounds
	holder string
	lease  promotionLease
	table  provider.Table
	clock  func() time.Duration
	log    *zerolog.Logger

	// version and settled are those of the row; starting is the token with which the row
	// was first written, and start what the row said before. They are used by run only.
	version  uint64
	settled  bool
	starting duty.Token
	start    quota.Start

	mu     sync.Mutex
	limits map[string]quota.Limit
	// dealer allocates while the token is held; nil if there is none.
	dealer *quota.Dealer
	token  duty.Token
}

// setLimits applies the limits of a configuration.
func (q *quotaDealer) setLimits(limits map[string]quota.Limit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	if q.dealer != nil {
		q.dealer.SetLimits(limits)
	}
}

// handle answers a report, or returns nil if this process may not allocate. The lease
// must last until the home has given up the call: another dealer would not know of credits
// that the home accepts later.
func (q *quotaDealer) handle(home string, report *peerpb.QuotaReport) *peerpb.QuotaReply {
	if q == nil || report == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if token, _ := q.lease.Held(); q.dealer == nil || q.token != token || q.lease.Remaining() <= quota.CallTime {
		return nil
	}
	return peer.QuotaReplyToProto(q.dealer.Handle(home, peer.QuotaReportFromProto(report), q.clock()))
}

// run starts a dealer whenever this process has acquired the lease, until ctx ends.
func (q *quotaDealer) run(ctx context.Context) error {
	for delay.Sleep(ctx, quotaRowInterval) {
		if err := q.step(ctx); err != nil && ctx.Err() == nil {
			eventQuotaRowFailed.Log(q.log).Err(err).Send()
		}
	}
	return nil
}

// step starts a dealer, or records that it has settled, if that is due.
func (q *quotaDealer) step(ctx context.Context) error {
	token, held := q.lease.Held()
	q.mu.Lock()
	limited := len(q.limits) > 0
	running := q.dealer != nil && q.token == token
	settles := running && !q.settled && q.dealer.Settled(q.clock())
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, quotaRowTimeout)
	defer cancel()
	switch {
	case !held:
		return nil
	case !running && limited:
		return q.begin(ctx, token)
	case settles:
		return q.settle(ctx, token)
	}
	return nil
}

// settle records in the row that the dealer of a token has settled, unless a later
// dealer has replaced the row.
func (q *quotaDealer) settle(ctx context.Context, token duty.Token) error {
	value, err := q.read(ctx)
	if err != nil {
		return err
	}
	if value.Holder != q.holder || value.Token != token || value.Settled {
		q.settled = true
		return nil
	}
	return q.write(ctx, token, true)
}

// begin starts a dealer for a token, once the row says so.
func (q *quotaDealer) begin(ctx context.Context, token duty.Token) error {
	value, err := q.read(ctx)
	if err != nil {
		return err
	}
	// An own write for the same token whose answer was lost tells nothing new.
	if value.Holder != q.holder || value.Token != token || q.starting != token {
		q.starting, q.start = token, startAfter(q.version, value)
	}
	if err := q.write(ctx, token, false); err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	// The lease was held after the row was written, so no other dealer allocates any more.
	if current, held := q.lease.Held(); !held || current != token {
		return nil
	}
	q.dealer, q.token = quota.NewDealer(q.bounds, q.version, q.start, q.clock()), token
	q.dealer.SetLimits(q.limits)
	eventQuotaDealer.Log(q.log).Uint64("token", uint64(token)).Str("start", q.start.String()).Send()
	return nil
}

// startAfter returns what a dealer knows that found the row with a version and value.
func startAfter(version uint64, value quotaRow) quota.Start {
	switch {
	case version == 0:
		return quota.StartFirst
	case value.Settled:
		return quota.StartSettled
	default:
		return quota.StartUnsettled
	}
}

// read reads the row; its version is zero if it does not exist.
func (q *quotaDealer) read(ctx context.Context) (quotaRow, error) {
	var value quotaRow
	row, err := q.table.Get(ctx, quotaRowKey)
	if errors.Is(err, provider.ErrNotFound) {
		q.version = 0
		return value, nil
	}
	if err != nil {
		return value, eris.Wrap(err, "read the row of the dealer of quotas")
	}
	q.version = row.Version
	return value, eris.Wrap(json.Unmarshal(row.Value, &value), "decode the row of the dealer of quotas")
}

// write writes the row in place of the version that was last read or written.
func (q *quotaDealer) write(ctx context.Context, token duty.Token, settled bool) error {
	data, err := json.Marshal(quotaRow{Holder: q.holder, Token: token, Settled: settled})
	if err != nil {
		return eris.Wrap(err, "encode the row of the dealer of quotas")
	}
	versions, err := q.table.Commit(ctx, provider.Write{Key: quotaRowKey, IfVersion: q.version, Value: data})
	if err != nil {
		return eris.Wrap(err, "write the row of the dealer of quotas")
	}
	q.version, q.settled = versions[0], settled
	return nil
}
