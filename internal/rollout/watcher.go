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
	// unprovenPolls is the number of looks without a proof after which the
	// document is reported as unproven.
	unprovenPolls = 3
	tickInterval  = time.Second
	// peerRetention is how long a silent peer counts as a member.
	peerRetention = time.Hour
)

// Source is where documents are kept; document.Store is one.
type Source interface {
	// Current returns the revision in force, or provider.ErrNotFound.
	Current(ctx context.Context, env string) (document.Revision, error)
	// Update returns the document of a digest. Pieces that held has are not
	// fetched.
	Update(ctx context.Context, env, digest string, held environment.Text) ([]byte, error)
	// Parser reads documents.
	Parser() *environment.Parser
}

// Fetch gets the bytes of an offered version from a peer.
type Fetch func(ctx context.Context) ([]byte, error)

// Config of a watcher.
type Config struct {
	Environment string
	// Poll is the mean time between looks at the pointer row.
	Poll time.Duration
	// MaxUnknownAge is the age of the last proof past which the document is old.
	MaxUnknownAge time.Duration
	// Members returns the number of members known, this process included. It
	// may be nil, and then the word of peers is no proof.
	Members func() int
}

// ActiveDocument is a document in force with its version and text. It is immutable.
type ActiveDocument struct {
	Version  Version
	Document *environment.Document
	Text     environment.Text
}

// Watcher holds the document in force. It is safe for concurrent use.
type Watcher struct {
	config Config
	source Source
	log    zerolog.Logger
	// wake tells the fetch loop that a version is missing.
	wake chan struct{}
	// refresh asks for a look at the pointer row at once.
	refresh chan struct{}

	mu     sync.Mutex
	state  State
	active *ActiveDocument
	// offers holds the ways to fetch a version from peers.
	offers map[Version][]Fetch
	// previous holds the documents that were in force before, oldest first.
	previous    []previousDocument
	subscribers map[chan *ActiveDocument]bool
}

// NewWatcher returns a watcher without a document.
func NewWatcher(config Config, source Source, log zerolog.Logger) *Watcher {
	return &Watcher{
		config:      config,
		source:      source,
		log:         log,
		wake:        make(chan struct{}, 1),
		refresh:     make(chan struct{}, 1),
		state:       State{Status: StatusEmpty},
		offers:      map[Version][]Fetch{},
		subscribers: map[chan *ActiveDocument]bool{},
	}
}

// Bootstrap puts data in force as revision zero. It is called before Run. The
// document counts as old until a look or a peer proves that it is the newest.
func (w *Watcher) Bootstrap(data []byte) error {
	return w.install(Version{Digest: environment.Digest(data)}, data)
}

// Run looks for newer documents until ctx ends.
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

// Offer tells that a peer holds a version and how to fetch it. Fetch may be nil.
func (w *Watcher) Offer(peer cluster.ProxyID, v Version, fetch Fetch) {
	members := 0
	if w.config.Members != nil {
		members = w.config.Members()
	}
	w.apply(PeerReport{Peer: peer, Version: v, At: time.Now(), Members: members})
	if fetch != nil {
		w.addOffer(v, fetch)
	}
}

func (w *Watcher) addOffer(v Version, fetch Fetch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v.Revision <= w.state.Active.Revision || len(w.offers[v]) >= maxOffersPerVersion {
		return
	}
	w.offers[v] = append(w.offers[v], fetch)
	w.wakeFetch()
}

// wakeFetch makes the fetch loop look at once.
func (w *Watcher) wakeFetch() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Current returns the document in force, or nil.
func (w *Watcher) Current() *ActiveDocument {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.active
}

// State returns what the process knows of its document.
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

// Outdated reports that new callers should be refused: there is no
// document, or a newer one cannot be ruled out for too long.
func (w *Watcher) Outdated() bool {
	status := w.State().Status
	return status == StatusOld || status == StatusEmpty
}

// Subscribe returns a channel that holds the newest document in force each
// time that it changes, beginning with the present one, and a function that
// ends the subscription.
func (w *Watcher) Subscribe() (<-chan *ActiveDocument, func()) {
	c := make(chan *ActiveDocument, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.subscribers[c] = true
	if w.active != nil {
		c <- w.active
	}
	return c, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.subscribers, c)
	}
}

// apply applies an observation and reports what changed.
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
	case after.Status == StatusOld:
		eventDocumentOld.Log(&w.log).Uint64("revision", after.Active.Revision).Time("proof", after.ProvenAt).Send()
	case before.Status == StatusOld && after.Status == StatusCurrent:
		eventDocumentProvenAgain.Log(&w.log).Uint64("revision", after.Active.Revision).Send()
	}
}

// runPoll reads the pointer row at once and then at random times around the poll
// interval, so that processes started together spread out.
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

// Refresh makes the watcher look at the pointer row at once, for a process
// that knows of a new revision.
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
	if active := w.State().Active; err == nil && regressed(v, active) {
		eventPointerRegressed.Log(&w.log).Uint64("row", v.Revision).Uint64("in_force", active.Revision).Send()
	}
	w.apply(PointerRead{Version: v, StartedAt: start})
}

// regressed reports whether the pointer row names an older revision than the
// one held, or another document of the same revision.
func regressed(row, active Version) bool {
	return row.Revision < active.Revision || row.Revision == active.Revision && row.Digest != active.Digest
}

func (w *Watcher) runTicks(ctx context.Context) error {
	bounds := Bounds{Unproven: unprovenPolls * w.config.Poll, Expired: w.config.MaxUnknownAge}
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
