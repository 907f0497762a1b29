package rollout

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/rattancove/rattancove/internal/cluster"
	"github.com/rattancove/rattancove/internal/delay"
	"github.com/rattancove/rattancove/internal/document"
	"github.com/rattancove/rattancove/internal/environment"
	"github.com/rattancove/rattancove/internal/provider"
)

const (
	// unprovenPolls is the number of poll intervals without a proof after which the
	// document is reported as unproven.
	unprovenPolls = 3
	tickInterval  = time.Second
	// peerRetention is how long a peer that no longer reports counts as a member.
	peerRetention = time.Hour
)

// Source reads published documents. It is implemented by document.Store.
type Source interface {
	// Current returns the published revision, or provider.ErrNotFound.
	Current(ctx context.Context, env string) (document.Revision, error)
	// Update returns the document with the given digest. It does not fetch pieces
	// that base contains.
	Update(ctx context.Context, env, digest string, base environment.SplitText) ([]byte, error)
	// Parser returns the parser of documents.
	Parser() *environment.Parser
}

// FetchFunc fetches an offered version from a peer.
type FetchFunc func(ctx context.Context) ([]byte, error)

// Config holds the settings of a Watcher.
type Config struct {
	Environment string
	// Poll is the mean time between two reads of the pointer row.
	Poll time.Duration
	// MaxProofAge is the age of the last proof above which it has expired.
	MaxProofAge time.Duration
	// Members returns the number of known members, including this process. If it
	// is nil, the reports of peers are no proof.
	Members func() int
}

// DocumentInForce is the document in force with its version and text. It is
// immutable.
type DocumentInForce struct {
	Version  Version
	Document *environment.Document
	Text     environment.SplitText
}

// Watcher holds the document in force. It is safe for concurrent use.
type Watcher struct {
	config Config
	source Source
	log    zerolog.Logger
	// wake signals a new version or offer to the fetch loop.
	wake chan struct{}
	// refresh requests an immediate read of the pointer row.
	refresh chan struct{}

	mu      sync.Mutex
	state   State
	inForce *DocumentInForce
	// offers holds the functions that fetch a version from the peers that hold it.
	offers map[Version][]FetchFunc
	// previous holds the documents previously in force, oldest first.
	previous    []previousDocument
	subscribers map[chan *DocumentInForce]bool
}

// NewWatcher returns a Watcher without a document.
func NewWatcher(config Config, source Source, log zerolog.Logger) *Watcher {
	return &Watcher{
		config:      config,
		source:      source,
		log:         log,
		wake:        make(chan struct{}, 1),
		refresh:     make(chan struct{}, 1),
		state:       State{Status: StatusEmpty},
		offers:      map[Version][]FetchFunc{},
		subscribers: map[chan *DocumentInForce]bool{},
	}
}

// Bootstrap puts data in force as revision zero. It must be called before Run. The
// proof counts as expired until a read of the pointer row shows that no revision
// was published.
func (w *Watcher) Bootstrap(data []byte) error {
	return w.install(Version{Digest: environment.Digest(data)}, data)
}

// Run watches for newer documents until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return w.runPoll(ctx) })
	group.Go(func() error { return w.runFetch(ctx) })
	group.Go(func() error { return w.runTicks(ctx) })
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Offer records that a peer holds a version and how to fetch it. fetch may be
// nil.
func (w *Watcher) Offer(peer cluster.ProxyID, v Version, fetch FetchFunc) {
	members := 0
	if w.config.Members != nil {
		members = w.config.Members()
	}
	w.apply(PeerReport{Peer: peer, Version: v, At: time.Now(), Members: members})
	if fetch != nil {
		w.addOffer(v, fetch)
	}
}

func (w *Watcher) addOffer(v Version, fetch FetchFunc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Revision <= w.state.InForce.Revision || len(w.offers[v]) >= maxOffersPerVersion {
		return
	}
	w.offers[v] = append(w.offers[v], fetch)
	w.wakeFetch()
}

// wakeFetch wakes the fetch loop.
func (w *Watcher) wakeFetch() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Current returns the document in force, or nil.
func (w *Watcher) Current() *DocumentInForce {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inForce
}

// State returns the state of the rollout in this process.
func (w *Watcher) State() State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// ProofAge returns the time since the last proof that no newer document exists.
// The second result is false when there was none.
func (w *Watcher) ProofAge() (time.Duration, bool) {
	proof := w.State().ProvenAt
	return time.Since(proof), !proof.IsZero()
}

// ProofExpired reports whether new callers should be refused, because there is no
// document or the last proof is older than MaxProofAge.
func (w *Watcher) ProofExpired() bool {
	status := w.State().Status
	return status == StatusProofExpired || status == StatusEmpty
}

// Subscribe returns a channel that receives the document in force and each one that
// replaces it, and a function that ends the subscription. A slow receiver only
// gets the newest.
func (w *Watcher) Subscribe() (<-chan *DocumentInForce, func()) {
	c := make(chan *DocumentInForce, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[c] = true
	if w.inForce != nil {
		c <- w.inForce
	}
	return c, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, c)
	}
}

// apply applies an observation, logs changes of the status and wakes the fetch
// loop for a new version.
func (w *Watcher) apply(o Observation) {
	w.mu.Lock()
	before := w.state
	w.state = Decide(before, o)
	after := w.state
	w.mu.Unlock()
	w.logTransition(before, after)
	if before.Latest != after.Latest {
		w.wakeFetch()
	}
}

func (w *Watcher) logTransition(before, after State) {
	if before.Status == after.Status {
		return
	}
	switch {
	case after.Status == StatusProofExpired:
		eventProofExpired.Log(&w.log).Uint64("revision", after.InForce.Revision).Time("proof", after.ProvenAt).Send()
	case before.Status == StatusProofExpired && after.Status == StatusCurrent:
		eventDocumentProvenAgain.Log(&w.log).Uint64("revision", after.InForce.Revision).Send()
	}
}

// runPoll reads the pointer row immediately and then at the poll interval with
// jitter, so that the reads of processes that start together are spread out.
func (w *Watcher) runPoll(ctx context.Context) error {
	for {
		w.pollPointer(ctx)
		select {
		case <-time.After(delay.Jitter(w.config.Poll)):
		case <-w.refresh:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh requests an immediate read of the pointer row, for a process that has
// learned of a new revision.
func (w *Watcher) Refresh() {
	select {
	case w.refresh <- struct{}{}:
	default:
	}
}

func (w *Watcher) pollPointer(ctx context.Context) {
	start := time.Now()
	r, err := w.source.Current(ctx, w.config.Environment)
	if err != nil && !errors.Is(err, provider.ErrNotFound) {
		pointerReadFailures.Inc()
		eventPointerReadFailed.Log(&w.log).Err(err).Send()
		return
	}
	v := Version{Revision: r.Revision, Digest: r.Digest}
	if inForce := w.State().InForce; err == nil && regressed(v, inForce) {
		eventPointerRegressed.Log(&w.log).Uint64("row", v.Revision).Uint64("in_force", inForce.Revision).Send()
	}
	w.apply(PointerRead{Version: v, StartedAt: start})
}

// regressed reports whether the pointer row names an older revision than the
// one in force, or another document of the same revision.
func regressed(row, inForce Version) bool {
	return row.Revision < inForce.Revision || row.Revision == inForce.Revision && row.Digest != inForce.Digest
}

func (w *Watcher) runTicks(ctx context.Context) error {
	bounds := Bounds{Unproven: unprovenPolls * w.config.Poll, MaxProofAge: w.config.MaxProofAge}
	for {
		now := time.Now()
		w.mu.Lock()
		w.state = w.state.ForgetPeers(now.Add(-peerRetention))
		w.mu.Unlock()
		w.apply(Tick{Now: now, Bounds: bounds})
		if !delay.Sleep(ctx, tickInterval) {
			return ctx.Err()
		}
	}
}
