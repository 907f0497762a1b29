package proof

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/errcode"
	"github.com/rattancove/rattancove/internal/member"
	"github.com/rattancove/rattancove/internal/provider"
	"github.com/rattancove/rattancove/internal/provider/providerclient"
	"github.com/rattancove/rattancove/internal/rollout"
	"github.com/rattancove/rattancove/internal/settings"
)

const (
	environmentName = "fleet"
	customerName    = "team"
	operatorCount   = 2
	// changeInterval is the time between two changes of an operator. The operators
	// make their changes at the same times.
	changeInterval = 1500 * time.Millisecond
	// maxOperatorDelay is the maximum delay of an operator's call to the table service.
	maxOperatorDelay = 10 * time.Millisecond
	// resendDelay is the delay before a change of unknown outcome is sent again.
	resendDelay = time.Second
	// announceTimeout bounds an announcement to a peer.
	announceTimeout = time.Second
)

// encodeDocument returns the fleet's document with the background queue enlarged by
// n, so that each n gives another document.
func (f *fleet) encodeDocument(n int) []byte {
	changed := *f.doc
	changed.Ranks.Background.Queue += n
	data, err := environment.Encode(&changed)
	if err != nil {
		f.t.Fatal(err)
	}
	return data
}

// publishFirst publishes the first revision of the document.
func (f *fleet) publishFirst() {
	first := document.Change{Environment: environmentName, ID: "first", Who: "fleet", Why: "start"}
	if _, err := document.NewStore(f.table, f.objects).Publish(f.ctx, first, f.encodeDocument(0)); err != nil {
		f.t.Fatal(err)
	}
}

// nodeObjects is one process's access to the object store.
type nodeObjects struct {
	provider.ObjectStore
	node *node
}

func (o *nodeObjects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.node.awaitStore(ctx); err != nil {
		return nil, err
	}
	return o.ObjectStore.Get(ctx, key)
}

func (n *node) createWatcher() {
	table := providerclient.InstrumentTable(&nodeTable{Table: n.fleet.table, node: n}, settings.DefaultPlatformTimeout)
	objects := providerclient.InstrumentObjectStore(&nodeObjects{ObjectStore: n.fleet.objects, node: n}, settings.DefaultPlatformTimeout)
	n.watcher = rollout.NewWatcher(rollout.Config{
		Environment: environmentName, Poll: settings.DefaultDocumentPoll,
		MaxProofAge: settings.DefaultDocumentMaxUnknownAge, Members: n.memberCount,
	}, n.fleet.disabled.wrapSource(document.NewStore(table, objects)), zerolog.Nop())
}

func (n *node) memberCount() int {
	count := 0
	for _, e := range n.members.Snapshot().Entries() {
		if e.State != member.StateLeaving {
			count++
		}
	}
	return count
}

// documentInForce returns the document in force at the process, or nil if there is
// none.
func (n *node) documentInForce() *environment.Document {
	if current := n.watcher.Current(); current != nil {
		return current.Document
	}
	return nil
}

// offerDocument announces to this process the document in force at a peer. If
// risingRevisions is disabled, a proxy applies it whatever its revision.
func (n *node) offerDocument(from *node, offered *rollout.DocumentInForce) {
	if offered == nil {
		return
	}
	if n.fleet.disabled.risingRevisions && n.home != nil {
		n.applyDocument(offered)
		return
	}
	n.watcher.Offer(cluster.ProxyID(from.self.Key().String()), offered.Version, func(ctx context.Context) ([]byte, error) {
		return n.fetchDocument(ctx, from.address, offered.Version.Revision)
	})
}

// fetchDocument requests a peer's document, as an update to the one in force here if
// the peer has that one.
func (n *node) fetchDocument(ctx context.Context, address string, revision uint64) ([]byte, error) {
	inForce, base := n.watcher.Current(), ""
	if inForce != nil {
		base = inForce.Version.Digest
	}
	replies := make(chan documentReply, 1)
	err := n.fleet.network.call(ctx, n, address, func(_ context.Context, to *node) {
		var reply documentReply
		reply.current, reply.update, reply.updated = to.watcher.UpdateFrom(base)
		replies <- reply
	})
	if err != nil {
		return nil, err
	}
	reply := <-replies
	switch {
	case reply.current == nil || reply.current.Version.Revision < revision:
		return nil, errcode.New(errcode.OldDocument, "document", address)
	case inForce != nil && reply.updated:
		return inForce.Apply(reply.update)
	default:
		return reply.current.Text.Bytes(), nil
	}
}

// documentReply is the document of a peer, with an update to the document of the
// requesting process if updated is set.
type documentReply struct {
	current *rollout.DocumentInForce
	update  rollout.Update
	updated bool
}

// announceDocuments pings the peers at once when a new document is in force.
func (n *node) announceDocuments() {
	changes, stop := n.watcher.Subscribe()
	defer stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-changes:
			n.announceState()
		}
	}
}

// announceState pings the peers with this process's state and document.
func (n *node) announceState() {
	view := n.members.Snapshot()
	self, _ := view.Find(n.self.Key())
	for _, m := range append(view.Usable(member.RoleProxy), view.Usable(member.RoleWarden)...) {
		if m.Address == n.address {
			continue
		}
		n.fleet.goroutines.Go(func() {
			ctx, cancel := context.WithTimeout(n.ctx, announceTimeout)
			defer cancel()
			_, _ = pinger{n}.Ping(ctx, m.Address, member.PingMessage{From: member.Report{Member: n.self, State: self.State}})
		})
	}
}

// applyDocument applies a document to the home and checks that revisions never
// decrease.
func (n *node) applyDocument(d *rollout.DocumentInForce) {
	n.home.SetDocument(d.Document)
	if last := n.appliedRevision.Swap(d.Version.Revision); d.Version.Revision < last {
		n.fleet.documentChecks.addViolation(guaranteeRisingRevisions, "%s went from revision %d to %d", n.name, last, d.Version.Revision)
	}
}

// documentChecks records the reads and changes of operators and the violations of the
// guarantees on documents.
type documentChecks struct {
	mu         sync.Mutex
	changes    []*change
	violations []violation
	counts     map[string]int
}

func (d *documentChecks) addViolation(guarantee, format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, violation{guarantee, fmt.Sprintf(format, args...)})
}

func (d *documentChecks) increment(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[name]++
}

func (d *documentChecks) addChange(c *change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, c)
}

// change is one read or change of an operator and its result.
type change struct {
	// id is empty for a read.
	id        string
	base      uint64
	call, end time.Time
	// revision is the revision that was answered, and revisionChangeID the id of the
	// change that created it.
	revision         uint64
	revisionChangeID string
	result           changeResult
	attempts         int
	err              error
}

// changeResult is the result of a change as far as the operator knows it.
type changeResult int

const (
	changeRefused changeResult = iota
	changeDone
	changeConflict
	changeUnknown
)

// operator publishes documents, each conditional on the revision that it read before.
type operator struct {
	fleet    *fleet
	name     string
	random   *rand.Rand
	store    *document.Store
	sequence int
}

func (f *fleet) operators() []*operator {
	var all []*operator
	for i := range operatorCount {
		o := &operator{fleet: f, name: fmt.Sprintf("operator-%d", i), random: newRandom(f.seed, uint64(300+i))}
		o.store = document.NewStore(&operatorTable{Table: f.disabled.wrapTable(f.table), operator: o}, f.objects)
		all = append(all, o)
	}
	return all
}

// operatorTable delays the calls of operators randomly, so that they interleave.
type operatorTable struct {
	provider.Table
	operator *operator
}

func (t *operatorTable) wait() {
	time.Sleep(time.Duration(t.operator.random.Int64N(int64(maxOperatorDelay))))
}

func (t *operatorTable) Get(ctx context.Context, key string) (provider.Row, error) {
	t.wait()
	return t.Table.Get(ctx, key)
}

func (t *operatorTable) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	t.wait()
	return t.Table.Commit(ctx, writes...)
}

// run publishes changes until ctx ends and returns after the answer to the last one.
func (o *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		o.change()
		delay.Sleep(ctx, changeInterval-time.Duration(time.Now().UnixNano()%int64(changeInterval)))
	}
}

// change reads the revision in force and publishes the next one.
func (o *operator) change() {
	ctx := o.fleet.ctx
	read := &change{call: time.Now()}
	current, err := o.store.Current(ctx, environmentName)
	read.end = time.Now()
	if err != nil {
		return
	}
	read.revision, read.revisionChangeID, read.result = current.Revision, current.ChangeID, changeDone
	o.fleet.documentChecks.addChange(read)
	o.sequence++
	c := &change{id: fmt.Sprintf("%s-%d", o.name, o.sequence), base: current.Revision, call: time.Now()}
	o.publish(c)
	c.end = time.Now()
	o.fleet.documentChecks.addChange(c)
}

// publish sends a change until its result is known.
func (o *operator) publish(c *change) {
	sent := document.Change{Environment: environmentName, ID: c.id, Who: o.name, Why: "seeded", IfRevision: &c.base}
	data := o.fleet.encodeDocument(o.sequence)
	for {
		var conflict *document.ConflictError
		var unknown *document.UnknownError
		c.attempts++
		r, err := o.store.Publish(o.fleet.ctx, sent, data)
		c.err = err
		switch {
		case err == nil:
			c.revision, c.revisionChangeID, c.result = r.Revision, r.ChangeID, changeDone
			return
		case errors.As(err, &conflict):
			c.revision, c.revisionChangeID, c.result = conflict.Current.Revision, conflict.Current.ChangeID, changeConflict
			return
		case errors.As(err, &unknown):
			c.result = changeUnknown
		case c.result != changeUnknown:
			return
		}
		if o.fleet.ctx.Err() != nil {
			return
		}
		time.Sleep(resendDelay)
	}
}

// checkDocuments compares the answers to operators with the history of revisions.
func (f *fleet) checkDocuments(out *report) {
	history, err := document.NewStore(f.table, f.objects).History(f.ctx, environmentName)
	if err != nil {
		out.addViolation(guaranteeChangeOutcomes, "read history: %v", err)
	}
	revisions := map[string]uint64{}
	for i, r := range history {
		if r.Revision != uint64(i)+1 {
			out.addViolation(guaranteeRisingRevisions, "revision %d follows %d", r.Revision, i)
		}
		if earlier, ok := revisions[r.ChangeID]; ok {
			out.addViolation(guaranteeChangeOutcomes, "%s created revisions %d and %d", r.ChangeID, earlier, r.Revision)
		}
		revisions[r.ChangeID] = r.Revision
	}
	d := f.documentChecks
	d.mu.Lock()
	defer d.mu.Unlock()
	out.changes, out.revisions = d.changes, revisions
	for _, c := range d.changes {
		out.checkChange(c)
	}
	out.violations = append(out.violations, d.violations...)
	out.counts["revisions"] += len(history)
	out.counts["revisions checked at processes"] += d.counts["checked"]
}

func (r *report) checkChange(c *change) {
	if c.id == "" {
		return
	}
	created := r.revisions[c.id]
	switch {
	case c.result == changeDone && created != c.revision:
		r.addViolation(guaranteeChangeOutcomes, "%s was answered revision %d and created %d", c.id, c.revision, created)
	case c.result == changeConflict && created != 0:
		r.addViolation(guaranteeChangeOutcomes, "%s was answered a conflict with %s and created revision %d", c.id, c.revisionChangeID, created)
	case c.result == changeRefused && created != 0:
		r.addViolation(guaranteeChangeOutcomes, "%s was refused and created revision %d: %v", c.id, created, c.err)
	}
	switch c.result {
	case changeDone:
		r.counts["changes done"]++
	case changeConflict:
		r.counts["changes in conflict"]++
	case changeRefused:
		r.counts["changes refused"]++
	case changeUnknown:
		r.counts["changes unknown"]++
	}
	if c.attempts > 1 {
		r.counts["changes sent again"]++
	}
}

// Sources and tables without a mechanism.

// wrapSource makes processes read the first revision only if documentPolling is
// disabled.
func (d disabledMechanisms) wrapSource(source rollout.Source) rollout.Source {
	if !d.documentPolling {
		return source
	}
	return &firstRevisionSource{Source: source}
}

// firstRevisionSource always returns the first revision that it has read.
type firstRevisionSource struct {
	rollout.Source
	mu    sync.Mutex
	first document.Revision
}

func (s *firstRevisionSource) Current(ctx context.Context, env string) (document.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.first.Revision > 0 {
		return s.first, nil
	}
	r, err := s.Source.Current(ctx, env)
	s.first = r
	return r, err
}

// wrapTable wraps the table service of operators if conditionalWrites or
// changeRecords is disabled.
func (d disabledMechanisms) wrapTable(t provider.Table) provider.Table {
	switch {
	case d.conditionalWrites:
		return unconditionalTable{t}
	case d.changeRecords:
		return noChangeRecordTable{t}
	default:
		return t
	}
}

// unconditionalTable ignores the expected versions of writes.
type unconditionalTable struct{ provider.Table }

func (t unconditionalTable) Commit(ctx context.Context, writes ...provider.Write) ([]uint64, error) {
	forced := make([]provider.Write, len(writes))
	for i, w := range writes {
		row, err := t.Get(ctx, w.Key)
		if err != nil && !errors.Is(err, provider.ErrNotFound) {
			return nil, err
		}
		w.IfVersion = row.Version
		forced[i] = w
	}
	return t.Table.Commit(ctx, forced...)
}

// noChangeRecordTable hides the records of published changes.
type noChangeRecordTable struct{ provider.Table }

func (t noChangeRecordTable) Get(ctx context.Context, key string) (provider.Row, error) {
	if strings.HasPrefix(key, "change/") {
		return provider.Row{}, provider.ErrNotFound
	}
	return t.Table.Get(ctx, key)
}
