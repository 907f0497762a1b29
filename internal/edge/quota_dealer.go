package edge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
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
	// quotaRowInterval is the time between two attempts to read or write the row, and
	// minQuotaRowInterval that after a call of a home that the row does not name.
	quotaRowInterval    = 300 * time.Millisecond
	minQuotaRowInterval = 50 * time.Millisecond
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
	// Homes names the homes that may have credits. A home gets none before it is named.
	Homes []string `json:"homes,omitempty"`
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

	// wake makes run write the row soon.
	wake chan struct{}

	mu     sync.Mutex
	limits map[string]quota.Limit
	// homes holds the homes that the row names, and the time of the last call of each;
	// unnamed those that have called and are not named yet.
	homes   map[string]time.Duration
	unnamed map[string]bool
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

// handle answers a report, or returns nil if this process may not allocate or the row does
// not name the home yet. The lease must last until the home has given up the call: another
// dealer would not know of credits that the home accepts later.
func (q *quotaDealer) handle(home string, report *peerpb.QuotaReport) *peerpb.QuotaReply {
	if q == nil || report == nil {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if token, _ := q.lease.Held(); q.dealer == nil || q.token != token || q.lease.Remaining() <= quota.CallTime {
		return nil
	}
	now := q.clock()
	if _, named := q.homes[home]; !named {
		q.unnamed[home] = true
		q.wakeRun()
		return nil
	}
	q.homes[home] = now
	return peer.QuotaReplyToProto(q.dealer.Handle(home, peer.QuotaReportFromProto(report), now))
}

// wakeRun makes run write the row soon.
func (q *quotaDealer) wakeRun() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run starts a dealer whenever this process has acquired the lease, until ctx ends.
func (q *quotaDealer) run(ctx context.Context) error {
	for ctx.Err() == nil {
		delay.Sleep(ctx, minQuotaRowInterval) // homes that call at the same time are named together
		timer := time.NewTimer(quotaRowInterval - minQuotaRowInterval)
		select {
		case <-q.wake:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if err := q.step(ctx); err != nil && ctx.Err() == nil {
			eventQuotaRowFailed.Log(q.log).Err(err).Send()
		}
	}
	return nil
}

// step starts a dealer, or records that it has settled or which homes may have credits,
// if that is due.
func (q *quotaDealer) step(ctx context.Context) error {
	token, held := q.lease.Held()
	q.mu.Lock()
	limited := len(q.limits) > 0
	running := q.dealer != nil && q.token == token
	settles := running && !q.settled && q.dealer.Settled(q.clock())
	names := running && (len(q.unnamed) > 0 || len(q.namesToKeep()) < len(q.homes))
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
	case names:
		return q.nameHomes(ctx, token)
	}
	return nil
}

// nameHomes writes the homes that may have credits, unless a later dealer has replaced the
// row.
func (q *quotaDealer) nameHomes(ctx context.Context, token duty.Token) error {
	value, err := q.read(ctx) // an own write whose answer was lost has changed the version
	if err != nil || value.Holder != q.holder || value.Token != token {
		return err
	}
	return q.write(ctx, token, value.Settled)
}

// namesToKeep returns the homes that may have credits, or uses within the last window. The
// caller holds the lock.
func (q *quotaDealer) namesToKeep() []string {
	now := q.clock()
	var names []string
	for home, seen := range q.homes {
		if now-seen < q.bounds.SettleTime() {
			names = append(names, home)
		}
	}
	return names
}

// nextNames returns the homes that the next row names.
func (q *quotaDealer) nextNames() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	names := q.namesToKeep()
	for home := range q.unnamed {
		names = append(names, home)
	}
	slices.Sort(names)
	return names
}

// setNames records the homes that the row names.
func (q *quotaDealer) setNames(names []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	named := make(map[string]time.Duration, len(names))
	for _, home := range names {
		seen, known := q.homes[home]
		if !known {
			seen = q.clock()
		}
		named[home] = seen
		delete(q.unnamed, home)
	}
	q.homes = named
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
	q.mu.Lock()
	q.homes, q.unnamed = map[string]time.Duration{}, map[string]bool{}
	q.mu.Unlock()
	q.setNames(value.Homes)
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
	q.dealer.Expect(value.Homes)
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
	names := q.nextNames()
	data, err := json.Marshal(quotaRow{Holder: q.holder, Token: token, Settled: settled, Homes: names})
	if err != nil {
		return eris.Wrap(err, "encode the row of the dealer of quotas")
	}
	versions, err := q.table.Commit(ctx, provider.Write{Key: quotaRowKey, IfVersion: q.version, Value: data})
	if err != nil {
		return eris.Wrap(err, "write the row of the dealer of quotas")
	}
	q.version, q.settled = versions[0], settled
	q.setNames(names)
	return nil
}
