package edge

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/duty"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/peer"
	"github.com/rattancove/rattancove/internal/peer/peerpb"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/quota"
)

const (
	// quotaRowKey is the key of the row in which each dealer records that it allocates,
	// and whether it has settled. The row is never deleted.
	quotaRowKey = "quota/dealer"
	// dealerInterval is the time between two looks at whether the row has to be written.
	dealerInterval = 50 * time.Millisecond
	// rowRetryInterval is the time after a failed access to the row.
	rowRetryInterval = 300 * time.Millisecond
	// maxCeilingsSize bounds the bytes of the ceilings in the row, of which each takes up to
	// ceilingSize besides the name. The store takes 1 MB in a transaction, of which the homes
	// of 1,900 processes need 100 kB.
	maxCeilingsSize = 256 << 10
	ceilingSize     = 24
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
	// Homes are the processes that may have credits.
	Homes []quota.Process `json:"homes"`
	// Ceilings restrict the credits of organisations. An organisation without one, as in a
	// row of an earlier version, may have all credits that its limit allows.
	Ceilings map[string]uint64 `json:"ceilings,omitempty"`
	// Era is the era of the store in which the row was written. It is zero in rows of an
	// earlier version.
	Era uint64 `json:"era,omitempty"`
}

// unrecordedProcess stands for processes that may have credits and are not in the row. It
// never reports.
var unrecordedProcess = quota.Process{Home: "?"}

// asOutdated returns what is known if later rows than this one may have been lost, since the
// store has come back from a copy.
func (r quotaRow) asOutdated() quotaRow {
	return quotaRow{Holder: r.Holder, Token: r.Token, Homes: append(slices.Clone(r.Homes), unrecordedProcess)}
}

// promotionLease is the part of duty.Lease that a quotaDealer uses.
type promotionLease interface {
	Held() (duty.Token, bool)
	Remaining() time.Duration
	Era() uint64
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
	// ended reports whether a process has ended because another one of its VM runs; nil if
	// that is never known.
	ended func(quota.Process) bool

	// version is that of the row; starting is the token of the lease, began the time at
	// which it was first seen, and start and ceilings what the row said then. settled is
	// set once the row says so. They are used by run only.
	version  uint64
	settled  bool
	starting duty.Token
	began    time.Duration
	start    quota.Start
	ceilings map[string]uint64

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
	for delay.Sleep(ctx, dealerInterval) {
		if err := q.step(ctx); err != nil && ctx.Err() == nil {
			eventQuotaRowFailed.Log(q.log).Err(err).Send()
			delay.Sleep(ctx, rowRetryInterval)
		}
	}
	return nil
}

// endProcesses tells the dealer which processes of earlier dealers have ended. The caller
// holds the lock.
func (q *quotaDealer) endProcesses(dealer *quota.Dealer) {
	for _, p := range dealer.Earlier() {
		if q.ended(p) {
			dealer.End(p, q.clock())
		}
	}
}

// step starts a dealer, or writes the row if that is due.
func (q *quotaDealer) step(ctx context.Context) error {
	token, held := q.lease.Held()
	if !held {
		return nil
	}
	if q.starting != token {
		q.starting, q.began, q.start, q.settled = token, q.clock(), startUnknown, false
	}
	q.mu.Lock()
	limited, dealer := len(q.limits) > 0, q.dealer
	running := dealer != nil && q.token == token
	if running && q.ended != nil {
		q.endProcesses(dealer)
	}
	restored := provider.EraOf(q.version) < q.lease.Era()
	due := running && (restored || dealer.Unrecorded() || !q.settled && dealer.Settled(q.clock()) || dealer.CeilingsDue(q.clock()))
	q.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, quotaRowTimeout)
	defer cancel()
	switch {
	case !running && limited:
		return q.begin(ctx, token)
	case due:
		return q.update(ctx, token)
	}
	return nil
}

// update writes the processes with credits, the ceilings, and whether the dealer has settled,
// unless a later dealer has replaced the row.
func (q *quotaDealer) update(ctx context.Context, token duty.Token) error {
	value, err := q.read(ctx)
	if err != nil {
		return err
	}
	if value.Token > token {
		return eris.Errorf("the row of the dealer of quotas is that of %s", value.Holder)
	}
	if value.Token < token { // the row of an earlier dealer, from a copy of the store
		value = quotaRow{Holder: q.holder, Token: token, Settled: q.settled}
	}
	q.mu.Lock()
	now := q.clock()
	value.Homes = q.dealer.Processes(now)
	value.Settled = value.Settled || q.dealer.Settled(now)
	value.Ceilings = boundCeilings(q.dealer.Ceilings(now))
	q.mu.Unlock()
	if err := q.write(ctx, value); err != nil {
		return err
	}
	q.settled = value.Settled
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dealer.Record(value.Homes)
	q.dealer.RecordCeilings(value.Ceilings)
	return nil
}

// begin starts a dealer for a token, once the row says so.
func (q *quotaDealer) begin(ctx context.Context, token duty.Token) error {
	value, err := q.read(ctx)
	if err != nil {
		return err
	}
	// An own write for the same token whose answer was lost tells nothing new.
	if value.Era != 0 && value.Era != provider.EraOf(q.version) {
		value = value.asOutdated()
	}
	if value.Holder != q.holder || value.Token != token || q.start == startUnknown {
		q.start, q.ceilings = startAfter(q.version, value), value.Ceilings
	}
	// The row has no ceilings until this dealer knows what was used beside them.
	if err := q.write(ctx, quotaRow{Holder: q.holder, Token: token, Homes: value.Homes}); err != nil {
		return err
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if current, held := q.lease.Held(); !held || current != token {
		return nil
	}
	// The lease has been held since before the row was read, so no other dealer allocates.
	q.dealer, q.token = quota.NewDealer(q.bounds, q.version, q.start, q.began, value.Homes), token
	q.dealer.SetEarlierCeilings(q.ceilings)
	q.dealer.SetLimits(q.limits)
	eventQuotaDealer.Log(q.log).Uint64("token", uint64(token)).Str("start", q.start.String()).Int("earlier_homes", len(value.Homes)).
		Int("earlier_ceilings", len(q.ceilings)).Send()
	return nil
}

// boundCeilings leaves out ceilings that would make the row too large. An organisation
// without one may have all that its limit allows.
func boundCeilings(ceilings map[string]uint64) map[string]uint64 {
	size := 0
	maps.DeleteFunc(ceilings, func(organisation string, _ uint64) bool {
		size += 6*len(organisation) + ceilingSize // each byte may be escaped
		return size > maxCeilingsSize
	})
	return ceilings
}

// startUnknown is the start before the row was read.
const startUnknown quota.Start = 255

// startAfter returns what a dealer knows that found the row with a version and value.
func startAfter(version uint64, value quotaRow) quota.Start {
	switch {
	case rowMissing(version):
		return quota.StartFirst
	case value.Settled:
		return quota.StartSettled
	default:
		return quota.StartUnsettled
	}
}

// rowMissing reports whether a version is that of a row that does not exist.
func rowMissing(version uint64) bool {
	_, number := provider.SplitVersion(version)
	return number == 0
}

// read reads the row, which is empty if it does not exist.
func (q *quotaDealer) read(ctx context.Context) (quotaRow, error) {
	var value quotaRow
	row, err := q.table.Get(ctx, quotaRowKey)
	if errors.Is(err, provider.ErrNotFound) {
		q.version = row.Version
		return value, nil
	}
	if err != nil {
		return value, eris.Wrap(err, "read the row of the dealer of quotas")
	}
	q.version = row.Version
	return value, eris.Wrap(json.Unmarshal(row.Value, &value), "decode the row of the dealer of quotas")
}

// write writes the row in place of the version that was last read.
func (q *quotaDealer) write(ctx context.Context, value quotaRow) error {
	value.Era = provider.EraOf(q.version)
	data, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode the row of the dealer of quotas")
	}
	versions, err := q.table.Commit(ctx, provider.Write{Key: quotaRowKey, IfVersion: q.version, Value: data})
	if err != nil {
		return eris.Wrap(err, "write the row of the dealer of quotas")
	}
	q.version = versions[0]
	return nil
}

// processEnded reports whether a process has ended: only one runs on a VM, and a later one
// of the VM is alive.
func (e *Edge) processEnded(p quota.Process) bool {
	entry, ok := e.members.Snapshot().Find(member.Key{Role: member.RoleProxy, ID: p.Home})
	return ok && entry.State == member.StateAlive && entry.Member.Incarnation > p.Incarnation
}
